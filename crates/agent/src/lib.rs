//! The agent process, which admits every request to an engine or plain service.
//!
//! `engine_app` or `plain_app` handles a request, checks it with `passage` (ledger, capacity, gate) and
//! sends it to the upstream; `tokens` streams an engine's answer back. Beside the requests run the
//! tasks of `follow` (directives, list of VMs, reports) and the task that monitors the upstream:
//! `engine_watch` for an engine, which executes the decisions of `loader`, or `plain_watch` for a plain
//! service. All tasks share the `hub`.

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
