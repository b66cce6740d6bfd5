//! Events of an agent that stages weights, numbers 6200 to 6299.

use wagtailreel_telemetry::{Event, Level};

/// The agent runs.
pub const STARTED: Event = Event {
    id: 6201,
    name: "staging-agent-started",
    level: Level::Info,
    meaning: "The agent follows the registry and its engine.",
    remedy: "Nothing.",
};

/// The agent has ended.
pub const STOPPED: Event = Event {
    id: 6202,
    name: "staging-agent-stopped",
    level: Level::Info,
    meaning: "The agent has ended; its engine goes on with what it holds.",
    remedy: "Nothing.",
};

/// Weights were named.
pub const WEIGHTS_NAMED: Event = Event {
    id: 6210,
    name: "agent-weights-named",
    level: Level::Info,
    meaning: "A version of the model's weights is to be served.",
    remedy: "Nothing.",
};

/// A fetch began.
pub const FETCH_BEGUN: Event = Event {
    id: 6211,
    name: "fetch-begun",
    level: Level::Info,
    meaning: "The agent fetches the chunks of weights that it lacks.",
    remedy: "Nothing.",
};

/// A fetch is done.
pub const FETCH_DONE: Event = Event {
    id: 6212,
    name: "fetch-done",
    level: Level::Info,
    meaning: "All chunks are there and verified; the fields tell from where they came.",
    remedy: "Nothing.",
};

/// A chunk was not what it should be.
pub const CHUNK_CORRUPT: Event = Event {
    id: 6213,
    name: "chunk-corrupt",
    level: Level::Warn,
    meaning: "A chunk does not have its digest; it was thrown away.",
    remedy: "Look at the giver's memory and links if it recurs.",
};

/// A manifest can't be had.
pub const MANIFEST_MISSING: Event = Event {
    id: 6214,
    name: "manifest-missing",
    level: Level::Warn,
    meaning: "Neither another agent nor the origin gave the manifest; it is asked for again.",
    remedy: "Look at the origin.",
};

/// A draw from the origin ended.
pub const CHUNK_DRAWN: Event = Event {
    id: 6215,
    name: "chunk-drawn",
    level: Level::Info,
    meaning: "A chunk was drawn from the origin, or was to be: the fields tell why by this agent, how long it \
              took and how it ended.",
    remedy: "If draws fail or take long, look at the origin and its link.",
};

/// The engine loads.
pub const LOAD_ORDERED: Event = Event {
    id: 6220,
    name: "load-ordered",
    level: Level::Info,
    meaning: "The agent told the engine to load staged weights; the outcome says what it answered.",
    remedy: "If it recurs for one version, look at the engine.",
};

/// Staging failed.
pub const STAGING_FAILED: Event = Event {
    id: 6221,
    name: "staging-failed",
    level: Level::Warn,
    meaning: "The engine did not take a chunk; staging begins anew.",
    remedy: "Look at the engine.",
};

/// The engine's state changed.
pub const ENGINE_CHANGED: Event = Event {
    id: 6222,
    name: "engine-changed",
    level: Level::Info,
    meaning: "The engine holds other weights, or answers again, or no longer answers.",
    remedy: "If it does not answer for long, look at the engine.",
};

/// The engine started again.
pub const ENGINE_RESTARTED: Event = Event {
    id: 6223,
    name: "staged-engine-restarted",
    level: Level::Warn,
    meaning: "The engine started again under its old id: it holds nothing and has begun no order.",
    remedy: "If it recurs, look at the engine's own log.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    STOPPED,
    WEIGHTS_NAMED,
    FETCH_BEGUN,
    FETCH_DONE,
    CHUNK_CORRUPT,
    MANIFEST_MISSING,
    CHUNK_DRAWN,
    LOAD_ORDERED,
    STAGING_FAILED,
    ENGINE_CHANGED,
    ENGINE_RESTARTED,
];
