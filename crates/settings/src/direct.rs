//! Settings of processes in a fleet whose upstreams name themselves.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use wagtailreel_core::{DataCentre, Region, ServiceName, VmId};

use crate::bounds::{Bounds, MAX_BOUND_MS, bounds};
use crate::fields::{Fields, read_root};
use crate::listen::{check_listeners, listener};
use crate::problem::{Problems, SettingsErrors};
use crate::values::{self, At};

/// Part of the bound on keys that is kept for a request's own way to the upstream.
const KEYS_MARGIN: Duration = Duration::from_millis(300);

/// Part of the bound on weights that is kept for a request's wait at the engine.
const WEIGHTS_MARGIN: Duration = Duration::from_millis(900);

/// Part of the bound on weights that is kept for taking back a request that has not begun.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);

/// Part of the bound on leaving upstreams that is kept for one read that fails and is made again: its
/// time-out of 0.5 s, the pause, a slow answer, and the request's own way.
const DRAIN_MARGIN: Duration = Duration::from_millis(1300);

/// Share of a heartbeat's time, in hundredths, that the registry has to be away for an upstream that
/// lives to lapse: it lapses after three heartbeats, of which one may just have been due.
const LAPSE_PERCENT: u32 = 150;

/// Shortest time between two reads of the upstreams.
const LEAST_PACE: Duration = Duration::from_millis(300);

/// Part of the time to end that is kept for the end itself.
const GRACE_MARGIN: Duration = Duration::from_millis(600);

/// Part of the shared retry budget that is used; entries count in windows of their own.
const RETRY_SHARE: f64 = 0.75;

/// Beginnings of prompts that are remembered for each engine, unless told otherwise: sessions of a hundred
/// customers with a few parts each.
const DEFAULT_PREFIXES: u32 = 1024;

/// Most of them; 65,536 take 6 MB for each engine.
const MAX_PREFIXES: u32 = 65_536;

/// Bits in a megabit.
const MEGABIT: f64 = 1e6;

/// Settings of an entry that sends requests straight to upstreams.
#[derive(Clone, Debug)]
pub struct DirectEntrySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentre, Region>,
    /// Where the entry listens.
    pub listen: DirectListen,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// Port of the agents, the same on all VMs.
    pub agent_port: u16,
    /// VMs of some entries, which may be gone. An entry that starts reads from the nearest one, on the port of
    /// `listen.agents`, until agents name the entries of its data centre.
    pub seeds: Vec<IpAddr>,
    /// Threads for requests.
    pub threads: usize,
    /// How long and how much engines retain of prompts, if they do.
    pub prompt_cache: Option<PromptCacheSettings>,
    /// Where admission control by rank is active.
    pub admission: AdmissionMode,
    /// What the operators were promised, less the margins.
    pub bounds: DirectBounds,
}

/// How long and how much engines retain of prompts after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCacheSettings {
    /// How long an engine retains a prompt that no request uses.
    pub retention: Duration,
    /// Beginnings of prompts that are remembered for each engine.
    pub prefixes: usize,
}

/// Where admission control by rank is active.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum AdmissionMode {
    /// At engine services that requests of different ranks can reach.
    #[default]
    ByRank,
    /// At all engine services.
    Always,
}

/// Where an entry listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectListen {
    /// For callers.
    pub callers: SocketAddr,
    /// For the balancer's questions and metrics.
    pub status: SocketAddr,
    /// For the answers of agents.
    pub agents: SocketAddr,
}

/// What the operators were promised, less the margins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DirectBounds {
    /// Oldest belief on which a key is honoured.
    pub keys: Duration,
    /// Oldest belief on which a route or key is denied.
    pub denial: Duration,
    /// How long requests may begin on older weights after newer ones were named.
    pub weights: Duration,
    /// How long after newer weights were named a request that was sent to older ones may still wait
    /// to begin.
    pub weights_last: Duration,
    /// How long requests may begin on older weights that were named before the process started.
    pub weights_at_start: Duration,
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Time between two reads of the upstreams.
    pub upstreams_pace: Duration,
    /// How long the registry has to be away for an upstream that lives to lapse.
    pub lapse_after: Duration,
    /// How long the process may take to end.
    pub grace: Duration,
    /// Requests that a cold upstream may get in one second, as a multiple of its warm-up rate.
    pub warmup_overage: f64,
    /// Requests beyond this that a cold upstream may get in one second.
    pub warmup_slack: f64,
}

/// Settings of an agent that stages weights beside an engine.
#[derive(Clone, Debug)]
pub struct StagingAgentSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// The region of each data centre.
    pub regions: BTreeMap<DataCentre, Region>,
    /// The service that the VM's engine runs.
    pub service: ServiceName,
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Where other agents and entries reach the agent, over TCP and UDP.
    pub listen: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
    /// VMs of some entries, which may be gone. An agent that starts reads from the nearest one, on the port
    /// of `listen`, until the entries of its data centre ask it.
    pub seeds: Vec<IpAddr>,
    /// How long engines may take to serve weights that were named.
    pub weights: Duration,
    /// What the VM's link carries, in bits a second.
    pub link: f64,
}

impl DirectEntrySettings {
    /// Says whether `text` holds settings for a fleet whose upstreams name themselves.
    pub fn is_meant(text: &str) -> bool {
        is_direct(text)
    }

    /// Reads and checks the settings of an entry.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its place and the remedy.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsErrors> {
        read_root(text, read_entry).map_err(|problems| SettingsErrors { problems })
    }
}

impl StagingAgentSettings {
    /// Says whether `text` holds settings for a fleet whose upstreams name themselves.
    pub fn is_meant(text: &str) -> bool {
        is_direct(text)
    }

    /// Reads and checks the settings of an agent.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its place and the remedy.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsErrors> {
        read_root(text, read_agent).map_err(|problems| SettingsErrors { problems })
    }
}

/// Says whether a line at the root tells that upstreams name themselves.
fn is_direct(text: &str) -> bool {
    text.lines().any(|line| {
        let value = line.strip_prefix("upstreams:").map(str::trim);
        value.is_some_and(|value| value.trim_matches('"') == "direct")
    })
}

fn read_entry(mut f: Fields<'_>, problems: &mut Problems) -> Option<DirectEntrySettings> {
    let mode = f.required("upstreams", problems, mode);
    let vm = f.required("vm", problems, values::name);
    let data_centre = f.required("data_centre", problems, values::name);
    let regions = f.required("regions", problems, regions);
    let listen = f.required("listen", problems, listen);
    let registry = f.required("registry", problems, values::address);
    let agent_port = f.required("agent_port", problems, port);
    let seeds = f.optional("seeds", problems, Vec::new(), seeds);
    let threads = f.optional("threads", problems, 1, |at, problems| {
        values::count(at, problems, "threads", 1..=64)
    });
    let prompt_cache = f.optional("prompt_cache", problems, None, |at, problems| {
        prompt_cache(at, problems).map(Some)
    });
    let admission = f.optional("admission", problems, AdmissionMode::ByRank, admission);
    let bounds = f.optional("bounds", problems, Bounds::default(), bounds);
    f.finish(problems);
    mode?;
    let bounds = bounds?;
    Some(DirectEntrySettings {
        vm: vm?,
        data_centre: data_centre?,
        regions: regions?,
        listen: listen?,
        registry: registry?,
        agent_port: agent_port?,
        seeds: seeds?,
        threads: threads? as usize,
        prompt_cache: prompt_cache?,
        admission: admission?,
        bounds: DirectBounds {
            keys: bounds.keys.saturating_sub(KEYS_MARGIN),
            denial: bounds.config,
            weights: bounds.weights.saturating_sub(WEIGHTS_MARGIN),
            weights_last: bounds.weights.saturating_sub(BEGIN_MARGIN),
            weights_at_start: bounds.stable.saturating_sub(WEIGHTS_MARGIN / 2),
            retry_ratio: bounds.retry_ratio * RETRY_SHARE,
            upstreams_pace: bounds.drain.saturating_sub(DRAIN_MARGIN).max(LEAST_PACE),
            lapse_after: bounds.heartbeat * LAPSE_PERCENT / 100,
            grace: bounds.grace.saturating_sub(GRACE_MARGIN),
            warmup_overage: bounds.warmup_overage,
            warmup_slack: bounds.warmup_slack,
        },
    })
}

fn read_agent(mut f: Fields<'_>, problems: &mut Problems) -> Option<StagingAgentSettings> {
    let mode = f.required("upstreams", problems, mode);
    let vm = f.required("vm", problems, values::name);
    let data_centre = f.required("data_centre", problems, values::name);
    let regions = f.required("regions", problems, regions);
    let service = f.required("service", problems, values::name);
    let engine = f.required("engine", problems, values::address);
    let listen = f.required("listen", problems, values::address);
    let registry = f.required("registry", problems, values::address);
    let seeds = f.optional("seeds", problems, Vec::new(), seeds);
    let bounds = f.optional("bounds", problems, Bounds::default(), bounds);
    let link = f.required("link_mbps", problems, |at, problems| {
        let remedy = "write the link's rate in Mbit/s, above 0";
        values::number(at, problems, remedy, |rate| rate > 0.0)
    });
    f.finish(problems);
    mode?;
    Some(StagingAgentSettings {
        vm: vm?,
        data_centre: data_centre?,
        regions: regions?,
        service: service?,
        engine: engine?,
        listen: listen?,
        registry: registry?,
        seeds: seeds?,
        weights: bounds?.weights.saturating_sub(WEIGHTS_MARGIN),
        link: link? * MEGABIT,
    })
}

fn prompt_cache(at: &At<'_>, problems: &mut Problems) -> Option<PromptCacheSettings> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let retention = f.required("retention_ms", problems, |at, problems| {
        values::milliseconds(at, problems, 100..=MAX_BOUND_MS)
    });
    let prefixes = f.optional("prefixes", problems, DEFAULT_PREFIXES, |at, problems| {
        values::count(at, problems, "prefixes", 1..=MAX_PREFIXES)
    });
    f.finish(problems);
    Some(PromptCacheSettings {
        retention: retention?,
        prefixes: prefixes? as usize,
    })
}

fn mode(at: &At<'_>, problems: &mut Problems) -> Option<()> {
    values::choice(at, problems, &[("direct", ())])
}

fn admission(at: &At<'_>, problems: &mut Problems) -> Option<AdmissionMode> {
    let modes = [
        ("by-rank", AdmissionMode::ByRank),
        ("always", AdmissionMode::Always),
    ];
    values::choice(at, problems, &modes)
}

fn listen(at: &At<'_>, problems: &mut Problems) -> Option<DirectListen> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let mut all = Vec::new();
    let mut read = |at: &At<'_>, problems: &mut Problems| listener(at, problems, &mut all);
    let callers = f.required("callers", problems, &mut read);
    let status = f.required("status", problems, &mut read);
    let agents = f.required("agents", problems, &mut read);
    f.finish(problems);
    check_listeners(&all, problems);
    Some(DirectListen {
        callers: callers?,
        status: status?,
        agents: agents?,
    })
}

fn regions(at: &At<'_>, problems: &mut Problems) -> Option<BTreeMap<DataCentre, Region>> {
    let places = values::list(at, problems, |at, problems| {
        let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
        let data_centre = f.required("data_centre", problems, values::name);
        let region = f.required("region", problems, values::name);
        f.finish(problems);
        Some((data_centre?, region?))
    })?;
    Some(places.into_iter().collect())
}

fn seeds(at: &At<'_>, problems: &mut Problems) -> Option<Vec<IpAddr>> {
    let seeds = values::list(at, problems, values::address)?;
    Some(seeds.iter().map(SocketAddr::ip).collect())
}

fn port(at: &At<'_>, problems: &mut Problems) -> Option<u16> {
    let port = values::count(at, problems, "port", 1..=65535)?;
    u16::try_from(port).ok()
}
