//! Service-level burn computed from the processes' metrics.
//!
//! [`Samples`] takes scrapes of the processes' metrics over time, [`Report::compute`] holds them
//! against the objectives of the services' documents, and the report is written as text, JSON or
//! one HTML page. Nothing here does I/O or reads a clock.
//!
//! An objective leaves a budget: with 99.9% to be answered, one request in a thousand may fail.
//! The burn rate is the share of bad events in a window divided by that budget: at 1 the budget
//! lasts exactly for its period, above 1 it does not.

mod html;
mod indicator;
mod plot;
mod report;
mod samples;
mod series;
mod text;
mod text_format;

pub use indicator::{Burn, Indicator, IndicatorKind};
pub use report::{BoundReport, IndicatorReport, Report, ServiceReport, Windows};
pub use samples::{Gap, Samples};
pub use text_format::{ParseError, Sample, parse};
