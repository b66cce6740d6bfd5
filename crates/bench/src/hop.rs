//! What the system adds to an answer: the same load on the engines themselves and through entry
//! and agent.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio_util::sync::CancellationToken;
use wagtailreel_core::Digest;

use crate::error::{BrokenSnafu, Result};
use crate::fleet::{DataCentreSpec, Fleet, FleetBinaries, FleetSpec, UpstreamSpec};
use crate::load::{
    CustomerShare, GroupReport, LoadReport, MaxTokens, Orders, Plan, Prompts, ServiceShare, Step,
    run_load,
};
use crate::slopes::read_cost;

const SERVICE: &str = "wagtail-scribes";
const MODEL: &str = "epitaph";
const FIRST_TOKEN: Duration = Duration::from_millis(20);
const BETWEEN_TOKENS: Duration = Duration::from_millis(10);
const CAPACITY: u32 = 8192;
const WARM_UP: Duration = Duration::from_secs(2);
const DRAIN: Duration = Duration::from_secs(30);

/// What is measured.
#[derive(Clone, Debug)]
pub struct HopPlan {
    /// Entries.
    pub entries: u32,
    /// Engines.
    pub engines: usize,
    /// Requests a second, one run after the other.
    pub rates: Vec<f64>,
    /// Tokens of each answer.
    pub tokens: u32,
    /// Time over which each run is measured, after its warm-up.
    pub span: Duration,
}

/// One rate, on the engines themselves and through the system.
#[derive(Clone, Debug, Serialize)]
pub struct HopOutcome {
    /// Requests a second that were planned.
    pub rate: f64,
    /// Tokens a second that came through the system.
    pub tokens_per_second: f64,
    /// Requests on the engines themselves.
    pub direct: GroupReport,
    /// Requests through entry and agent.
    pub through: GroupReport,
    /// Cores that one entry used on average.
    pub entry_cores: f64,
    /// Cores that one agent used on average.
    pub agent_cores: f64,
    /// Microseconds of a core that a token cost all entries, its share of the request included.
    pub entry_token_us: f64,
    /// Microseconds of a core that a token cost all agents, its share of the request included.
    pub agent_token_us: f64,
}

/// Measures every rate of `plan` on one fleet.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or an answer broke a rule.
pub async fn run_hop(plan: &HopPlan, binaries: FleetBinaries) -> Result<Vec<HopOutcome>> {
    let fleet = Fleet::start(spec(plan), binaries).await?;
    let document = fleet.spec().document(SERVICE, Some((MODEL, "1")));
    fleet.go_live(&document, 0).await?;
    let bundle = fleet.bundle_of(&document)?;
    let mut outcomes = Vec::new();
    for rate in &plan.rates {
        eprintln!("measuring {rate} requests a second");
        let engines = fleet.standins.engines.values();
        let engines: Vec<SocketAddr> = engines.map(|it| it.addr()).collect();
        let direct = run(load(plan, &fleet, *rate, engines, Some(bundle))).await?;
        let before = cores_used(&fleet).await?;
        let through = run(load(plan, &fleet, *rate, fleet.callers(), None)).await?;
        let after = cores_used(&fleet).await?;
        let busy = WARM_UP + plan.span;
        let cores = |role| (after[role] - before[role]) / busy.as_secs_f64();
        let tokens_per_second = through.total.tokens as f64 / plan.span.as_secs_f64();
        // The processes' times hold the warm-up too, whose tokens come at the same rate.
        let token_us = |cores: f64, processes: f64| cores * processes * 1e6 / tokens_per_second;
        outcomes.push(HopOutcome {
            rate: *rate,
            tokens_per_second,
            direct: direct.total,
            through: through.total,
            entry_cores: cores("entry"),
            agent_cores: cores("agent"),
            entry_token_us: token_us(cores("entry"), f64::from(plan.entries)),
            agent_token_us: token_us(cores("agent"), plan.engines as f64),
        });
    }
    Ok(outcomes)
}

fn spec(plan: &HopPlan) -> FleetSpec {
    let engine = UpstreamSpec::engine(SERVICE)
        .with_capacity(CAPACITY)
        .with_engine(|it| {
            it.first_token = FIRST_TOKEN;
            it.first_token_hit = Some(FIRST_TOKEN);
            it.between_tokens = BETWEEN_TOKENS;
        });
    let data_centre = DataCentreSpec::new("quito-hall", "sierra")
        .with_entries(plan.entries)
        .with_upstreams(plan.engines, engine);
    let mut spec = FleetSpec::new(vec![data_centre]);
    spec.log_level = "warn".to_owned();
    spec
}

fn load(
    plan: &HopPlan,
    fleet: &Fleet,
    rate: f64,
    targets: Vec<SocketAddr>,
    engine_bundle: Option<Digest>,
) -> Plan {
    let customers = fleet.spec().customers.iter().map(|it| CustomerShare {
        name: it.name.clone(),
        key: it.key.clone(),
        weight: 1.0,
    });
    Plan {
        targets,
        engine_bundle,
        engines: Vec::new(),
        seed: 1,
        steps: vec![Step {
            duration: WARM_UP + plan.span,
            rate,
        }],
        customers: customers.collect(),
        services: vec![ServiceShare {
            name: SERVICE.to_owned(),
            weight: 1.0,
        }],
        priorities: BTreeMap::new(),
        orders: Orders::default(),
        prompts: Prompts::default(),
        max_tokens: MaxTokens {
            least: plan.tokens,
            most: plan.tokens,
        },
        deadline: Some(DRAIN),
        lost_allowed: false,
        drain: DRAIN,
        warm_up: WARM_UP,
    }
}

/// Runs a load in which every request has to be answered.
async fn run(plan: Plan) -> Result<LoadReport> {
    let report = run_load(plan, CancellationToken::new()).await?;
    if report.holds() && report.total.ended("answered") == report.total.sent {
        return Ok(report);
    }
    BrokenSnafu {
        what: report.to_text(),
    }
    .fail()
}

/// Returns the seconds of a core that one process of each role has used, on average.
async fn cores_used(fleet: &Fleet) -> Result<BTreeMap<&'static str, f64>> {
    let mut means = BTreeMap::new();
    for (role, vms) in [
        ("entry", fleet.entries()),
        ("agent", fleet.upstreams(SERVICE)),
    ] {
        let mut sum = 0.0;
        for vm in &vms {
            if let Some(pid) = fleet.pid(vm).await? {
                sum += read_cost(pid)?.cpu.as_secs_f64();
            }
        }
        means.insert(role, sum / vms.len() as f64);
    }
    Ok(means)
}

/// Writes outcomes as a Markdown table: what is added at each percentile, in milliseconds. The
/// whole answer's column shows the delay of the last token. Writing to a String does not fail.
pub fn to_table(outcomes: &[HopOutcome]) -> String {
    let mut table = String::from(
        "| requests/s | tokens/s | first token p50 direct | through | added | p99 direct | through \
         | added | whole p50 added | whole p99 added | between p50 added | between p99 direct | through \
         | added | entry cores | agent cores | entry us/token | agent us/token |\n\
         |---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
    );
    for it in outcomes {
        let (direct, through) = (&it.direct, &it.through);
        let (first, first_through) = (&direct.first_token, &through.first_token);
        let _ = writeln!(
            table,
            "| {:.0} | {:.0} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | {:.3} | \
             {:.3} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.1} | {:.1} |",
            it.rate,
            it.tokens_per_second,
            first.p50_ms,
            first_through.p50_ms,
            first_through.p50_ms - first.p50_ms,
            first.p99_ms,
            first_through.p99_ms,
            first_through.p99_ms - first.p99_ms,
            through.whole.p50_ms - direct.whole.p50_ms,
            through.whole.p99_ms - direct.whole.p99_ms,
            through.between_tokens.p50_ms - direct.between_tokens.p50_ms,
            direct.between_tokens.p99_ms,
            through.between_tokens.p99_ms,
            through.between_tokens.p99_ms - direct.between_tokens.p99_ms,
            it.entry_cores,
            it.agent_cores,
            it.entry_token_us,
            it.agent_token_us,
        );
    }
    table
}
