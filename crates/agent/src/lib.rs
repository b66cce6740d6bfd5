//! The agent process: the one gate before an engine or plain service.

mod admitter;
mod answers;
mod engine_app;
mod error;
pub mod events;
pub mod headers;
mod hub;
pub mod loader;
mod metrics;
mod passage;
mod plain_app;
pub mod requests;
mod tokens;

pub use error::AgentError;
