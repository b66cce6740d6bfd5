//! Events of reading the registry through a neighbour, numbers 6300 to 6399.

use wagtailreel_telemetry::{Event, Level};

/// The entry reads the registry through another entry than before, or directly.
pub const READER_CHANGED: Event = Event {
    id: 6301,
    name: "reader-changed",
    level: Level::Info,
    meaning: "The entry reads a topic of the registry from `reader` from now on.",
    remedy: "Nothing; if it changes often, check the entry that is named.",
};

/// A neighbour is avoided.
pub const NEIGHBOUR_AVOIDED: Event = Event {
    id: 6302,
    name: "neighbour-avoided",
    level: Level::Warn,
    meaning: "The neighbour that reads the registry did not answer, or has only old records; the \
              registry is read without it for a while.",
    remedy: "Check the neighbour and its link to the registry.",
};

/// The process called the registry itself.
pub const REGISTRY_CALLED: Event = Event {
    id: 6303,
    name: "registry-called",
    level: Level::Info,
    meaning: "The process called the registry for `topic`, since it ranks first among its neighbours \
              or the queried neighbours were behind or silent (`cause`).",
    remedy: "Nothing; where `cause` is not `first` for long, check the neighbours that are avoided.",
};

/// Records were heard.
pub const RECORDS_HEARD: Event = Event {
    id: 6304,
    name: "records-heard",
    level: Level::Info,
    meaning: "`records` records of `topic` before the offset `next` were heard from `source`, as of `age_ms` ago. \
              The answer before held as of `gap_ms` ago, so that no record is heard later than this; \
              `delays` counts what happened in between. Of the upstreams only late records are reported.",
    remedy: "If `gap_ms` exceeds the bound on changes, look at `delays`: the neighbour or the registry.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    READER_CHANGED,
    NEIGHBOUR_AVOIDED,
    REGISTRY_CALLED,
    RECORDS_HEARD,
];
