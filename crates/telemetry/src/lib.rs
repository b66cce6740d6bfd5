//! Numbered events, log format and metrics shared by the processes.
//!
//! Each crate keeps its events as constants in a module `events` and lists them in a constant
//! `ALL`; the page `docs/events.md` is made from these lists.

mod event;
mod logging;
mod metrics;

pub use event::{Event, Level, catalogue};
pub use logging::init_logging;
pub use metrics::{MetricsError, encode_metrics};
