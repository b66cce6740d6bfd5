//! Decides which chunk of a bundle each VM fetches from which source, without I/O.
//!
//! A [`Planner`] decides for one VM and one bundle. Its input is the time, the chunks of peers and
//! the results of fetches; its output is the fetches to start and to cancel. Every VM applies the
//! same rules to its own view, without a coordinator.
//!
//! A *draw* is a fetch from the origin; the *spread* is the fetches between VMs. Each chunk ranks
//! the VMs, and the first VM draws it. A VM further down *takes over* a draw that is late.

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
