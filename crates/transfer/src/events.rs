//! Events of the transfer of chunks, 4000 to 4999.

use wagtailreel_telemetry::{Event, Level};

/// Weights are wanted.
pub const WANTED: Event = Event {
    id: 4000,
    name: "weights-wanted",
    level: Level::Info,
    meaning: "The weights of `epoch` are being fetched.",
    remedy: "Nothing.",
};

/// Weights are complete.
pub const STAGED: Event = Event {
    id: 4001,
    name: "weights-staged",
    level: Level::Info,
    meaning: "All chunks of `epoch`, bundle `bundle`, are in memory and verified.",
    remedy: "Nothing.",
};

/// Weights don't fit into memory.
pub const NO_MEMORY: Event = Event {
    id: 4002,
    name: "weights-no-memory",
    level: Level::Error,
    meaning: "The weights of `epoch` are not fetched because they don't fit: `trouble`.",
    remedy: "Raise the agent's memory for chunks, or let older weights go.",
};

/// A manifest contradicts itself.
pub const BAD_MANIFEST: Event = Event {
    id: 4003,
    name: "weights-bad-manifest",
    level: Level::Error,
    meaning: "The weights of `epoch` can't be used because a manifest is wrong: `trouble`.",
    remedy: "Publish the weights again under a new version.",
};

/// A manifest can't be had.
pub const NO_MANIFEST: Event = Event {
    id: 4010,
    name: "manifest-missing",
    level: Level::Warn,
    meaning: "A manifest of `epoch` can't be had for now: `trouble`.",
    remedy: "Look at the origin, and check that the version was published.",
};

/// A manifest came from a peer.
pub const PEER_MANIFEST: Event = Event {
    id: 4013,
    name: "manifest-from-peer",
    level: Level::Info,
    meaning: "The origin is out of reach; a VM that holds the weights gave their manifest.",
    remedy: "Nothing for the weights; look why the origin is out of reach.",
};

/// The origin fails.
pub const ORIGIN_FAILS: Event = Event {
    id: 4011,
    name: "origin-fails",
    level: Level::Warn,
    meaning: "The origin refuses or fails to give chunks: `trouble`.",
    remedy: "Look at the origin; the agent comes back to it by itself.",
};

/// The origin gives again.
pub const ORIGIN_GIVES: Event = Event {
    id: 4012,
    name: "origin-gives",
    level: Level::Info,
    meaning: "The origin gives chunks again.",
    remedy: "Nothing.",
};

/// A chunk is corrupt.
pub const CORRUPT: Event = Event {
    id: 4020,
    name: "chunk-corrupt",
    level: Level::Warn,
    meaning: "`giver` gave chunk `chunk` with other bytes; it was thrown away.",
    remedy: "Look at the giver's memory and network if it comes again.",
};

/// A neighbour can't be reached.
pub const NEIGHBOUR_LOST: Event = Event {
    id: 4030,
    name: "neighbour-lost",
    level: Level::Info,
    meaning: "The neighbour `vm` doesn't say which chunks it has: `trouble`.",
    remedy: "Nothing if its VM is being replaced; look at the VM or the network otherwise.",
};

/// A neighbour can be reached again.
pub const NEIGHBOUR_FOUND: Event = Event {
    id: 4031,
    name: "neighbour-found",
    level: Level::Info,
    meaning: "The neighbour `vm` says again which chunks it has.",
    remedy: "Nothing.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    WANTED,
    STAGED,
    NO_MEMORY,
    BAD_MANIFEST,
    NO_MANIFEST,
    PEER_MANIFEST,
    ORIGIN_FAILS,
    ORIGIN_GIVES,
    CORRUPT,
    NEIGHBOUR_LOST,
    NEIGHBOUR_FOUND,
];
