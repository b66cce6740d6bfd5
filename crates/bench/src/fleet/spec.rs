//! What a fleet consists of.

use std::time::Duration;

use wagtailreel_core::{CustomerId, DataCentre, Region, ServiceName, TeamName, VmId};
use wagtailreel_standins::{EngineConfig, OriginModel, PlainConfig};

/// Bytes of a chunk where a specification names no other length.
const CHUNK: usize = 64 * 1024;

/// Bytes of a model where a specification names no other length.
const MODEL: usize = 4 * 1024 * 1024;

/// A whole fleet: data centres, the outside systems' settings, teams and customers.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// The data centres with their VMs.
    pub data_centres: Vec<DataCentreSpec>,
    /// Models and adapters that the origin has from the start.
    pub models: Vec<OriginModel>,
    /// Teams with their tokens.
    pub teams: Vec<TeamSpec>,
    /// Customers with their keys.
    pub customers: Vec<CustomerSpec>,
    /// How long an agent admits requests after a grant.
    pub lease: Duration,
    /// Period of an agent's reports.
    pub report: Duration,
    /// Bytes a second that the origin gives out to all readers together; 0 for no limit.
    pub origin_rate: u64,
    /// How long the key of an order is honoured.
    pub orders_window: Duration,
    /// Longest body of a caller's request in bytes.
    pub body_limit: u64,
    /// Records between two snapshots of the configuration.
    pub snapshot_every: u64,
    /// Whether every link between data centres and to the platform goes through a relay, so that
    /// it can be cut.
    pub cuttable: bool,
    /// Whether control connections within a data centre go through relays that count their bytes.
    pub counted_control: bool,
    /// Value of `RUST_LOG` for the processes.
    pub log_level: String,
}

impl FleetSpec {
    /// Makes a fleet of `data_centres` with two teams, three customers and two versions of one
    /// small model; the `with_` methods and the public fields change it.
    pub fn new(data_centres: Vec<DataCentreSpec>) -> Self {
        Self {
            data_centres,
            models: vec![
                OriginModel::new("epitaph", "1", MODEL, CHUNK),
                OriginModel::new("epitaph", "2", MODEL, CHUNK),
            ],
            teams: vec![
                TeamSpec::new("scribes", &["wagtail-scribes", "proof-desk"]),
                TeamSpec::new("workshop", &["workshop-misc"]),
            ],
            customers: ["mason-1", "mason-2", "mason-3"]
                .map(CustomerSpec::new)
                .to_vec(),
            lease: Duration::from_secs(1),
            report: Duration::from_millis(100),
            origin_rate: 0,
            orders_window: Duration::from_secs(600),
            body_limit: 1 << 20,
            snapshot_every: 500,
            cuttable: false,
            counted_control: false,
            log_level: "info".to_owned(),
        }
    }

    /// Makes the smallest whole fleet: two entries, four engines in two data centres and one
    /// plain service.
    pub fn small() -> Self {
        let engines = UpstreamSpec::engine("wagtail-scribes");
        Self::new(vec![
            DataCentreSpec::new("quito-hall", "sierra")
                .with_entries(1)
                .with_upstreams(2, engines.clone())
                .with_upstreams(1, UpstreamSpec::plain("workshop-misc")),
            DataCentreSpec::new("cuenca-hall", "austro")
                .with_entries(1)
                .with_upstreams(2, engines),
        ])
    }

    /// Sets the models that the origin has.
    #[must_use]
    pub fn with_models(mut self, models: Vec<OriginModel>) -> Self {
        self.models = models;
        self
    }

    /// Sets the rate of the origin's link in bytes a second.
    #[must_use]
    pub fn with_origin_rate(mut self, rate: u64) -> Self {
        self.origin_rate = rate;
        self
    }

    /// Puts relays into the links between data centres and to the platform.
    #[must_use]
    pub fn with_cuttable_links(mut self) -> Self {
        self.cuttable = true;
        self
    }

    /// Sets the lease.
    #[must_use]
    pub fn with_lease(mut self, lease: Duration) -> Self {
        self.lease = lease;
        self
    }

    /// Returns every VM of the fleet in order.
    pub fn vms(&self) -> Vec<VmSpec> {
        self.data_centres
            .iter()
            .flat_map(DataCentreSpec::vms)
            .collect()
    }
}

/// One data centre of a fleet.
#[derive(Clone, Debug)]
pub struct DataCentreSpec {
    /// Name of the data centre.
    pub name: DataCentre,
    /// Its region.
    pub region: Region,
    /// Entry VMs in it.
    pub entries: u32,
    /// Upstream VMs in it.
    pub upstreams: Vec<UpstreamSpec>,
}

impl DataCentreSpec {
    /// Makes a data centre without VMs.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            entries: 0,
            upstreams: Vec::new(),
        }
    }

    /// Sets the number of entry VMs.
    #[must_use]
    pub fn with_entries(mut self, entries: u32) -> Self {
        self.entries = entries;
        self
    }

    /// Adds `count` upstream VMs of one kind.
    #[must_use]
    pub fn with_upstreams(mut self, count: usize, upstream: UpstreamSpec) -> Self {
        self.upstreams.extend(std::iter::repeat_n(upstream, count));
        self
    }

    /// Returns the VMs: entries are named `<data centre>-e<n>`, upstreams `<data centre>-u<n>`,
    /// counted from 1.
    pub fn vms(&self) -> Vec<VmSpec> {
        let place = |vm: VmId, upstream: Option<UpstreamSpec>| VmSpec {
            vm,
            data_centre: self.name.clone(),
            region: self.region.clone(),
            upstream,
        };
        let entries = (1..=self.entries).map(|n| place(format!("{}-e{n}", self.name), None));
        let upstreams = self.upstreams.iter().zip(1_u32..);
        let upstreams =
            upstreams.map(|(it, n)| place(format!("{}-u{n}", self.name), Some(it.clone())));
        entries.chain(upstreams).collect()
    }
}

/// One VM of a fleet.
#[derive(Clone, Debug)]
pub struct VmSpec {
    /// Name of the VM.
    pub vm: VmId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Region of the data centre.
    pub region: Region,
    /// The upstream of an upstream VM; none for an entry VM.
    pub upstream: Option<UpstreamSpec>,
}

/// One upstream with its agent's settings.
#[derive(Clone, Debug)]
pub struct UpstreamSpec {
    /// Service of the upstream.
    pub service: ServiceName,
    /// What the stand-in is.
    pub upstream: Upstream,
    /// Requests that the agent lets in at once.
    pub capacity: u32,
    /// Memory for chunks in bytes.
    pub memory: u64,
    /// Bytes a second that the VM takes in for transfers; 0 for no limit.
    pub ingress: u64,
    /// Bytes a second that the VM gives out for transfers; 0 for no limit.
    pub egress: u64,
}

/// The stand-in behind an agent.
#[derive(Clone, Debug)]
pub enum Upstream {
    /// An engine.
    Engine(EngineConfig),
    /// A plain service.
    Plain(PlainConfig),
}

impl UpstreamSpec {
    /// Makes an engine without limits on its links, which answers within milliseconds.
    pub fn engine(service: &str) -> Self {
        let engine = EngineConfig {
            slots: 64,
            first_token: Duration::from_millis(5),
            first_token_hit: Some(Duration::from_millis(2)),
            between_tokens: Duration::from_millis(5),
            ..EngineConfig::default()
        };
        Self::new(service, Upstream::Engine(engine))
    }

    /// Makes a plain service.
    pub fn plain(service: &str) -> Self {
        Self::new(service, Upstream::Plain(PlainConfig::default()))
    }

    fn new(service: &str, upstream: Upstream) -> Self {
        Self {
            service: service.to_owned(),
            upstream,
            capacity: 64,
            memory: 256 << 20,
            ingress: 0,
            egress: 0,
        }
    }

    /// Sets the rates of the VM's link in bytes a second.
    #[must_use]
    pub fn with_link(mut self, ingress: u64, egress: u64) -> Self {
        self.ingress = ingress;
        self.egress = egress;
        self
    }

    /// Sets how many requests run at once, in the engine and at the agent.
    #[must_use]
    pub fn with_capacity(mut self, capacity: u32) -> Self {
        self.capacity = capacity;
        self.with_engine(|engine| engine.slots = capacity)
    }

    /// Changes the engine's settings; a plain service has none.
    #[must_use]
    pub fn with_engine<F>(mut self, change: F) -> Self
    where
        F: FnOnce(&mut EngineConfig),
    {
        if let Upstream::Engine(engine) = &mut self.upstream {
            change(engine);
        }
        self
    }

    /// Returns the engine's settings.
    pub fn engine_config(&self) -> Option<&EngineConfig> {
        match &self.upstream {
            Upstream::Engine(engine) => Some(engine),
            Upstream::Plain(_) => None,
        }
    }
}

/// One team.
#[derive(Clone, Debug)]
pub struct TeamSpec {
    /// Name of the team.
    pub name: TeamName,
    /// Its administration token.
    pub token: String,
    /// Services that it owns.
    pub services: Vec<ServiceName>,
}

impl TeamSpec {
    /// Makes a team whose token follows from its name.
    pub fn new(name: &str, services: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            token: format!("token-of-{name}"),
            services: services.iter().map(|it| (*it).to_owned()).collect(),
        }
    }
}

/// One customer.
#[derive(Clone, Debug)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub name: CustomerId,
    /// Its key.
    pub key: String,
}

impl CustomerSpec {
    /// Makes a customer whose key follows from its name.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            key: format!("key-of-{name}"),
        }
    }
}
