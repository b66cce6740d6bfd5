//! Runs the measurements.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::sleep;
use wagtailreel_standins::VmChange;

use super::fit::fit_line;
use super::measure::{Measure, REPORT, SERVICE, Scale, spec};
use super::reading::{Reading, Spent};
use super::table::Slope;
use super::workload::{edit_often, go_live, hold_streams, load, unreachable_vm};
use crate::error::Result;
use crate::fleet::{Fleet, FleetBinaries};

/// Requests a second while the length of answers grows.
const TOKEN_RATE: f64 = 20.0;
/// Requests a second of orders.
const ORDER_RATE: f64 = 200.0;

/// Role and cost.
type Line = (&'static str, &'static str);

/// One measurement: what was used, for how much.
struct Measured {
    spent: Spent,
    /// How many events an entry and an agent dealt with.
    events: (f64, f64),
    /// How many things an entry and an agent held at the end; none if they hold nothing.
    held: Option<(f64, f64)>,
}

/// Measures `measures`, each at four sizes with a fleet of its own, and fits the lines.
///
/// # Errors
///
/// Returns an error if a fleet can't be started or a load broke a rule.
pub async fn run_slopes(
    measures: &[Measure],
    scale: Scale,
    binaries: &FleetBinaries,
) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for measure in measures {
        let mut lines: BTreeMap<Line, Vec<(f64, f64)>> = BTreeMap::new();
        for size in measure.sizes() {
            eprintln!("measuring {size} x {}", measure.per());
            let fleet = Fleet::start(spec(*measure, size), binaries.clone()).await?;
            let measured = measure_one(*measure, size, scale, &fleet).await?;
            for (line, point) in points(&measured) {
                lines.entry(line).or_default().push(point);
            }
        }
        slopes.extend(lines.into_iter().filter_map(|it| slope(*measure, it)));
    }
    Ok(slopes)
}

/// Returns a point of each line.
fn points(measured: &Measured) -> Vec<(Line, (f64, f64))> {
    let Spent {
        entry,
        agent,
        control_bytes,
    } = measured.spent;
    let (at_entry, at_agent) = measured.events;
    let mut points = vec![
        (("entry", "processor time in us"), (at_entry, entry.cpu_us)),
        (("agent", "processor time in us"), (at_agent, agent.cpu_us)),
        (("all", "control bytes"), (at_entry, control_bytes)),
    ];
    if let Some((at_entry, at_agent)) = measured.held {
        points.push((("entry", "memory in bytes"), (at_entry, entry.memory)));
        points.push((("agent", "memory in bytes"), (at_agent, agent.memory)));
    }
    points
}

/// Fits a line; one along which the size does not grow for the role is left out.
fn slope(measure: Measure, ((role, what), points): (Line, Vec<(f64, f64)>)) -> Option<Slope> {
    Some(Slope {
        role: role.to_owned(),
        what: what.to_owned(),
        per: measure.per().to_owned(),
        fit: fit_line(&points).ok()?,
        points,
    })
}

/// Measures one size.
async fn measure_one(measure: Measure, size: u32, scale: Scale, fleet: &Fleet) -> Result<Measured> {
    let agents = fleet.upstreams(SERVICE).len() as f64;
    let seconds = scale.span.as_secs_f64();
    let size_f = f64::from(size);
    let mut before = Reading::take(fleet).await?;
    let revision = match measure {
        Measure::Entries => 0,
        _ => go_live(fleet, "1", 0).await?,
    };
    if measure != Measure::Chunks {
        before = Reading::take(fleet).await?;
    }
    let mut held = Some((size_f, size_f));
    let mut events = (size_f, size_f);
    // Held open until the second reading.
    let mut streams = Vec::new();
    match measure {
        Measure::Chunks => {}
        Measure::Requests => {
            load(fleet, size_f, 1, 0.0, scale.span).await?;
            events = (size_f * seconds, size_f * seconds / agents);
            held = None;
        }
        Measure::Tokens => {
            load(fleet, TOKEN_RATE, size, 0.0, scale.span).await?;
            let tokens = TOKEN_RATE * size_f * seconds;
            events = (tokens, tokens / agents);
            held = None;
        }
        Measure::OrderKeys => {
            let span = Duration::from_secs_f64(size_f / ORDER_RATE);
            load(fleet, ORDER_RATE, 1, 1.0, span).await?;
            events.1 = size_f / agents;
            // Agents know nothing of orders, but remember requests.
            held = Some(events);
        }
        Measure::Streams => {
            streams = hold_streams(fleet, size).await?;
            sleep(scale.span).await;
            events.1 = size_f / agents;
            held = Some(events);
        }
        Measure::KnownVms => {
            fleet.standins.change_vms(&VmChange {
                add: (0..size).map(unreachable_vm).collect(),
                ..VmChange::default()
            });
            sleep(scale.span).await;
        }
        Measure::Agents => {
            sleep(scale.span).await;
            let reports = seconds / REPORT.as_secs_f64();
            events = (size_f * reports, reports);
        }
        Measure::Entries => {
            sleep(scale.span).await;
            events.0 = (size_f - 1.0) * seconds;
            held = None;
        }
        Measure::Records => edit_often(fleet, size, revision).await?,
    }
    let mut spent = Reading::take(fleet).await?.since(&before);
    if measure == Measure::Entries {
        // Every entry says as much to each of the others: one entry's part is counted.
        spent.control_bytes /= size_f;
    }
    drop(streams);
    Ok(Measured {
        spent,
        events,
        held,
    })
}
