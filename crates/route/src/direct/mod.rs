//! Decisions of an entry that sends requests directly to upstreams, and of the agents beside them.
//!
//! [`Upstreams`] chooses the upstream for a request or refuses the request, from the [`Prediction`] for each
//! engine. [`PendingArrivals`] counts the requests announced to an agent that its engine has not reported
//! yet. [`Namings`] tells on which weights a request may begin. [`StallPolicy`] tells how long a stream may
//! stall. [`Permits`] keeps all entries together within the rate limits that upstreams name, and
//! [`WarmupPermits`] within what a cold upstream tolerates. [`RefusalRate`] tells when a refused caller should
//! retry. [`Admission`] refuses less urgent requests first under overload. [`PromptCache`] tells what engines
//! are assumed to hold of a prompt. [`Quarantine`] identifies requests that crash upstreams.
//! [`next_step`] decides what follows the end of an attempt.

mod admission;
mod announcements;
mod capacity;
mod choice;
mod correction;
mod crash_record;
mod ending;
mod exclusion;
mod limit;
mod load_reports;
mod member;
mod naming;
mod overview;
mod pace;
mod pending;
mod permits;
mod pick;
mod prediction;
mod prefill;
mod prompt_cache;
mod quarantine;
mod refusal_rate;
mod reported_levels;
mod rest;
mod restriction;
mod retry;
mod stall;
mod trusted;
mod upstreams;
mod warmup;

pub use admission::{Admission, Class, Decision, Offer, choice_objective};
pub use correction::Correction;
pub use ending::{Attempt, Ending, Next, next_step};
pub use exclusion::Exclusion;
pub use limit::{Limit, NamedLimit};
pub use load_reports::{LoadReport, LoadReports};
pub use member::{LoadSource, Member};
pub use naming::{Naming, NamingBounds, NamingSource, Namings};
pub use overview::Overview;
pub use pending::PendingArrivals;
pub use permits::{ISSUER_SHARES, Permits};
pub use pick::{Pick, Requirements, Unavailable};
pub use prediction::Prediction;
pub use prefill::PrefillQueue;
pub use prompt_cache::{PromptCache, PromptCacheConfig, PromptPrefix};
pub use quarantine::{Quarantine, Suspicion};
pub use refusal_rate::RefusalRate;
pub use reported_levels::ReportedLevels;
pub use rest::rest_from_secs;
pub use restriction::Restriction;
pub use stall::{Liveness, StallPolicy};
pub use upstreams::Upstreams;
pub use warmup::{WarmupLimit, WarmupPermits};
