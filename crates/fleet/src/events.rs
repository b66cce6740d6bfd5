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

/// The registry came back from an older copy.
pub const REGISTRY_RESTORED: Event = Event {
    id: 6004,
    name: "registry-restored",
    level: Level::Warn,
    meaning: "The registry came back from an older copy of its log: its era rose from `era_before` to `era`, and \
              offsets are given out again. The topic was read from the start.",
    remedy: "Write again what the registry lost; check the platform's store.",
};

/// A newer setting stays in force than a restored registry holds.
pub const SETTING_KEPT: Event = Event {
    id: 6005,
    name: "setting-kept",
    level: Level::Warn,
    meaning: "After it was restored, the registry holds version `in_registry` of the setting `key`; the newer \
              `version`, which was read before, stays in force. Processes that start now don't know it.",
    remedy: "Write the newer version again.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    REGISTRY_AWAY,
    REGISTRY_BACK,
    RECORD_UNREADABLE,
    REGISTRY_RESTORED,
    SETTING_KEPT,
];
