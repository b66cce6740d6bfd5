//! Names of the system's own HTTP headers, in lower case as they are on the wire.

/// Beginning of the name of every header of the system's own.
pub const HEADER_PREFIX: &str = "wagtailreel-";

/// Outcome of a request.
pub const OUTCOME: &str = "wagtailreel-outcome";

/// Why a request was not run.
pub const REASON: &str = "wagtailreel-reason";

/// Time after which it is worth trying again, in milliseconds.
pub const RETRY_AFTER_MS: &str = "wagtailreel-retry-after-ms";

/// Id of a request: a caller's towards an entry, an attempt's towards a plain service.
pub const REQUEST: &str = "wagtailreel-request";

/// Priority of a request.
pub const PRIORITY: &str = "wagtailreel-priority";

/// Time that is left until a request is no longer worth starting, in milliseconds.
pub const DEADLINE_MS: &str = "wagtailreel-deadline-ms";

/// Key of an order, which runs at most once.
pub const ORDER: &str = "wagtailreel-order";

/// Service that is asked.
pub const SERVICE: &str = "wagtailreel-service";

/// Customer that asks.
pub const CUSTOMER: &str = "wagtailreel-customer";

/// Digest of the bundle that must answer.
pub const PIN: &str = "wagtailreel-pin";

/// Index of the first token that is wanted, of a request whose stream was cut.
pub const RESUME_FROM: &str = "wagtailreel-resume-from";

/// Start of the agent that a request was sent to, in a cancel.
pub const INCARNATION: &str = "wagtailreel-incarnation";

/// Digest of the bundle that answers.
pub const WEIGHTS: &str = "wagtailreel-weights";

/// Epoch of the bundle that answers.
pub const EPOCH: &str = "wagtailreel-epoch";

/// Digests and lengths of the parts of a bundle that is loaded.
pub const PARTS: &str = "wagtailreel-parts";
