//! Settings of an agent.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_core::{DataCentre, Region, ServiceKind, ServiceName, VmId};

use crate::fields::{Fields, read_root};
use crate::listen::{check_listeners, listener};
use crate::problem::{Problems, SettingsErrors};
use crate::values::{self, At};

const DEFAULT_CAPACITY: u32 = 64;
const MAX_CAPACITY: u32 = 1 << 20;
const DEFAULT_BUNDLES: u32 = 2;
const MAX_BUNDLES: u32 = 64;
const DEFAULT_MEMORY: u64 = 256 << 20;
const MAX_BYTES: u64 = 1 << 50;
const DEFAULT_REPORT: Duration = Duration::from_millis(200);

/// Settings of `wagtailreel-agent`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// The service that the VM's upstream runs.
    pub service: ServiceName,
    /// Where the agent listens.
    pub listen: AgentListen,
    /// Where the platform's services are.
    pub platform: AgentPlatform,
    /// Control addresses of entries to ask when the list of VMs is away.
    pub seeds: Vec<SocketAddr>,
    /// The engine or plain service in front of which the agent stands.
    pub upstream: UpstreamSettings,
    /// Room and rates for weights.
    pub weights: WeightsSettings,
    /// Time between two reports.
    pub report: Duration,
}

/// Where an agent listens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentListen {
    /// For requests and chunks.
    pub data: SocketAddr,
    /// For the system's other processes.
    pub control: SocketAddr,
}

/// Where the platform's services are for an agent, each as `http://IP:PORT`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentPlatform {
    /// The list of VMs.
    pub vms: String,
    /// The origin of weights; never none for an engine.
    pub origin: Option<String>,
}

/// The engine or plain service in front of which an agent stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamSettings {
    /// What kind of upstream it is.
    pub kind: ServiceKind,
    /// Its address, as `http://IP:PORT`.
    pub url: String,
    /// The engine refuses an order with an old fencing number; `false` for a plain service.
    pub checks_fencing: bool,
    /// Requests at once.
    pub capacity: u32,
    /// Bundles that the engine can hold at once.
    pub bundles: u32,
}

/// Room and rates for weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSettings {
    /// Bytes for chunks.
    pub memory: u64,
    /// Bytes a second of transfers into the VM; none for no limit.
    pub ingress: Option<u64>,
    /// Bytes a second of transfers out of the VM; none for no limit.
    pub egress: Option<u64>,
}

impl AgentSettings {
    /// Reads and checks the settings of an agent.
    ///
    /// # Errors
    ///
    /// Returns every mistake with its place and the remedy.
    pub fn from_yaml(text: &str) -> Result<Self, SettingsErrors> {
        read_root(text, read).map_err(|problems| SettingsErrors { problems })
    }
}

fn read(mut f: Fields<'_>, problems: &mut Problems) -> Option<AgentSettings> {
    let vm = f.required("vm", problems, values::name);
    let data_centre = f.required("data_centre", problems, values::name);
    let region = f.required("region", problems, values::name);
    let service = f.required("service", problems, values::name);
    let listen = f.required("listen", problems, listen);
    let upstream = f.required("upstream", problems, upstream);
    let kind = upstream.as_ref().map(|upstream| upstream.kind);
    let platform = f.required("platform", problems, |at, problems| {
        platform(at, problems, kind)
    });
    let seeds = f.optional("seeds", problems, Vec::new(), |at, problems| {
        values::list(at, problems, values::address)
    });
    let weights = f.optional("weights", problems, default_weights(), weights);
    let report = f.optional("report_ms", problems, DEFAULT_REPORT, |at, problems| {
        values::milliseconds(at, problems, 10..=1000)
    });
    f.finish(problems);
    Some(AgentSettings {
        vm: vm?,
        data_centre: data_centre?,
        region: region?,
        service: service?,
        listen: listen?,
        platform: platform?,
        seeds: seeds?,
        upstream: upstream?,
        weights: weights?,
        report: report?,
    })
}

fn listen(at: &At<'_>, problems: &mut Problems) -> Option<AgentListen> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let mut all = Vec::new();
    let mut read = |at: &At<'_>, problems: &mut Problems| listener(at, problems, &mut all);
    let data = f.required("data", problems, &mut read);
    let control = f.required("control", problems, &mut read);
    f.finish(problems);
    check_listeners(&all, problems);
    Some(AgentListen {
        data: data?,
        control: control?,
    })
}

fn platform(
    at: &At<'_>,
    problems: &mut Problems,
    kind: Option<ServiceKind>,
) -> Option<AgentPlatform> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let vms = f.required("vms", problems, values::url);
    let origin = if kind == Some(ServiceKind::Engine) {
        f.required("origin", problems, values::url).map(Some)
    } else {
        f.maybe("origin", problems, values::url)
    };
    f.finish(problems);
    Some(AgentPlatform {
        vms: vms?,
        origin: origin?,
    })
}

fn upstream(at: &At<'_>, problems: &mut Problems) -> Option<UpstreamSettings> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let kind = f.required("kind", problems, values::kind);
    let url = f.required("url", problems, values::url);
    // An engine's operator has to say it: guessing either way would be a fault in half the cases.
    let checks_fencing = if kind == Some(ServiceKind::Engine) {
        f.required("checks_fencing", problems, values::truth)
    } else {
        f.optional("checks_fencing", problems, false, values::truth)
    };
    let capacity = f.optional("capacity", problems, DEFAULT_CAPACITY, |at, problems| {
        values::count(at, problems, "requests", 1..=MAX_CAPACITY)
    });
    let bundles = f.optional("bundles", problems, DEFAULT_BUNDLES, |at, problems| {
        values::count(at, problems, "bundles", 1..=MAX_BUNDLES)
    });
    f.finish(problems);
    Some(UpstreamSettings {
        kind: kind?,
        url: url?,
        checks_fencing: checks_fencing?,
        capacity: capacity?,
        bundles: bundles?,
    })
}

fn default_weights() -> WeightsSettings {
    WeightsSettings {
        memory: DEFAULT_MEMORY,
        ingress: None,
        egress: None,
    }
}

fn weights(at: &At<'_>, problems: &mut Problems) -> Option<WeightsSettings> {
    let mut f = Fields::new(At::new(at.place.clone(), at.node), problems)?;
    let memory = f.optional("memory", problems, DEFAULT_MEMORY, |at, problems| {
        values::whole(at, problems, "bytes", 1..=MAX_BYTES)
    });
    let ingress = f.optional("ingress", problems, None, rate);
    let egress = f.optional("egress", problems, None, rate);
    f.finish(problems);
    Some(WeightsSettings {
        memory: memory?,
        ingress: ingress?,
        egress: egress?,
    })
}

/// Reads a rate; 0 stands for none.
#[expect(
    clippy::option_option,
    reason = "no limit and wrong are two different things"
)]
fn rate(at: &At<'_>, problems: &mut Problems) -> Option<Option<u64>> {
    let rate = values::whole(at, problems, "bytes a second", 0..=MAX_BYTES)?;
    Some(Some(rate).filter(|rate| *rate > 0))
}
