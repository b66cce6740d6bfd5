//! Events of connections, numbers 6300 to 6399.

use wagtailreel_telemetry::{Event, Level};

/// A connection failed, or was closed by this process.
pub const CONNECTION_ENDED: Event = Event {
    id: 6301,
    name: "connection-ended",
    level: Level::Info,
    meaning: "A connection failed, or was closed by this process. `why` is the reason; `open` requests \
              were not answered in full, `unread` bytes were left in the socket, and `crossed` bytes \
              arrived after the close.",
    remedy: "If `open`, `unread` or `crossed` is not 0, a request was cut off: see docs/OPERATIONS.md.",
};

/// A listener was closed.
pub const LISTENER_CLOSED: Event = Event {
    id: 6302,
    name: "listener-closed",
    level: Level::Info,
    meaning: "The listener was closed after `accepted` connections; `waiting` of them came from \
              the backlog of the kernel at the close, and are served.",
    remedy: "Nothing.",
};

/// A connection could not be accepted.
pub const ACCEPT_FAILED: Event = Event {
    id: 6303,
    name: "accept-failed",
    level: Level::Warn,
    meaning: "A connection could not be accepted; the listener retries after a pause.",
    remedy: "If the process has run out of file descriptors, raise the limit or find the connections \
             that stay open.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[CONNECTION_ENDED, LISTENER_CLOSED, ACCEPT_FAILED];
