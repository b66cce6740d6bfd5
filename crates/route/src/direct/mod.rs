//! Decisions of an entry that sends requests straight to upstreams, and of the agents beside them.
//!
//! [`Upstreams`] chooses where a request goes or refuses it, by what [`Prediction`] expects of each
//! engine; [`PendingArrivals`] is the agent's account of requests on their way to its engine, which all
//! entries share; [`Namings`] says on which weights a request may begin; [`StallPolicy`] says how long a stream is waited
//! for; [`Permits`] keeps all entries together to the limits that upstreams name; [`RefusalRate`] says when a refused caller is to come back; [`Quarantine`] knows requests under
//! which upstreams end; [`next_step`] says what follows from the end of an attempt.

mod capacity;
mod correction;
mod ending;
mod exclusion;
mod limit;
mod load_reports;
mod member;
mod naming;
mod pending;
mod permits;
mod pick;
mod prediction;
mod prefill;
mod quarantine;
mod refusal_rate;
mod retry;
mod stall;
mod upstreams;

pub use correction::Correction;
pub use ending::{Attempt, Ending, Next, next_step};
pub use exclusion::Exclusion;
pub use limit::{Limit, NamedLimit};
pub use load_reports::{LoadReport, LoadReports};
pub use member::{LoadSource, Member};
pub use naming::{Naming, NamingBounds, NamingSource, Namings};
pub use pending::PendingArrivals;
pub use permits::{ISSUER_SHARES, Permits};
pub use pick::{Pick, Requirements, Unavailable};
pub use prediction::Prediction;
pub use prefill::PrefillQueue;
pub use quarantine::{Quarantine, Suspicion};
pub use refusal_rate::RefusalRate;
pub use stall::{Liveness, StallPolicy};
pub use upstreams::Upstreams;
