//! The agent process: the one gate before an engine or plain service.
//!
//! A request's way is `engine_app` or `plain_app`, through `request_guard` (ledger, capacity, gate), to
//! the upstream and back through `tokens`. Beside it run the tasks of `follow` (directives,
//! list of VMs, reports) and the watch over the upstream: `engine_watch` for an engine, which does
//! what `loader` decides, `plain_watch` for a plain service. They share the `hub`.

pub mod admitter;
mod answers;
mod chunks;
mod engine_app;
mod engine_watch;
mod error;
pub mod events;
mod follow;
mod headers;
mod hub;
pub mod loader;
mod metrics;
mod ops;
mod plain_app;
mod plain_watch;
mod pressure;
mod process;
pub mod request_guard;
pub mod requests;
mod tokens;

pub use error::AgentError;
pub use pressure::PressureGauge;
pub use process::AgentProcess;
