//! Names of the system's own HTTP headers, in lower case as they are on the wire.

/// Prefix of the names of the system's own headers.
pub const HEADER_PREFIX: &str = "wagtailreel-";

/// Outcome of a request.
pub const OUTCOME: &str = "wagtailreel-outcome";

/// Why a request was not run.
pub const REASON: &str = "wagtailreel-reason";

/// Time after which the caller should retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "wagtailreel-retry-after-ms";

/// Id of the caller's request (from a caller to an entry), or of the attempt (from an agent to a plain
/// service).
pub const REQUEST: &str = "wagtailreel-request";

/// Priority of a request.
pub const PRIORITY: &str = "wagtailreel-priority";

/// Time left until the request must not be started any more, in milliseconds.
pub const DEADLINE_MS: &str = "wagtailreel-deadline-ms";

/// Key of an order, which runs at most once.
pub const ORDER: &str = "wagtailreel-order";

/// Service that the request is for.
pub const SERVICE: &str = "wagtailreel-service";

/// Customer that sent the request.
pub const CUSTOMER: &str = "wagtailreel-customer";

/// Digest of the bundle that must answer the request.
pub const PIN: &str = "wagtailreel-pin";

/// Index of the first token to send, for a request that resumes an interrupted stream.
pub const RESUME_FROM: &str = "wagtailreel-resume-from";

/// Incarnation of the agent to which the request was sent, in a cancellation.
pub const INCARNATION: &str = "wagtailreel-incarnation";

/// Digest of the bundle that answered.
pub const WEIGHTS: &str = "wagtailreel-weights";

/// Epoch of the bundle that answered.
pub const EPOCH: &str = "wagtailreel-epoch";

/// Digests and lengths of the parts of a loaded bundle.
pub const PARTS: &str = "wagtailreel-parts";
