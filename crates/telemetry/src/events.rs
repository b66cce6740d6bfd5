//! Events that every process has, numbers 100 to 199.

use crate::{Event, Level};

/// Settings were read again.
pub const SETTINGS_RELOADED: Event = Event {
    id: 101,
    name: "settings-reloaded",
    level: Level::Info,
    meaning: "SIGHUP came and the settings file was read again; the outcome says what follows.",
    remedy: "Mend the file if it was refused; restart the process to put other settings in force.",
};

/// All events of every process.
pub const ALL: &[Event] = &[SETTINGS_RELOADED];
