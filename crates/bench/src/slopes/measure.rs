//! Measurements on a running fleet.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use wagtailreel_core::{VmEntry, VmId, VmRole, VmState};
use wagtailreel_standins::{OriginModel, VmChange};

use super::cost::{Cost, read_cost};
use super::fit::fit_line;
use super::table::Slope;
use crate::answer::AnswerStream;
use crate::error::{BrokenSnafu, Result};
use crate::fleet::{
    DataCentreSpec, Fleet, FleetBinaries, FleetSpec, Submission, UpstreamSpec, to_yaml,
};
use crate::load::{CustomerShare, MaxTokens, Orders, Plan, Prompts, ServiceShare, Step, run_load};

const SERVICE: &str = "wagtail-scribes";
const MODEL: &str = "epitaph";

/// Requests a second while the length of answers grows.
const TOKEN_RATE: f64 = 20.0;
/// Requests a second of orders.
const ORDER_RATE: f64 = 200.0;
/// Tokens of a stream that is held open.
const HELD_TOKENS: u32 = 100_000;
/// Bytes of one chunk.
const CHUNK: usize = 64 * 1024;

/// What grows from one measurement to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Measure {
    /// Requests of one token, per second.
    Requests,
    /// Tokens per second at a fixed rate of requests.
    Tokens,
    /// Answers that are open at once.
    Streams,
    /// VMs in the platform's list that are never reached.
    KnownVms,
    /// Agents that report.
    Agents,
    /// Accepted documents.
    Records,
    /// Chunks of a bundle.
    Chunks,
    /// Order keys that are remembered.
    OrderKeys,
}

impl Measure {
    /// All of them.
    pub const ALL: [Self; 8] = [
        Self::Requests,
        Self::Tokens,
        Self::Streams,
        Self::KnownVms,
        Self::Agents,
        Self::Records,
        Self::Chunks,
        Self::OrderKeys,
    ];

    /// Returns of what one more is counted.
    fn per(self) -> &'static str {
        match self {
            Self::Requests => "request",
            Self::Tokens => "token",
            Self::Streams => "open stream",
            Self::KnownVms => "known VM",
            Self::Agents => "reporting agent, a second",
            Self::Records => "config record",
            Self::Chunks => "chunk of 64 KiB",
            Self::OrderKeys => "order key",
        }
    }

    /// Returns the sizes.
    fn sizes(self) -> [u32; 4] {
        match self {
            Self::Requests => [50, 100, 200, 400],
            Self::Tokens => [50, 100, 200, 400],
            Self::Streams => [50, 100, 200, 400],
            Self::KnownVms => [0, 700, 1400, 2800],
            Self::Agents => [4, 8, 16, 32],
            Self::Records => [25, 50, 100, 200],
            Self::Chunks => [64, 128, 256, 512],
            Self::OrderKeys => [500, 1000, 2000, 4000],
        }
    }
}

/// How long the measurements take.
#[derive(Clone, Copy, Debug)]
pub struct Scale {
    /// Time over which processor time is counted at each size.
    pub span: Duration,
}

/// What a role's processes used during one measurement, each on average.
#[derive(Clone, Copy, Debug, Default)]
struct Used {
    cpu_us: f64,
    memory: f64,
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
        let mut points: BTreeMap<(&str, &str), Vec<(f64, f64)>> = BTreeMap::new();
        for size in measure.sizes() {
            eprintln!("measuring {size} x {}", measure.per());
            let fleet = Fleet::start(spec(*measure, size), binaries.clone()).await?;
            let used = measure_one(*measure, size, scale, &fleet).await?;
            for (role, (count, used)) in used {
                let cpu = points.entry((role, "processor time in us")).or_default();
                cpu.push((count, used.cpu_us));
                let memory = points.entry((role, "memory in bytes")).or_default();
                memory.push((count, used.memory));
            }
        }
        for ((role, what), points) in points {
            if let Ok(fit) = fit_line(&points) {
                slopes.push(Slope {
                    role: role.to_owned(),
                    what: what.to_owned(),
                    per: measure.per().to_owned(),
                    fit,
                    points,
                });
            }
        }
    }
    Ok(slopes)
}

/// Makes the fleet: one entry and two engines, but where the number of agents is the size.
fn spec(measure: Measure, size: u32) -> FleetSpec {
    let agents = match measure {
        Measure::Agents => size as usize,
        _ => 2,
    };
    let chunks = match measure {
        Measure::Chunks => size as usize,
        _ => 4,
    };
    let engine = UpstreamSpec::engine(SERVICE)
        .with_capacity(4096)
        .with_engine(|it| {
            it.first_token = Duration::ZERO;
            it.first_token_hit = Some(Duration::ZERO);
            it.between_tokens = match measure {
                Measure::Streams => Duration::from_secs(1),
                _ => Duration::from_millis(5),
            };
        });
    let data_centre = DataCentreSpec::new("quito-hall", "sierra")
        .with_entries(1)
        .with_upstreams(agents, engine);
    let models = ["1", "2"].map(|it| OriginModel::new(MODEL, it, chunks * CHUNK, CHUNK));
    let mut spec = FleetSpec::new(vec![data_centre]).with_models(models.to_vec());
    spec.log_level = "warn".to_owned();
    spec
}

/// Measures one size; returns per role the size per process and what a process used.
async fn measure_one(
    measure: Measure,
    size: u32,
    scale: Scale,
    fleet: &Fleet,
) -> Result<BTreeMap<&'static str, (f64, Used)>> {
    let span = scale.span;
    let size_f = f64::from(size);
    let agents = fleet.upstreams(SERVICE).len() as f64;
    if measure == Measure::Chunks {
        let before = costs(fleet).await?;
        go_live(fleet, "1", 0).await?;
        let used = used(&before, &costs(fleet).await?);
        return Ok(by_role(used, size_f, size_f));
    }
    let revision = go_live(fleet, "1", 0).await?;
    let before = costs(fleet).await?;
    let (entry, agent) = match measure {
        Measure::Requests => {
            load(fleet, size_f, 1, 0.0, span).await?;
            let count = size_f * span.as_secs_f64();
            (count, count / agents)
        }
        Measure::Tokens => {
            load(fleet, TOKEN_RATE, size, 0.0, span).await?;
            let count = TOKEN_RATE * size_f * span.as_secs_f64();
            (count, count / agents)
        }
        Measure::OrderKeys => {
            load(
                fleet,
                ORDER_RATE,
                1,
                1.0,
                Duration::from_secs_f64(size_f / ORDER_RATE),
            )
            .await?;
            (size_f, size_f / agents)
        }
        Measure::Streams => {
            let streams = hold_streams(fleet, size).await?;
            sleep(span).await;
            let used = used(&before, &costs(fleet).await?);
            drop(streams);
            return Ok(by_role(used, size_f, size_f / agents));
        }
        Measure::KnownVms => {
            fleet.standins.change_vms(&VmChange {
                add: (0..size).map(unreachable_vm).collect(),
                ..VmChange::default()
            });
            sleep(span).await;
            (size_f, size_f)
        }
        Measure::Agents => {
            sleep(span).await;
            (size_f * span.as_secs_f64(), span.as_secs_f64())
        }
        Measure::Records => {
            edit_often(fleet, size, revision).await?;
            (size_f, size_f)
        }
        Measure::Chunks => unreachable!("measured above"),
    };
    let used = used(&before, &costs(fleet).await?);
    Ok(by_role(used, entry, agent))
}

fn by_role(
    used: BTreeMap<&'static str, Used>,
    entry: f64,
    agent: f64,
) -> BTreeMap<&'static str, (f64, Used)> {
    let roles = used.into_iter();
    let roles = roles.map(|(role, used)| {
        let count = if role == "entry" { entry } else { agent };
        (role, (count, used))
    });
    roles.collect()
}

async fn go_live(fleet: &Fleet, version: &str, base: u64) -> Result<u64> {
    let document = fleet.spec().document(SERVICE, Some((MODEL, version)));
    fleet.go_live(&document, base).await
}

async fn submit(fleet: &Fleet, yaml: &str, base: u64) -> Result<u64> {
    match fleet.submit(SERVICE, yaml, base).await? {
        Submission::Accepted { revision, .. } => Ok(revision),
        other => BrokenSnafu {
            what: format!("the document was not accepted: {other:?}"),
        }
        .fail(),
    }
}

/// Submits edits that change only a limit, one after the other.
async fn edit_often(fleet: &Fleet, count: u32, base: u64) -> Result<()> {
    let mut revision = base;
    let mut document = fleet.spec().document(SERVICE, Some((MODEL, "1")));
    for n in 0..count {
        document.default_limit = Some(wagtailreel_core::CustomerLimit {
            requests_per_second: 1000.0 + f64::from(n),
            burst: 1000,
        });
        revision = submit(fleet, &to_yaml(&document)?, revision).await?;
    }
    Ok(())
}

async fn load(fleet: &Fleet, rate: f64, tokens: u32, orders: f64, span: Duration) -> Result<()> {
    let customers = fleet.spec().customers.iter().map(|it| CustomerShare {
        name: it.name.clone(),
        key: it.key.clone(),
        weight: 1.0,
    });
    let plan = Plan {
        targets: fleet.callers(),
        engine_bundle: None,
        engines: fleet.engine_urls(),
        seed: 1,
        steps: vec![Step {
            duration: span,
            rate,
        }],
        customers: customers.collect(),
        services: vec![ServiceShare {
            name: SERVICE.to_owned(),
            weight: 1.0,
        }],
        priorities: BTreeMap::new(),
        orders: Orders {
            share: orders,
            twice: 0.0,
        },
        prompts: Prompts::default(),
        max_tokens: MaxTokens {
            least: tokens,
            most: tokens,
        },
        deadline: Some(Duration::from_secs(30)),
        lost_allowed: false,
        drain: Duration::from_secs(30),
        warm_up: Duration::ZERO,
    };
    let report = run_load(plan, CancellationToken::new()).await?;
    let answered = report.total.ended("answered");
    if report.holds() && answered == report.total.sent {
        return Ok(());
    }
    BrokenSnafu {
        what: report.to_text(),
    }
    .fail()
}

/// Opens streams that give a token a second, and waits for the first token of each.
async fn hold_streams(fleet: &Fleet, count: u32) -> Result<Vec<AnswerStream>> {
    let entry = &fleet.entries()[0];
    let mut streams = Vec::new();
    for n in 0..count {
        let ask = fleet.ask_of(0, SERVICE, &format!("held {n}"), HELD_TOKENS);
        let mut stream = fleet.open(entry, &ask).await?;
        if stream.next_token().await.is_none() {
            let what = format!("stream {n} ended: {:?}", stream.finish().await);
            return BrokenSnafu { what }.fail();
        }
        streams.push(stream);
    }
    Ok(streams)
}

/// Makes a VM of a data centre far away at an address where nothing listens.
fn unreachable_vm(n: u32) -> VmEntry {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    VmEntry {
        vm: format!("far-hall-u{n}"),
        data_centre: "far-hall".to_owned(),
        region: "far".to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some(SERVICE.to_owned()),
        control: addr,
        data: addr,
    }
}

/// Reads what every process has used so far.
async fn costs(fleet: &Fleet) -> Result<BTreeMap<VmId, (bool, Instant, Cost)>> {
    let mut costs = BTreeMap::new();
    let entries = fleet.entries();
    for vm in fleet.names(|_| true) {
        if let Some(pid) = fleet.pid(&vm).await? {
            let is_entry = entries.contains(&vm);
            costs.insert(vm, (is_entry, Instant::now(), read_cost(pid)?));
        }
    }
    Ok(costs)
}

/// Returns what a process of each role used between two readings, on average; its memory is that
/// of the second.
fn used(
    before: &BTreeMap<VmId, (bool, Instant, Cost)>,
    after: &BTreeMap<VmId, (bool, Instant, Cost)>,
) -> BTreeMap<&'static str, Used> {
    let mut sums: BTreeMap<&'static str, (f64, Used)> = BTreeMap::new();
    for (vm, (is_entry, _, cost)) in after {
        let Some((_, _, earlier)) = before.get(vm) else {
            continue;
        };
        let role = if *is_entry { "entry" } else { "agent" };
        let sum = sums.entry(role).or_default();
        sum.0 += 1.0;
        sum.1.cpu_us += cost.cpu.saturating_sub(earlier.cpu).as_secs_f64() * 1e6;
        sum.1.memory += cost.memory as f64;
    }
    let means = sums.into_iter().map(|(role, (count, sum))| {
        let used = Used {
            cpu_us: sum.cpu_us / count,
            memory: sum.memory / count,
        };
        (role, used)
    });
    means.collect()
}
