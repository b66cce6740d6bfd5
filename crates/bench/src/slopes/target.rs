//! What the slopes come to at the size that the users have set as their target.

use std::fmt::Write as _;

use super::table::Slope;

/// Entry VMs over all data centres.
const ENTRIES: f64 = 340.0;
/// Engines that answer requests.
const ENGINES: f64 = 720.0;
/// VMs that take weights, each with an agent.
const VMS: f64 = 2_800.0;
/// Data centres.
const DATA_CENTRES: f64 = 5.0;
/// Requests a second at the peak.
const REQUESTS: f64 = 1_100.0;
/// Tokens a second at the peak.
const TOKENS: f64 = 440_000.0;
/// Changes of configuration a day.
const CHANGES_A_DAY: f64 = 2_200.0;
/// Seconds of a day.
const DAY: f64 = 86_400.0;
/// Share of requests that are orders, as a guess of the houses' mix.
const ORDER_SHARE: f64 = 0.05;
/// Seconds for which a key is kept: twice the window of ten minutes.
const KEY_KEPT: f64 = 1_200.0;
/// Chunks of the bundle of a rollout, in chunks as measured.
const CHUNKS: f64 = 512.0;

/// Reports a second that an agent makes to each of its entries, as measured.
const REPORT_RATE: f64 = 5.0;
/// The same with home entries: a heartbeat, and reports on a change.
const HOME_REPORT_RATE: f64 = 1.0;
/// Home entries of a service in a data centre.
const HOMES: f64 = 3.0;
/// Followers of the log in a data centre that relay it to the rest.
const RELAYED_TO: f64 = 3.0;

/// Most processor time for control in microseconds a second: 1.2% of a core.
const LIMIT_US: f64 = 12_000.0;
/// Most control bytes a second.
const LIMIT_BYTES: f64 = 7_000.0;
/// Most memory for control in bytes.
const LIMIT_MEMORY: f64 = 64.0 * 1_048_576.0;

/// One line of the projection.
struct Line {
    role: &'static str,
    what: &'static str,
    mechanism: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
}

/// Finds slopes by role, cost and unit.
struct Slopes<'a>(&'a [Slope]);

impl Slopes<'_> {
    /// Returns the slope, or none if it was not measured.
    fn get(&self, role: &str, what: &str, per: &str) -> Option<f64> {
        Some(self.find(role, what, per)?.fit.slope)
    }

    /// Returns what a process costs with none of it.
    fn base(&self, role: &str, what: &str, per: &str) -> Option<f64> {
        Some(self.find(role, what, per)?.fit.intercept)
    }

    fn find(&self, role: &str, what: &str, per: &str) -> Option<&Slope> {
        self.0
            .iter()
            .find(|it| it.role == role && it.what.starts_with(what) && it.per.starts_with(per))
    }
}

/// Writes what the slopes come to at the target as a Markdown table.
///
/// A line whose slopes were not measured, or came out at nothing, is left out. Writing to a
/// String does not fail.
pub fn to_projection(slopes: &[Slope]) -> String {
    let slopes = Slopes(slopes);
    let mut table = String::from(
        "| role | what | mechanism | at the target | limit | holds |\n|---|---|---|---|---|---|\n",
    );
    let groups = [reports(&slopes), entries(&slopes), rest(&slopes)];
    for line in groups.into_iter().flatten().flatten() {
        let limit = line.limit.map_or("–".to_owned(), |it| format!("{it:.0}"));
        let holds = match line.limit {
            Some(limit) if line.value <= limit => "yes",
            Some(_) => "**no**",
            None => "–",
        };
        let Line {
            role,
            what,
            mechanism,
            value,
            unit,
            ..
        } = line;
        let _ = writeln!(
            table,
            "| {role} | {what} | {mechanism} | {value:.1} {unit} | {limit} | {holds} |"
        );
    }
    table
}

/// Reports of agents to entries, as today and with home entries.
fn reports(slopes: &Slopes<'_>) -> Vec<Option<Line>> {
    let agents = VMS / DATA_CENTRES;
    let entries = ENTRIES / DATA_CENTRES;
    let today = agents * REPORT_RATE;
    let homes = agents * HOME_REPORT_RATE * HOMES / entries;
    let (all, home) = ("each agent to all entries", "home entries");
    let cpu = |role, mechanism, rate: f64| {
        let slope = slopes.get(role, "processor", "report")?;
        let (what, unit) = ("reports, processor time", "us/s");
        line(role, what, mechanism, slope * rate, unit, Some(LIMIT_US))
    };
    let bytes = |role, mechanism, rate: f64| {
        let slope = slopes.get("all", "control bytes", "report")?;
        let (what, unit) = ("reports, bytes", "B/s");
        line(role, what, mechanism, slope * rate, unit, Some(LIMIT_BYTES))
    };
    vec![
        cpu("entry", all, today),
        cpu("entry", home, homes),
        bytes("entry", all, today),
        bytes("entry", home, homes),
        cpu("agent", all, entries * REPORT_RATE),
        cpu("agent", home, HOMES * HOME_REPORT_RATE),
        bytes("agent", all, entries * REPORT_RATE),
        bytes("agent", home, HOMES * HOME_REPORT_RATE),
    ]
}

/// What entries tell each other, as today and among the homes of a service.
fn entries(slopes: &Slopes<'_>) -> Vec<Option<Line>> {
    let per = "second with one more entry";
    let others = ENTRIES / DATA_CENTRES - 1.0;
    let cpu = |mechanism, others: f64| {
        let slope = slopes.get("entry", "processor", per)?;
        let (what, unit) = ("sync of entries, processor time", "us/s");
        line(
            "entry",
            what,
            mechanism,
            slope * others,
            unit,
            Some(LIMIT_US),
        )
    };
    let bytes = |mechanism, others: f64| {
        let slope = slopes.get("all", "control bytes", per)?;
        let (what, unit) = ("sync of entries, bytes", "B/s");
        line(
            "entry",
            what,
            mechanism,
            slope * others,
            unit,
            Some(LIMIT_BYTES),
        )
    };
    vec![
        cpu("each with all", others),
        cpu("homes of a service", HOMES - 1.0),
        bytes("each with all", others),
        bytes("homes of a service", HOMES - 1.0),
    ]
}

/// Configuration, memory, weights and the request path.
fn rest(slopes: &Slopes<'_>) -> Vec<Option<Line>> {
    let changes = CHANGES_A_DAY / DAY;
    let known = VMS + ENTRIES;
    let keys = REQUESTS * ORDER_SHARE * KEY_KEPT;
    let data = |role, nodes: f64| {
        let request = slopes.get(role, "processor", "request")? * REQUESTS / nodes;
        let token = slopes.get(role, "processor", "token")? * TOKENS / nodes;
        let what = "requests and tokens, processor time (not control)";
        line(role, what, "as today", request + token, "us/s", None)
    };
    let records = |role| {
        let slope = slopes.get(role, "processor", "config record")?;
        let (what, how) = (
            "config records, processor time",
            "every entry follows the log",
        );
        line(role, what, how, slope * changes, "us/s", Some(LIMIT_US))
    };
    let record_bytes = || {
        let slope = slopes.get("all", "control bytes", "config record")? * changes * RELAYED_TO;
        let how = "followers relay the log";
        line(
            "entry",
            "config records, bytes",
            how,
            slope,
            "B/s",
            Some(LIMIT_BYTES),
        )
    };
    let memory = |role, nodes: f64| {
        let list = slopes.get(role, "memory", "known VM")? * known;
        let base = slopes.base(role, "memory", "known VM")?;
        let streams = slopes.get(role, "memory", "open stream").unwrap_or(0.0);
        let open = REQUESTS * 10.0 / nodes * streams;
        let what = "memory: process, list of VMs, open streams";
        line(
            role,
            what,
            "whole list at each",
            base + list + open,
            "B",
            Some(LIMIT_MEMORY),
        )
    };
    let key_memory = || {
        let slope = slopes.get("entry", "memory", "order key")?;
        let how = "every entry folds all claims";
        line(
            "entry",
            "memory: order keys",
            how,
            slope * keys,
            "B",
            Some(LIMIT_MEMORY),
        )
    };
    let chunks = || {
        let slope = slopes.get("agent", "processor", "chunk")?;
        let what = "a rollout of 512 chunks, processor time in all";
        line("agent", what, "balanced spread", slope * CHUNKS, "us", None)
    };
    vec![
        records("entry"),
        records("agent"),
        record_bytes(),
        memory("entry", ENTRIES),
        memory("agent", ENGINES),
        key_memory(),
        chunks(),
        data("entry", ENTRIES),
        data("agent", ENGINES),
    ]
}

fn line(
    role: &'static str,
    what: &'static str,
    mechanism: &'static str,
    value: f64,
    unit: &'static str,
    limit: Option<f64>,
) -> Option<Line> {
    // A slope of exactly none was not measured: no connection of that kind was counted.
    if value == 0.0 {
        return None;
    }
    Some(Line {
        role,
        what,
        mechanism,
        value,
        unit,
        limit,
    })
}
