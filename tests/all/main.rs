//! Tests of the whole system with real processes, one file a feature.
// A test that can't go on says so by a panic.
#![allow(clippy::unwrap_used)]

mod agreement;
mod cli;
mod membership;
mod orders;
mod outcomes;
mod overload;
mod partition;
#[path = "support/requests.rs"]
mod requests;
mod signals;
mod support;
mod switch;
mod weights;
mod weights_faults;
mod whole_session;
