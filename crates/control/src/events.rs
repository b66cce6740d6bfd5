//! Events of the control protocol, 3000 to 3999.

use wagtailreel_telemetry::{Event, Level};

/// The control listener is open.
pub const CONTROL_LISTENING: Event = Event {
    id: 3000,
    name: "control-listening",
    level: Level::Info,
    meaning: "The control listener is open at `addr`.",
    remedy: "Nothing.",
};

/// The listener refuses to accept.
pub const ACCEPT_FAILED: Event = Event {
    id: 3001,
    name: "control-accept-failed",
    level: Level::Warn,
    meaning: "A connection to the control listener could not be accepted.",
    remedy: "Look at the limit on open files if it goes on.",
};

/// A message was refused.
pub const MESSAGE_REFUSED: Event = Event {
    id: 3002,
    name: "control-message-refused",
    level: Level::Warn,
    meaning: "A message of kind `kind` was malformed or over a limit and was refused.",
    remedy: "Run the same version on both ends; look for a stranger on the control network.",
};

/// A peer can't be reached.
pub const PEER_LOST: Event = Event {
    id: 3010,
    name: "peer-lost",
    level: Level::Warn,
    meaning: "The process `vm` at `addr` can't be reached or doesn't answer.",
    remedy: "Nothing if its VM is being replaced; look at the VM or the network otherwise.",
};

/// A peer can be reached again.
pub const PEER_FOUND: Event = Event {
    id: 3011,
    name: "peer-found",
    level: Level::Info,
    meaning: "The process `vm` at `addr` can be reached.",
    remedy: "Nothing.",
};

/// The entry may grant leases.
pub const SETTLED: Event = Event {
    id: 3020,
    name: "entry-settled",
    level: Level::Info,
    meaning: "The entry knows what is open in its data centre and grants leases.",
    remedy: "Nothing.",
};

/// The entry may not grant leases.
pub const UNSETTLED: Event = Event {
    id: 3021,
    name: "entry-unsettled",
    level: Level::Warn,
    meaning: "The entry stood still for too long: it grants no leases until it is in touch again.",
    remedy: "Look at the VM's load or host if it comes often.",
};

/// A switch was begun.
pub const CLOSE_BEGUN: Event = Event {
    id: 3030,
    name: "close-begun",
    level: Level::Info,
    meaning: "In this data centre the epochs of `service` before `epoch` are being closed.",
    remedy: "Nothing.",
};

/// A switch was completed.
pub const OPENED: Event = Event {
    id: 3031,
    name: "epoch-opened",
    level: Level::Info,
    meaning: "Leases for `epoch` of `service` are granted, and for nothing else.",
    remedy: "Nothing.",
};

/// A newer configuration came from a peer.
pub const STATE_LEARNED: Event = Event {
    id: 3040,
    name: "state-learned",
    level: Level::Info,
    meaning: "Configuration up to `offset` came from the entry `vm`, ahead of the log.",
    remedy: "Look at the log service if the entry itself can't read it.",
};

/// A directive had to be dropped.
pub const DIRECTIVE_DROPPED: Event = Event {
    id: 3050,
    name: "directive-dropped",
    level: Level::Warn,
    meaning: "The agent was too slow to take a directive of `entry`; it is asked for again.",
    remedy: "Look at the VM's load if it comes often.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    CONTROL_LISTENING,
    ACCEPT_FAILED,
    MESSAGE_REFUSED,
    PEER_LOST,
    PEER_FOUND,
    SETTLED,
    UNSETTLED,
    CLOSE_BEGUN,
    OPENED,
    STATE_LEARNED,
    DIRECTIVE_DROPPED,
];
