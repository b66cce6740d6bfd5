//! Open-loop load on entries, with a check of every answer.
//!
//! Requests come at times drawn beforehand, whatever the answers do, and times are counted from
//! there: a slow system can't slow its own load down and so hide its slowness.

mod expected;
mod plan;
mod report;
mod run;
mod schedule;
mod stats;
mod tally;

pub use expected::Verdict;
pub use plan::{CustomerShare, MaxTokens, Orders, Plan, Prompts, ServiceShare, Step};
pub use report::{GroupReport, LoadReport, Percentiles, StepReport};
pub use run::run_load;
pub use schedule::{Arrival, Schedule};
