//! Serves HTTP/1.1 connections, and closes them without losing a request.
//!
//! A [`Server`] accepts connections on one listener and serves each with a [`Handler`]. When its process
//! shuts down, the server goes through the phases of [`Phase`]. The listener logs one event when it is
//! closed, and so does each connection that was not closed normally: how many requests it had, how many bytes
//! were unread, and why it ended.

mod activity;
mod body;
mod closing;
mod connection;
pub mod events;
mod handler;
mod handshakes;
mod listener;
mod metrics;
mod options;
mod phase;
mod server;
mod socket;
mod unread;

pub use body::RequestBody;
pub use closing::MAX_IDLE;
pub use connection::ConnectionNumber;
pub use handler::{Handler, Limits, ResponseBody, Routes};
pub use metrics::ConnectionCounters;
pub use options::connection_options;
pub use phase::Phase;
pub use server::Server;
