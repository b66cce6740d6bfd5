//! Events of reading the registry, numbers 6000 to 6099.

use wagtailreel_telemetry::{Event, Level};

/// The registry does not answer.
pub const REGISTRY_AWAY: Event = Event {
    id: 6001,
    name: "registry-away",
    level: Level::Warn,
    meaning: "A topic of the registry can't be read; the last known state stays in force.",
    remedy: "Check the platform's store and the link to it.",
};

/// The registry answers again.
pub const REGISTRY_BACK: Event = Event {
    id: 6002,
    name: "registry-back",
    level: Level::Info,
    meaning: "A topic of the registry can be read again.",
    remedy: "Nothing.",
};

/// A record was skipped.
pub const RECORD_UNREADABLE: Event = Event {
    id: 6003,
    name: "record-unreadable",
    level: Level::Error,
    meaning: "A record of the registry can't be parsed; the last valid record of its key stays in force.",
    remedy: "Fix the record as the reason says.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[REGISTRY_AWAY, REGISTRY_BACK, RECORD_UNREADABLE];
