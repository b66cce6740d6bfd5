//! Events of an entry that sends requests directly to upstreams, numbers 6100 to 6199.

use wagtailreel_telemetry::{Event, Level};

/// The entry answers callers.
pub const STARTED: Event = Event {
    id: 6101,
    name: "direct-entry-started",
    level: Level::Info,
    meaning: "The entry listens for callers; it is ready once it has a configuration.",
    remedy: "Nothing.",
};

/// The entry shuts down.
pub const LEAVING: Event = Event {
    id: 6102,
    name: "direct-entry-leaving",
    level: Level::Info,
    meaning: "The entry reports that it is not ready, and finishes the requests that it has.",
    remedy: "Nothing.",
};

/// The entry has ended.
pub const STOPPED: Event = Event {
    id: 6103,
    name: "direct-entry-stopped",
    level: Level::Info,
    meaning: "The entry has ended; `open` requests were cut off.",
    remedy: "If `open` is not 0, lengthen the grace period.",
};

/// Settings were read again.
pub const RELOADED: Event = Event {
    id: 6104,
    name: "settings-reloaded",
    level: Level::Info,
    meaning: "The settings file was read again; the outcome says whether anything needs a restart.",
    remedy: "Fix the file if it was refused.",
};

/// Readiness changed.
pub const READINESS: Event = Event {
    id: 6105,
    name: "readiness-changed",
    level: Level::Info,
    meaning: "The readiness that the entry reports to the balancer has changed.",
    remedy: "If it is not ready for long, look at the reason.",
};

/// A configuration is in force.
pub const CONFIG_IN_FORCE: Event = Event {
    id: 6110,
    name: "configuration-in-force",
    level: Level::Info,
    meaning: "A configuration from the registry is in force at this entry.",
    remedy: "Nothing.",
};

/// A configuration was ignored.
pub const CONFIG_OLD: Event = Event {
    id: 6111,
    name: "configuration-old",
    level: Level::Warn,
    meaning: "The registry returned a configuration older than the one in force; the entry ignored it.",
    remedy: "Nothing, unless it persists: then compare the registry with the entry.",
};

/// Weights were named.
pub const WEIGHTS_NAMED: Event = Event {
    id: 6112,
    name: "weights-named",
    level: Level::Info,
    meaning: "A version of a model's weights is to be served; `told` says how the entry learned of it, \
              `age_ms` how long ago the registry did not name it yet.",
    remedy: "Nothing; `held` means that the registry names an older version than engines hold.",
};

/// An agent proved from when the bound of a naming counts.
pub const NAMING_LEARNED: Event = Event {
    id: 6115,
    name: "naming-learned",
    level: Level::Info,
    meaning: "An agent proved that weights were not named yet at some time; the entry counts the bound \
              of their naming from the latest such time, `age_ms` ago.",
    remedy: "Nothing.",
};

/// The source of the load of another data centre has changed.
pub const REMOTE_LOAD_SOURCE: Event = Event {
    id: 6116,
    name: "far-load-source",
    level: Level::Info,
    meaning: "From now on the load of the engines in `data_centre` comes from the entry `giver`, or \
              from each agent there if `giver` is `agents`.",
    remedy: "If it is `agents` for long, check the reason: each entry then queries each agent there.",
};

/// The known state of an upstream changed.
pub const UPSTREAM_CHANGED: Event = Event {
    id: 6113,
    name: "upstream-changed",
    level: Level::Info,
    meaning: "An upstream was added or removed, drains, or holds other weights.",
    remedy: "Nothing.",
};

/// An upstream is ejected after failures.
pub const UPSTREAM_SHUNNED: Event = Event {
    id: 6114,
    name: "upstream-shunned",
    level: Level::Warn,
    meaning: "Requests to an upstream failed; the entry sends it none for a while.",
    remedy: "Check the upstream and the link to it.",
};

/// An upstream announces another rate limit.
pub const UPSTREAM_LIMIT: Event = Event {
    id: 6118,
    name: "upstream-limit",
    level: Level::Info,
    meaning: "An upstream announced another limit of requests a second for all entries together, or \
              none any more, or one that can't be parsed.",
    remedy: "Check why the upstream limits its load; fix it if it announces something that is not a \
              number.",
};

/// An answer says that its upstream leaves.
pub const UPSTREAM_SAYS_LEAVING: Event = Event {
    id: 6106,
    name: "upstream-says-leaving",
    level: Level::Info,
    meaning: "The answer to the request `id` says that its upstream leaves.",
    remedy: "Nothing, unless the upstream stays.",
};

/// An upstream asked this entry for rest.
pub const UPSTREAM_RESTS: Event = Event {
    id: 6107,
    name: "upstream-rests",
    level: Level::Info,
    meaning: "The upstream turned the request `id` away, and wants no other one from this entry for \
              `for_ms`.",
    remedy: "If it happens often, add upstreams.",
};

/// A request that may have run waited for another upstream.
pub const UPSTREAM_AWAITED: Event = Event {
    id: 6119,
    name: "upstream-awaited",
    level: Level::Info,
    meaning: "A request whose upstream was lost waited for another one; `obstacles` counts the \
              upstreams that were ruled out at first, `upstream` is empty if the deadline passed \
              before one could be chosen.",
    remedy: "If it is often empty, add upstreams, or check why the registered ones are ruled out.",
};

/// A request, or a part of prompts, is quarantined.
pub const REQUEST_QUARANTINED: Event = Event {
    id: 6117,
    name: "request-quarantined",
    level: Level::Warn,
    meaning: "Each of `upstreams` ended while it ran the request with this fingerprint, or a request with \
              this part of a prompt; no such request is sent to any upstream for `for_s`. `source` says \
              whether this entry saw the last one end, or got a report.",
    remedy: "Find the fingerprint in the lines `attempt-ended`, of the request or among its `parts`, and \
             fix the upstream.",
};

/// A request is over.
pub const REQUEST_DONE: Event = Event {
    id: 6120,
    name: "request-done",
    level: Level::Info,
    meaning: "The final answer to a request was sent, or its caller left.",
    remedy: "Follow its id through `attempt-ended`.",
};

/// A request was answered by the entry itself.
pub const REQUEST_REFUSED: Event = Event {
    id: 6121,
    name: "request-refused",
    level: Level::Info,
    meaning: "The entry answered a request itself; the fields show the reason.",
    remedy: "See docs/OPERATIONS.md.",
};

/// A request of a class that is admitted in part was admitted or shed.
pub const ADMISSION_DRAWN: Event = Event {
    id: 6125,
    name: "admission-drawn",
    level: Level::Info,
    meaning: "The service is overloaded and admits only `class_share` of the requests of this `rank`; `level` \
              is the share of the offered engine time that the entry admits. With `outcome` shed, no \
              upstream got the request `id`.",
    remedy: "If it lasts, add engines.",
};

/// A data centre is evacuated.
pub const EVACUATION_IN_FORCE: Event = Event {
    id: 6123,
    name: "evacuation-in-force",
    level: Level::Warn,
    meaning: "The entry sends nothing more to the upstreams of `data_centre`, where `running` of its requests \
              still run.",
    remedy: "Withdraw the evacuation once the data centre may serve again.",
};

/// An evacuation was withdrawn.
pub const EVACUATION_WITHDRAWN: Event = Event {
    id: 6124,
    name: "evacuation-withdrawn",
    level: Level::Info,
    meaning: "The entry may send requests to the upstreams of `data_centre` again.",
    remedy: "Nothing.",
};

/// An attempt ended without an answer for the caller.
pub const ATTEMPT_ENDED: Event = Event {
    id: 6122,
    name: "attempt-ended",
    level: Level::Info,
    meaning: "An attempt at an upstream gave no answer for the caller; `next` says what the entry does \
              next.",
    remedy: "See docs/OPERATIONS.md.",
};

/// No permit of the warm-up limit is due for an upstream.
pub const WARMUP_LIMITED: Event = Event {
    id: 6126,
    name: "warmup-limited",
    level: Level::Info,
    meaning: "The requests of all entries to the upstream reach what it tolerates while it is cold; the \
              entry sends it none for `wait_ms`.",
    remedy: "If it is frequent while engines are warm, add upstreams, or check the warm-up rate of the \
             service.",
};

/// An agent did not answer a request for a permit of the warm-up limit.
pub const WARMUP_UNANSWERED: Event = Event {
    id: 6127,
    name: "warmup-unanswered",
    level: Level::Warn,
    meaning: "The agent at `issuer` answered neither of two requests for a permit for the upstream; the \
              entry sends the upstream nothing for 0.5 s, and asks other agents for 3 s.",
    remedy: "Check the agent and the link to it.",
};

/// A stream stalled at its upstream.
pub const STREAM_STALLED: Event = Event {
    id: 6128,
    name: "stream-stalled",
    level: Level::Info,
    meaning: "The upstream of a stream sent no event for `silent_ms`. `outcome` is replaced if the upstream \
              `other` answered first, went-on if the current one did, kept if the stream may not be sent to \
              another one now (`sent`, `budget` and `left_ms` tell why) and goes on waiting, and timeout if \
              neither answered until the deadline.",
    remedy: "If it is frequent, check the upstreams and the links to them.",
};

/// All events of this crate.
pub const ALL: &[Event] = &[
    STARTED,
    LEAVING,
    STOPPED,
    RELOADED,
    READINESS,
    CONFIG_IN_FORCE,
    CONFIG_OLD,
    WEIGHTS_NAMED,
    NAMING_LEARNED,
    REMOTE_LOAD_SOURCE,
    UPSTREAM_CHANGED,
    UPSTREAM_SHUNNED,
    UPSTREAM_LIMIT,
    UPSTREAM_SAYS_LEAVING,
    UPSTREAM_RESTS,
    REQUEST_QUARANTINED,
    REQUEST_DONE,
    REQUEST_REFUSED,
    ADMISSION_DRAWN,
    UPSTREAM_AWAITED,
    ATTEMPT_ENDED,
    EVACUATION_IN_FORCE,
    EVACUATION_WITHDRAWN,
    WARMUP_LIMITED,
    WARMUP_UNANSWERED,
    STREAM_STALLED,
];
