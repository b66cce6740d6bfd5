//! Events of an agent that stages weights, numbers 6200 to 6299.

use wagtailreel_telemetry::{Event, Level};

/// The agent has started.
pub const STARTED: Event = Event {
    id: 6201,
    name: "staging-agent-started",
    level: Level::Info,
    meaning: "The agent has started and follows the registry and its engine.",
    remedy: "Nothing.",
};

/// The agent has ended.
pub const STOPPED: Event = Event {
    id: 6202,
    name: "staging-agent-stopped",
    level: Level::Info,
    meaning: "The agent has ended; its engine keeps serving the weights that it holds.",
    remedy: "Nothing.",
};

/// Weights were named.
pub const WEIGHTS_NAMED: Event = Event {
    id: 6210,
    name: "agent-weights-named",
    level: Level::Info,
    meaning: "A version of the model's weights was named and should be served.",
    remedy: "Nothing.",
};

/// A fetch began.
pub const FETCH_BEGUN: Event = Event {
    id: 6211,
    name: "fetch-begun",
    level: Level::Info,
    meaning: "The agent has started to fetch missing chunks of a version of the weights.",
    remedy: "Nothing.",
};

/// A fetch is complete.
pub const FETCH_DONE: Event = Event {
    id: 6212,
    name: "fetch-done",
    level: Level::Info,
    meaning: "All chunks are stored and verified; the fields give the number of chunks by source.",
    remedy: "Nothing.",
};

/// A chunk does not match its digest.
pub const CHUNK_CORRUPT: Event = Event {
    id: 6213,
    name: "chunk-corrupt",
    level: Level::Warn,
    meaning: "A chunk does not match its digest; the chunk was discarded.",
    remedy: "If it recurs, check the memory and links of the sender.",
};

/// A digest of a manifest was wrong.
pub const MANIFEST_CORRECTED: Event = Event {
    id: 6224,
    name: "manifest-corrected",
    level: Level::Warn,
    meaning: "The same bytes of chunk `chunk` were rejected twice, and the copy of the manifest from `giver` has their \
              digest; the manifest of `model`, `version` was corrected.",
    remedy: "If it recurs, check the origin and its link: a manifest came with a wrong digest.",
};

/// A manifest is not available.
pub const MANIFEST_MISSING: Event = Event {
    id: 6214,
    name: "manifest-missing",
    level: Level::Warn,
    meaning: "Neither another agent nor the origin sent the manifest; the request is repeated.",
    remedy: "Check the origin.",
};

/// A fetch of a chunk from the origin ended.
pub const CHUNK_DRAWN: Event = Event {
    id: 6215,
    name: "chunk-drawn",
    level: Level::Info,
    meaning: "A fetch of a chunk from the origin ended; the fields give the reason why this agent fetched \
              it, the duration and the outcome.",
    remedy: "If fetches fail or take long, check the origin and its link.",
};

/// The engine was ordered to load.
pub const LOAD_ORDERED: Event = Event {
    id: 6220,
    name: "load-ordered",
    level: Level::Info,
    meaning: "The agent ordered the engine to load staged weights; the outcome is the engine's answer.",
    remedy: "If it recurs for one version, check the engine.",
};

/// Staging failed.
pub const STAGING_FAILED: Event = Event {
    id: 6221,
    name: "staging-failed",
    level: Level::Warn,
    meaning: "The engine did not accept a chunk; staging starts again.",
    remedy: "Check the engine.",
};

/// The engine's state changed.
pub const ENGINE_CHANGED: Event = Event {
    id: 6222,
    name: "engine-changed",
    level: Level::Info,
    meaning: "The engine holds other weights, answers again, or has stopped answering.",
    remedy: "If the engine does not answer for long, check it.",
};

/// The engine restarted.
pub const ENGINE_RESTARTED: Event = Event {
    id: 6223,
    name: "staged-engine-restarted",
    level: Level::Warn,
    meaning: "The engine restarted under its previous id: it holds no weights and has begun no order.",
    remedy: "If it recurs, check the engine's log.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPED,
    WEIGHTS_NAMED,
    FETCH_BEGUN,
    FETCH_DONE,
    CHUNK_CORRUPT,
    MANIFEST_CORRECTED,
    MANIFEST_MISSING,
    CHUNK_DRAWN,
    LOAD_ORDERED,
    STAGING_FAILED,
    ENGINE_CHANGED,
    ENGINE_RESTARTED,
];
