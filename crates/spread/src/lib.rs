//! Which chunk to fetch from whom: decisions of the weights' spread, without I/O.
//!
//! A [`Planner`] decides for one VM and one bundle. It is told the time, what peers have and how
//! fetches ended, and returns the fetches to start and to drop. Every VM runs the same rules on
//! what it sees; no VM coordinates.

mod chunk_set;
mod draw;
mod event;
mod neighbours;
mod peers;
mod planner;
mod ranking;
mod spread;
mod timing;
mod tuning;

pub use chunk_set::ChunkSet;
pub use event::{Action, Event, Failure, Fetch, FetchId, Reason, Site, Source};
pub use planner::{Planner, PlannerConfig};
pub use tuning::Tuning;
