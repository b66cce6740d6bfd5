//! `wagtailreel events`: the catalogue of numbered events.

use std::ffi::OsString;

use wagtailreel_telemetry::{Event, catalogue};

use crate::args::Options;
use crate::error::CommandError;

pub(super) fn run(args: Vec<OsString>) -> Result<(), CommandError> {
    let options = Options::parse(args, &[])?;
    options.no_words()?;
    print!("{}", catalogue(&all_events()));
    Ok(())
}

/// Collects the events of every crate that logs.
fn all_events() -> Vec<Event> {
    [
        wagtailreel_entry::events::ALL,
        wagtailreel_agent_core::events::ALL,
        wagtailreel_control::events::ALL,
        wagtailreel_transfer::events::ALL,
        wagtailreel_telemetry::events::ALL,
        wagtailreel_fleet::events::ALL,
        wagtailreel_nearby::events::ALL,
        wagtailreel_direct::events::ALL,
        wagtailreel_stage::events::ALL,
        wagtailreel_serve::events::ALL,
    ]
    .concat()
}
