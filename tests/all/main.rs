//! Tests of the whole system with real processes, one file a feature.
// A test that can't go on says so by a panic.
#![allow(clippy::unwrap_used)]

mod cli;
mod membership;
mod orders;
mod outcomes;
mod overload;
#[path = "support/requests.rs"]
mod requests;
mod support;
mod whole_session;
