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

/// A connection could not be accepted.
pub const ACCEPT_FAILED: Event = Event {
    id: 3001,
    name: "control-accept-failed",
    level: Level::Warn,
    meaning: "A connection to the control listener could not be accepted.",
    remedy: "Check the limit on open files if the event recurs.",
};

/// A message was refused.
pub const MESSAGE_REFUSED: Event = Event {
    id: 3002,
    name: "control-message-refused",
    level: Level::Warn,
    meaning: "A message of kind `kind` was malformed or over a limit and was refused.",
    remedy: "Run the same version on both ends; check the control network for unknown senders.",
};

/// A peer can't be reached.
pub const PEER_LOST: Event = Event {
    id: 3010,
    name: "peer-lost",
    level: Level::Warn,
    meaning: "The process `vm` at `addr` can't be reached or doesn't answer.",
    remedy: "Nothing if the VM is being replaced; otherwise check the VM and the network.",
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
    meaning: "The entry was suspended for too long: it grants no leases until it syncs with its peers.",
    remedy: "Check the load of the VM and its host if the event is frequent.",
};

/// A switch has started.
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
    remedy: "Check the log service if the entry itself can't read the log.",
};

/// A directive had to be dropped.
pub const DIRECTIVE_DROPPED: Event = Event {
    id: 3050,
    name: "directive-dropped",
    level: Level::Warn,
    meaning: "The agent's queue was full and a directive of `entry` was dropped; it is requested again.",
    remedy: "Check the VM's load if the event is frequent.",
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
