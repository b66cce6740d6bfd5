//! Events of reading the registry through a neighbour, numbers 6300 to 6399.

use wagtailreel_telemetry::{Event, Level};

/// Another entry reads the registry for this one, or this one does by itself.
pub const READER_CHANGED: Event = Event {
    id: 6301,
    name: "reader-changed",
    level: Level::Info,
    meaning: "The entry takes a topic of the registry from `reader` from now on.",
    remedy: "Nothing; if it changes often, look at the entry that is named.",
};

/// A neighbour is passed over.
pub const NEIGHBOUR_AVOIDED: Event = Event {
    id: 6302,
    name: "neighbour-avoided",
    level: Level::Warn,
    meaning: "The neighbour that reads the registry did not answer, or knows only old things; the \
              registry is read without it for a while.",
    remedy: "Look at the neighbour and its link to the registry.",
};

/// The process called the registry itself.
pub const REGISTRY_CALLED: Event = Event {
    id: 6303,
    name: "registry-called",
    level: Level::Info,
    meaning: "The process called the registry for `topic`, since it comes first among its neighbours \
              or the neighbours that it asked were behind or silent (`cause`).",
    remedy: "Nothing; where `cause` is not `first` for long, look at the neighbours that are avoided.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[READER_CHANGED, NEIGHBOUR_AVOIDED, REGISTRY_CALLED];
