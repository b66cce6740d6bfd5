//! Events of the entry, numbers 1000 to 1999.

use wagtailreel_telemetry::{Event, Level};

/// The entry has started to answer callers.
pub const STARTED: Event = Event {
    id: 1001,
    name: "entry-started",
    level: Level::Info,
    meaning: "The entry answers callers and operators.",
    remedy: "Nothing.",
};

/// The entry refuses new requests.
pub const LEAVING: Event = Event {
    id: 1002,
    name: "entry-leaving",
    level: Level::Info,
    meaning: "The entry refuses new requests and finishes those in flight.",
    remedy: "Nothing; wait for `entry-stopped` before the VM is removed.",
};

/// The entry has ended.
pub const STOPPED: Event = Event {
    id: 1003,
    name: "entry-stopped",
    level: Level::Info,
    meaning: "Every request in flight is finished and the entry has ended.",
    remedy: "Nothing.",
};

/// A stream of the log can't be read.
pub const LOG_AWAY: Event = Event {
    id: 1010,
    name: "log-away",
    level: Level::Warn,
    meaning: "A stream of the platform's log can't be read; the entry serves its last known state.",
    remedy: "Check the log service. Documents and marked orders are refused until it is back.",
};

/// A stream of the log can be read again.
pub const LOG_BACK: Event = Event {
    id: 1011,
    name: "log-back",
    level: Level::Info,
    meaning: "The stream of the platform's log can be read again.",
    remedy: "Nothing.",
};

/// Records lapsed before they were read.
pub const LOG_LAPSED: Event = Event {
    id: 1012,
    name: "log-lapsed",
    level: Level::Warn,
    meaning: "Records lapsed before the entry read them; it continues from a snapshot or peer.",
    remedy: "Nothing, unless it lasts: then check whether entries append snapshots.",
};

/// A fold stopped for good.
pub const LOG_STOPPED: Event = Event {
    id: 1013,
    name: "log-stopped",
    level: Level::Error,
    meaning: "The log differs from the one that was applied, or has a record that can't be read. \
              The entry serves its last known state and applies no more records.",
    remedy: "Follow the advice in the reason.",
};

/// A new configuration is in force at this entry.
pub const CONFIG_APPLIED: Event = Event {
    id: 1014,
    name: "config-applied",
    level: Level::Info,
    meaning: "An accepted document is in force at this entry.",
    remedy: "Nothing.",
};

/// An edit was refused by the fold.
pub const EDIT_REFUSED: Event = Event {
    id: 1015,
    name: "edit-refused",
    level: Level::Info,
    meaning: "An edit lost against another edit or did not match its base.",
    remedy: "Read the document again and edit the new version.",
};

/// A snapshot was appended.
pub const SNAPSHOT_APPENDED: Event = Event {
    id: 1016,
    name: "snapshot-appended",
    level: Level::Info,
    meaning: "The entry appended the state to the log, so that older records may lapse.",
    remedy: "Nothing.",
};

/// A snapshot contradicts the fold.
pub const SNAPSHOT_CONTRADICTS: Event = Event {
    id: 1017,
    name: "snapshot-contradicts",
    level: Level::Error,
    meaning: "A snapshot in the log contradicts what this entry has read. It was ignored.",
    remedy: "Compare the service's document at several entries; replace the one that differs.",
};

/// State of a peer was merged.
pub const STATE_PULLED: Event = Event {
    id: 1018,
    name: "state-pulled",
    level: Level::Info,
    meaning: "The entry merged configuration from a peer.",
    remedy: "Nothing.",
};

/// A record could not be appended.
pub const APPEND_FAILED: Event = Event {
    id: 1019,
    name: "append-failed",
    level: Level::Warn,
    meaning: "The log did not accept a record, or its answer was lost.",
    remedy: "Check the log service.",
};

/// The list of VMs can't be read.
pub const VM_LIST_AWAY: Event = Event {
    id: 1020,
    name: "vm-list-away",
    level: Level::Warn,
    meaning: "The platform's list of VMs can't be read; the last known one is used.",
    remedy: "Check the platform's list of VMs.",
};

/// The list of VMs can be read again.
pub const VM_LIST_BACK: Event = Event {
    id: 1021,
    name: "vm-list-back",
    level: Level::Info,
    meaning: "The platform's list of VMs can be read again.",
    remedy: "Nothing.",
};

/// A caller has no known key.
pub const CUSTOMER_UNKNOWN: Event = Event {
    id: 1030,
    name: "customer-unknown",
    level: Level::Info,
    meaning: "A caller sent no key or an unknown one.",
    remedy: "Check the caller's key against `customers` in the settings.",
};

/// An operator has no known token.
pub const TEAM_UNKNOWN: Event = Event {
    id: 1031,
    name: "team-unknown",
    level: Level::Warn,
    meaning: "An operator sent no token or an unknown one.",
    remedy: "Check the operator's token against `teams` in the settings.",
};

/// A team asked for another team's service.
pub const TEAM_FORBIDDEN: Event = Event {
    id: 1032,
    name: "team-forbidden",
    level: Level::Warn,
    meaning: "A team asked for a service that it does not own.",
    remedy: "Check `services` of the team in the settings.",
};

/// An attempt at an upstream failed.
pub const UPSTREAM_FAILED: Event = Event {
    id: 1040,
    name: "upstream-failed",
    level: Level::Warn,
    meaning: "A request did not reach an upstream, or its answer was cut off.",
    remedy: "Check the agent on that VM and the link to it.",
};

/// A stream is resumed at a replica.
pub const STREAM_RESUMED: Event = Event {
    id: 1041,
    name: "stream-resumed",
    level: Level::Info,
    meaning: "A stream that was cut off is resumed at a replica of the same weights.",
    remedy: "Nothing.",
};

/// The outcome of a request is not known.
pub const OUTCOME_UNKNOWN: Event = Event {
    id: 1042,
    name: "outcome-unknown",
    level: Level::Warn,
    meaning: "The entry does not know whether a request ran to its end, and told the caller so.",
    remedy: "Check the upstream that had the request.",
};

/// Claims on orders were released.
pub const ORDER_RELEASED: Event = Event {
    id: 1050,
    name: "order-released",
    level: Level::Info,
    meaning: "The entry releases claims on orders that it never dispatched.",
    remedy: "Nothing.",
};

/// A document was submitted.
pub const DOCUMENT_SUBMITTED: Event = Event {
    id: 1060,
    name: "document-submitted",
    level: Level::Info,
    meaning: "A team submitted a document; the event gives the result.",
    remedy: "Nothing.",
};

/// An appended edit was not read back in time.
pub const EDIT_UNREAD: Event = Event {
    id: 1061,
    name: "edit-unread",
    level: Level::Warn,
    meaning: "An edit was not read back in time: `appended` is its offset if the log returned it, \
              `applied` the last offset that the fold applied, `in_force` the last one put in force, \
              `log_end` the end of the log at the last read, `reading` whether the log can be read.",
    remedy: "If `applied` is behind `appended`, check the entry's link to the log.",
};

/// All events of the entry.
pub const ALL: &[Event] = &[
    STARTED,
    LEAVING,
    STOPPED,
    LOG_AWAY,
    LOG_BACK,
    LOG_LAPSED,
    LOG_STOPPED,
    CONFIG_APPLIED,
    EDIT_REFUSED,
    SNAPSHOT_APPENDED,
    SNAPSHOT_CONTRADICTS,
    STATE_PULLED,
    APPEND_FAILED,
    VM_LIST_AWAY,
    VM_LIST_BACK,
    CUSTOMER_UNKNOWN,
    TEAM_UNKNOWN,
    TEAM_FORBIDDEN,
    UPSTREAM_FAILED,
    STREAM_RESUMED,
    OUTCOME_UNKNOWN,
    ORDER_RELEASED,
    DOCUMENT_SUBMITTED,
    EDIT_UNREAD,
];
