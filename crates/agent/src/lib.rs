//! The agent process: the one gate before an engine or plain service.

pub mod loader;
pub mod requests;
