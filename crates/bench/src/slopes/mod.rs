//! Slopes for the capacity page: what one more request, token, VM or chunk costs.
//!
//! Each slope is a line through measurements at three or more sizes; its residual says how far
//! the measurements lie from the line.

mod cost;
mod fit;
mod measure;
mod reading;
mod run;
mod table;
mod target;
mod workload;

pub use cost::{Cost, read_cost};
pub use fit::{Fit, FitError, fit_line};
pub use measure::{Measure, Scale};
pub use run::run_slopes;
pub use table::{Slope, to_json, to_table};
pub use target::to_projection;
