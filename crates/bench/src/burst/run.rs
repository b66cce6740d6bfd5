//! Measures one burst.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use wagtailreel_core::{DataCentre, Digest, Document, Offset, VmId};

use super::fault::bring_about;
use super::outcome::{BurstOutcome, Latency};
use super::setup::{Burst, NEW, NEWER, OLD, SERVICE};
use crate::answer::Ending;
use crate::error::{BrokenSnafu, Result};
use crate::fleet::{Fleet, FleetBinaries, Submission, to_yaml};
use crate::load::{LoadReport, run_load};
use crate::metrics::sum_metric;
use crate::wait::{Look, wait_for};

/// Time within which the old version has to be served.
const SETTLE_BOUND: Duration = Duration::from_secs(120);

/// Windows after which a burst is given up.
const WINDOWS: u32 = 12;

/// How long the load goes on after the burst.
const AFTER: Duration = Duration::from_secs(2);

/// Counter of bytes of chunks that an agent gave to others.
const OUT_BYTES: &str = "wagtailreel_transfer_bytes_out_total";

/// When the new weights were where.
struct Times {
    submitted: Instant,
    loaded: Duration,
    live: Duration,
}

/// Starts the fleet, brings the burst about and measures it.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or the weights do not get live within 12
/// windows.
pub async fn run_burst(burst: &Burst, binaries: FleetBinaries) -> Result<BurstOutcome> {
    let fleet = Fleet::start(burst.fleet(), binaries).await?;
    let base = submit(&fleet, burst, OLD, 0).await?;
    wait_live(&fleet, burst, OLD, SETTLE_BOUND, Instant::now()).await?;
    let stop = CancellationToken::new();
    let plan = burst.load(fleet.spec(), fleet.callers());
    let load_start = Instant::now();
    let load = tokio::spawn(run_load(plan, stop.clone()));
    sleep(burst.before).await;
    // The version before was spread too; only what is given from here on counts.
    let given_before = given_bytes(&fleet).await;
    let (version, times) = {
        let faults = bring_about(burst, &fleet);
        let spread = spread(burst, &fleet, base);
        let (spread, faults) = tokio::join!(spread, faults);
        faults?;
        spread?
    };
    sleep(AFTER).await;
    stop.cancel();
    let report = match load.await {
        Ok(report) => report?,
        Err(error) => {
            let what = format!("the load tool failed: {error}");
            return BrokenSnafu { what }.fail();
        }
    };
    let given = given_bytes(&fleet).await;
    let out = out_copies(&given_before, &given, burst.length);
    Ok(assemble(
        burst, &fleet, version, load_start, &times, out, &report,
    ))
}

/// Submits the new version, and the newer one if the fault wants it, and waits until the last is
/// live.
async fn spread(burst: &Burst, fleet: &Fleet, base: Offset) -> Result<(&'static str, Times)> {
    let bound = burst.window * WINDOWS;
    let mut submitted = Instant::now();
    let base = submit(fleet, burst, NEW, base).await?;
    let mut version = NEW;
    if let Some(after) = burst.fault.newer_after(burst.window) {
        sleep(after).await;
        submitted = Instant::now();
        submit(fleet, burst, NEWER, base).await?;
        version = NEWER;
    }
    let times = wait_live(fleet, burst, version, bound, submitted).await?;
    Ok((version, times))
}

async fn submit(fleet: &Fleet, burst: &Burst, version: &str, base: Offset) -> Result<Offset> {
    let document = burst.document(fleet.spec(), version);
    match fleet.submit(SERVICE, &to_yaml(&document)?, base).await? {
        Submission::Accepted { revision, .. } => Ok(revision),
        other => BrokenSnafu {
            what: format!("the document was not accepted: {other:?}"),
        }
        .fail(),
    }
}

/// Waits until the required replicas hold `version`, and then until every entry answers from it.
async fn wait_live(
    fleet: &Fleet,
    burst: &Burst,
    version: &str,
    bound: Duration,
    submitted: Instant,
) -> Result<Times> {
    let document = burst.document(fleet.spec(), version);
    let bundle = fleet.bundle_of(&document)?;
    let held = wait_for(
        "the required replicas to hold the weights",
        bound,
        || async {
            let held = held_by_data_centre(fleet, bundle);
            match is_ready(&document, &held) {
                true => Look::Found(()),
                false => Look::NotYet(format!("{held:?}")),
            }
        },
    )
    .await;
    if let Err(error) = held {
        let what = format!("{error}{}", fleet.progress(SERVICE).await);
        return BrokenSnafu { what }.fail();
    }
    let loaded = submitted.elapsed();
    for entry in fleet.entries() {
        let ask = fleet.ask_of(0, SERVICE, "Are you there?", 1);
        wait_for(
            &format!("{entry} to answer from the weights"),
            bound,
            || async {
                match fleet.ask(&entry, &ask).await.map(|it| it.ending) {
                    Ok(Ending::Answered { weights, .. }) if weights == bundle => Look::Found(()),
                    other => Look::NotYet(format!("{other:?}")),
                }
            },
        )
        .await?;
    }
    Ok(Times {
        submitted,
        loaded,
        live: submitted.elapsed(),
    })
}

fn held_by_data_centre(fleet: &Fleet, bundle: Digest) -> BTreeMap<DataCentre, u32> {
    let holders = fleet.holders(bundle);
    let mut held = BTreeMap::new();
    for vm in fleet.spec().vms() {
        if holders.contains(&vm.vm) {
            *held.entry(vm.data_centre).or_default() += 1;
        }
    }
    held
}

fn is_ready(document: &Document, held: &BTreeMap<DataCentre, u32>) -> bool {
    let places = &mut document.places.iter();
    places.all(|it| {
        held.get(&it.data_centre)
            .is_some_and(|held| *held >= it.ready)
    })
}

/// Returns how many bytes each VM gave to others so far, as far as its process still tells.
async fn given_bytes(fleet: &Fleet) -> BTreeMap<VmId, f64> {
    let mut given = BTreeMap::new();
    for vm in fleet.upstreams(SERVICE) {
        if let Ok(text) = fleet.metrics(&vm).await
            && let Some(bytes) = sum_metric(&text, OUT_BYTES, &[])
        {
            given.insert(vm, bytes);
        }
    }
    given
}

/// Returns how many copies of `length` bytes each VM gave between two looks.
fn out_copies(
    before: &BTreeMap<VmId, f64>,
    after: &BTreeMap<VmId, f64>,
    length: usize,
) -> Vec<f64> {
    let copies = |(vm, bytes): (&VmId, &f64)| {
        // A process that was started anew counts from 0.
        let base = before.get(vm).filter(|base| *base <= bytes).unwrap_or(&0.0);
        (bytes - base) / length as f64
    };
    after.iter().map(copies).collect()
}

fn assemble(
    burst: &Burst,
    fleet: &Fleet,
    version: &str,
    load_start: Instant,
    times: &Times,
    out: Vec<f64>,
    report: &LoadReport,
) -> BurstOutcome {
    let submitted = times.submitted.duration_since(load_start);
    let parts = fleet.standins.origin.stats().parts;
    let drawn = parts
        .get(&Burst::part(version))
        .copied()
        .unwrap_or_default();
    let lost = report.total.sent - report.total.ended("answered");
    BurstOutcome {
        house: burst.house.to_string(),
        policy: format!("{:?}", burst.policy).to_lowercase(),
        fault: burst.fault.to_string(),
        engines: burst.house.engines(),
        bound_s: burst.bound().as_secs_f64(),
        loaded_s: times.loaded.as_secs_f64(),
        live_s: times.live.as_secs_f64(),
        origin_copies: drawn as f64 / burst.length as f64,
        busiest_out_copies: out.iter().copied().reduce(f64::max),
        mean_out_copies: (!out.is_empty()).then(|| out.iter().sum::<f64>() / out.len() as f64),
        before: Latency::between(report, Duration::ZERO, submitted),
        during: Latency::between(report, submitted, submitted + times.loaded),
        requests: report.total.sent,
        not_answered: lost,
        problems: report.problem_count,
        first_problem: report.problems.first().cloned(),
        may_lose: burst.fault.may_lose(),
    }
}
