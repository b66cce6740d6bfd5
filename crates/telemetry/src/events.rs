//! Events common to all processes, numbers 100 to 199.

use crate::{Event, Level};

/// Settings were read again.
pub const SETTINGS_RELOADED: Event = Event {
    id: 101,
    name: "settings-reloaded",
    level: Level::Info,
    meaning: "The process received SIGHUP and read the settings file again; the outcome says what follows.",
    remedy: "Fix the file if it was refused; restart the process to apply other settings.",
};

/// All events of this module.
pub const ALL: &[Event] = &[SETTINGS_RELOADED];
