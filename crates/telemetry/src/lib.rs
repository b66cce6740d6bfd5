//! Numbered events, log format and metrics shared by the processes.
//!
//! Each crate keeps its events as constants in a module `events` and lists them in a constant
//! `ALL`; the page `docs/events.md` is made from these lists.

mod event;
pub mod events;
mod logging;
mod metrics;
mod stdout;

pub use event::{Event, Level, catalogue};
pub use logging::{init_logging, init_stdout_logging};
pub use metrics::{MetricsError, encode_metrics};
pub use stdout::{LogGuard, LogWriter, lines_dropped};
