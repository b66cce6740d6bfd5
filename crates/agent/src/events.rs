//! Events of the agent, numbers 2000 to 2999.

use wagtailreel_telemetry::{Event, Level};

/// The agent has started.
pub const AGENT_STARTED: Event = Event {
    id: 2000,
    name: "agent-started",
    level: Level::Info,
    meaning: "The agent listens and waits for its first directive.",
    remedy: "Nothing.",
};

/// A graceful shutdown has begun.
pub const AGENT_LEAVING: Event = Event {
    id: 2001,
    name: "agent-leaving",
    level: Level::Info,
    meaning: "The agent accepts no new requests and finishes the running ones.",
    remedy: "Nothing; wait for `agent-stopped`.",
};

/// The agent has stopped.
pub const AGENT_STOPPED: Event = Event {
    id: 2002,
    name: "agent-stopped",
    level: Level::Info,
    meaning: "Every request has ended and the agent has closed its listeners.",
    remedy: "Nothing.",
};

/// The list of VMs marks this VM as leaving.
pub const LISTED_LEAVING: Event = Event {
    id: 2003,
    name: "listed-leaving",
    level: Level::Info,
    meaning: "The list of VMs marks this VM as leaving; the agent accepts no new requests.",
    remedy: "Stop the agent. If the VM is to stay, restart the agent once the list no longer marks the VM.",
};

/// The agent has applied a higher revision of the service.
pub const STATE_TAKEN: Event = Event {
    id: 2010,
    name: "state-taken",
    level: Level::Info,
    meaning: "The agent has applied a higher revision of its service.",
    remedy: "Nothing.",
};

/// An epoch was opened.
pub const EPOCH_OPENED: Event = Event {
    id: 2011,
    name: "epoch-opened",
    level: Level::Info,
    meaning: "The agent admits requests to this epoch from now on.",
    remedy: "Nothing.",
};

/// Epochs were closed.
pub const EPOCH_CLOSED: Event = Event {
    id: 2012,
    name: "epoch-closed",
    level: Level::Info,
    meaning: "The agent admits no more requests to epochs below this one.",
    remedy: "Nothing.",
};

/// The engine was ordered to load a bundle.
pub const LOAD_ORDERED: Event = Event {
    id: 2020,
    name: "load-ordered",
    level: Level::Info,
    meaning: "All chunks are verified and the engine was ordered to load the bundle.",
    remedy: "Nothing.",
};

/// The engine did not load a bundle.
pub const LOAD_FAILED: Event = Event {
    id: 2021,
    name: "load-failed",
    level: Level::Warn,
    meaning: "The engine refused to load the bundle, or its answer was lost; the agent retries.",
    remedy: "If it repeats, read the field `why` and the engine's own log.",
};

/// The engine reports a bundle as loaded.
pub const BUNDLE_LOADED: Event = Event {
    id: 2022,
    name: "bundle-loaded",
    level: Level::Info,
    meaning: "The engine reports the digest of the bundle in its own status.",
    remedy: "Nothing.",
};

/// The engine dropped a bundle on the agent's order.
pub const BUNDLE_DROPPED: Event = Event {
    id: 2023,
    name: "bundle-dropped",
    level: Level::Info,
    meaning: "The engine was ordered to drop a bundle that no request needs.",
    remedy: "Nothing.",
};

/// The engine restarted without an order of the agent.
pub const ENGINE_RESTARTED: Event = Event {
    id: 2024,
    name: "engine-restarted",
    level: Level::Warn,
    meaning: "The engine has restarted and lost its bundles; the agent loads them again.",
    remedy: "Find the reason for the restart in the engine's own log.",
};

/// The engine does not answer status requests.
pub const ENGINE_AWAY: Event = Event {
    id: 2025,
    name: "engine-away",
    level: Level::Warn,
    meaning: "The engine has not answered a status request.",
    remedy: "Check that the engine runs at `upstream.url`.",
};

/// The engine no longer holds a bundle that it had loaded.
pub const BUNDLE_MISSING: Event = Event {
    id: 2026,
    name: "bundle-missing",
    level: Level::Warn,
    meaning: "The engine refused a request because it no longer holds the bundle.",
    remedy: "Nothing if the engine restarted; otherwise read the engine's own log.",
};

/// A stream of tokens was cut.
pub const STREAM_CUT: Event = Event {
    id: 2030,
    name: "stream-cut",
    level: Level::Warn,
    meaning: "The engine's stream broke off; the agent has cut its own answer too.",
    remedy: "Read the engine's own log.",
};

/// The engine answered from other weights than the admitted ones.
pub const WRONG_WEIGHTS: Event = Event {
    id: 2031,
    name: "wrong-weights",
    level: Level::Error,
    meaning: "The engine answered from another bundle than the one that the request was admitted to.",
    remedy: "Take the engine out of service and report the fault to its vendor.",
};

/// The ledger of requests is full.
pub const LEDGER_FULL: Event = Event {
    id: 2032,
    name: "ledger-full",
    level: Level::Error,
    meaning: "The agent's ledger of request ids is full and the agent refuses more requests; logged once.",
    remedy: "Spread the load over more VMs.",
};

/// The list of VMs can't be read.
pub const VM_LIST_AWAY: Event = Event {
    id: 2040,
    name: "vm-list-away",
    level: Level::Warn,
    meaning: "The list of VMs can't be read; the agent continues with the entries that it knows.",
    remedy: "Check the platform's list at `platform.vms`.",
};

/// All events of the agent.
pub const ALL: &[Event] = &[
    AGENT_STARTED,
    AGENT_LEAVING,
    AGENT_STOPPED,
    LISTED_LEAVING,
    STATE_TAKEN,
    EPOCH_OPENED,
    EPOCH_CLOSED,
    LOAD_ORDERED,
    LOAD_FAILED,
    BUNDLE_LOADED,
    BUNDLE_DROPPED,
    ENGINE_RESTARTED,
    ENGINE_AWAY,
    BUNDLE_MISSING,
    STREAM_CUT,
    WRONG_WEIGHTS,
    LEDGER_FULL,
    VM_LIST_AWAY,
];
