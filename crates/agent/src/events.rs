//! Events of the agent, numbers 2000 to 2999.

use wagtailreel_telemetry::{Event, Level};

/// The agent serves.
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
    meaning: "The agent takes no new work and finishes what runs.",
    remedy: "Nothing; wait for `agent-stopped`.",
};

/// The agent has finished everything.
pub const AGENT_STOPPED: Event = Event {
    id: 2002,
    name: "agent-stopped",
    level: Level::Info,
    meaning: "Every request has ended and the agent has closed its listeners.",
    remedy: "Nothing.",
};

/// The list of VMs says that the own VM leaves.
pub const LISTED_LEAVING: Event = Event {
    id: 2003,
    name: "listed-leaving",
    level: Level::Info,
    meaning: "The list of VMs marks this VM as leaving; the agent takes no new work.",
    remedy: "Stop the agent; if the VM is to stay after all, restart it once the list says so.",
};

/// A higher revision of the service was taken.
pub const STATE_TAKEN: Event = Event {
    id: 2010,
    name: "state-taken",
    level: Level::Info,
    meaning: "The agent has taken a higher revision of its service.",
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
    meaning: "The engine refused to load, or its answer was lost; the agent tries again.",
    remedy: "If it repeats, read the field `why` and the engine's own log.",
};

/// The engine itself reports a bundle.
pub const BUNDLE_LOADED: Event = Event {
    id: 2022,
    name: "bundle-loaded",
    level: Level::Info,
    meaning: "The engine itself reports the digest of the bundle.",
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

/// The engine restarted by itself.
pub const ENGINE_RESTARTED: Event = Event {
    id: 2024,
    name: "engine-restarted",
    level: Level::Warn,
    meaning: "The engine has started anew and has lost its bundles; the agent loads them again.",
    remedy: "Find out in the engine's own log why it restarted.",
};

/// The engine gives no status.
pub const ENGINE_AWAY: Event = Event {
    id: 2025,
    name: "engine-away",
    level: Level::Warn,
    meaning: "The engine has not answered several questions for its status in a row.",
    remedy: "Check that the engine runs at `upstream.url`.",
};

/// The engine did not know a bundle that it had loaded.
pub const BUNDLE_MISSING: Event = Event {
    id: 2026,
    name: "bundle-missing",
    level: Level::Warn,
    meaning: "The engine refused a request because it does not hold the bundle any more.",
    remedy: "Nothing if the engine restarted; else read the engine's own log.",
};

/// A stream of tokens was cut.
pub const STREAM_CUT: Event = Event {
    id: 2030,
    name: "stream-cut",
    level: Level::Warn,
    meaning: "The engine's stream broke off; the agent has broken off its own answer too.",
    remedy: "Read the engine's own log.",
};

/// An answer came from other weights than the admitted ones.
pub const WRONG_WEIGHTS: Event = Event {
    id: 2031,
    name: "wrong-weights",
    level: Level::Error,
    meaning: "The engine answered with another bundle than the request was admitted to.",
    remedy: "Take the engine out of service and report the fault to its maker.",
};

/// The ledger of requests is full.
pub const LEDGER_FULL: Event = Event {
    id: 2032,
    name: "ledger-full",
    level: Level::Error,
    meaning: "The agent remembers as many requests as it can and refuses more; logged once.",
    remedy: "Spread the load over more VMs.",
};

/// The list of VMs can't be had.
pub const VM_LIST_AWAY: Event = Event {
    id: 2040,
    name: "vm-list-away",
    level: Level::Warn,
    meaning: "The list of VMs can't be had; the agent keeps to the entries it knows.",
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
