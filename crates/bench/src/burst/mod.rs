//! The experiment on bursts: new weights for a whole fleet over links that carry few copies.
//!
//! Links are scaled so that in the window W the origin carries four copies and a VM two, one in
//! and one out at full duplex. A copy then takes half the window over a VM's link, which together
//! with the engine's load is the lower bound on the time to live.

mod fault;
mod outcome;
mod plot;
mod run;
mod setup;

pub use fault::Fault;
pub use outcome::{BurstOutcome, Latency, to_json, to_table};
pub use plot::to_svg;
pub use run::run_burst;
pub use setup::{Burst, House};
