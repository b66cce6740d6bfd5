//! The control protocol between processes as Cap'n Proto messages.
//!
//! The schema is `control.capnp`; the code generated from it is committed, so that a build needs no
//! generator. Each `write_` function fills a message from a type of `wagtailreel-core`, each
//! `read_` function makes the type from a message. Messages are untrusted, so each is validated.

// Generated code keeps the generator's style and carries no doc comments.
#[allow(
    missing_docs,
    missing_debug_implementations,
    redundant_imports,
    redundant_lifetimes,
    trivial_numeric_casts,
    unreachable_pub,
    unused_lifetimes,
    clippy::all,
    clippy::missing_errors_doc,
    clippy::missing_panics_doc,
    clippy::unwrap_used
)]
#[rustfmt::skip]
#[path = "generated/control_capnp.rs"]
pub mod control_capnp;

mod directive;
mod error;
mod field;
mod limits;
mod peer;
mod report;
mod state;
mod vm;

pub use directive::{
    DirectiveMessage, Seen, read_directive, read_seen, write_directive, write_seen,
};
pub use error::WireError;
pub use limits::{MAX_MESSAGE_BYTES, reader_options};
pub use peer::{
    EntryDemand, read_entry_demand, read_peer_state, write_entry_demand, write_peer_state,
};
pub use report::{read_report, write_report};
pub use state::{read_service_state, read_state_view, write_service_state, write_state_view};
pub use vm::{read_vm, write_vm};
