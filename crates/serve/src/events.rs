//! Events of connections, numbers 6300 to 6399.

use wagtailreel_telemetry::{Event, Level};

/// A connection ended otherwise than by its peer.
pub const CONNECTION_ENDED: Event = Event {
    id: 6301,
    name: "connection-ended",
    level: Level::Info,
    meaning: "A connection failed, or was closed by this process. `why` says at which step; `open` requests had no \
              whole answer, and `unread` bytes lay in the socket, and `crossed` came after it was closed.",
    remedy: "If `open`, `unread` or `crossed` is not 0, a request was cut off: see docs/OPERATIONS.md.",
};

/// A listener accepts no more connections.
pub const LISTENER_CLOSED: Event = Event {
    id: 6302,
    name: "listener-closed",
    level: Level::Info,
    meaning: "The listener accepts no more connections; `waiting` of them were accepted by the kernel alone until then, and are served.",
    remedy: "Nothing.",
};

/// A connection could not be accepted.
pub const ACCEPT_FAILED: Event = Event {
    id: 6303,
    name: "accept-failed",
    level: Level::Warn,
    meaning: "A connection could not be accepted; the listener goes on after a pause.",
    remedy: "If the reason is a lack of descriptors, raise the limit or look for connections that stay open.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[CONNECTION_ENDED, LISTENER_CLOSED, ACCEPT_FAILED];
