//! Fleets, links and documents of a burst.

use std::time::Duration;

use derive_more::Display;
use wagtailreel_core::{Document, ModelRef, SpreadGoal, SpreadPolicy};
use wagtailreel_standins::OriginModel;

use super::fault::Fault;
use crate::fleet::{DataCentreSpec, FleetSpec, UpstreamSpec};
use crate::load::{CustomerShare, MaxTokens, Orders, Plan, Prompts, ServiceShare, Step};

/// Service whose weights are spread.
pub(super) const SERVICE: &str = "wagtail-scribes";

const MODEL: &str = "epitaph";

/// Version that is served before the burst: one small chunk.
pub(super) const OLD: &str = "0";
/// Version that the burst brings.
pub(super) const NEW: &str = "1";
/// Version that replaces it half-way in the fault [`Fault::VersionChange`].
pub(super) const NEWER: &str = "2";

/// Share of chunks that the two new versions have in common.
const SHARED_CHUNKS: f64 = 0.5;

/// Bytes of the old version.
const OLD_LENGTH: usize = 64 * 1024;

/// Copies that the origin's link carries in the window.
const ORIGIN_COPIES: f64 = 4.0;

/// Copies that a VM's link carries in the window, in and out together.
const VM_COPIES: f64 = 2.0;

/// Time to the first token of an engine with nothing else to do.
const FIRST_TOKEN: Duration = Duration::from_millis(40);

/// Time between tokens.
const BETWEEN_TOKENS: Duration = Duration::from_millis(10);

/// Time in which an engine loads a megabyte.
const LOAD_PER_MB: Duration = Duration::from_millis(10);

/// Requests a second for each engine in the background.
const RATE_PER_ENGINE: f64 = 2.0;

/// Longest time that a background load goes on; it is stopped when the burst is over.
const LONGEST: Duration = Duration::from_secs(3600);

/// A fleet on which bursts are measured.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum House {
    /// Lápida Viva: 16 engines, time weighed.
    #[display("lapida")]
    Lapida,
    /// Batbayar: 13 engines, origin bytes weighed.
    #[display("batbayar")]
    Batbayar,
    /// 90 engines, time weighed.
    #[display("large")]
    Large,
}

/// Data centres of a house: name, region, entries, engines.
type Layout = [(&'static str, &'static str, u32, usize); 3];

impl House {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Lapida, Self::Batbayar, Self::Large];

    /// Reads a house from its name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|it| it.to_string() == name)
    }

    fn layout(self) -> Layout {
        match self {
            Self::Lapida => [
                ("quito-hall", "sierra", 3, 6),
                ("guayaquil-hall", "costa", 3, 5),
                ("cuenca-hall", "austro", 2, 5),
            ],
            Self::Batbayar => [
                ("ub-hall-a", "ulaanbaatar", 3, 5),
                ("dk-hall-b", "darkhan", 3, 4),
                ("zu-depot-c", "zamyn-uud", 2, 4),
            ],
            Self::Large => [
                ("quito-hall", "sierra", 2, 30),
                ("guayaquil-hall", "costa", 2, 30),
                ("cuenca-hall", "austro", 2, 30),
            ],
        }
    }

    /// Returns what the house weighs.
    pub fn weigh(self) -> SpreadGoal {
        match self {
            Self::Batbayar => SpreadGoal::OriginBytes,
            Self::Lapida | Self::Large => SpreadGoal::Time,
        }
    }

    /// Returns the window that this machine bears for the house's size.
    pub fn window(self) -> Duration {
        match self {
            Self::Lapida | Self::Batbayar => Duration::from_secs(10),
            Self::Large => Duration::from_secs(30),
        }
    }

    /// Returns the number of engines.
    pub fn engines(self) -> usize {
        self.layout().iter().map(|it| it.3).sum()
    }
}

/// One burst to be measured.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The fleet.
    pub house: House,
    /// How chunks find their way.
    pub policy: SpreadPolicy,
    /// What goes wrong.
    pub fault: Fault,
    /// The window W.
    pub window: Duration,
    /// Length of the model in bytes.
    pub length: usize,
    /// Chunks of the model.
    pub chunks: usize,
    /// How long the load goes on before the burst.
    pub before: Duration,
}

impl Burst {
    /// Makes a burst of 16 MiB in 256 chunks without fault.
    pub fn new(house: House, policy: SpreadPolicy) -> Self {
        Self {
            house,
            policy,
            fault: Fault::None,
            window: house.window(),
            length: 16 << 20,
            chunks: 256,
            before: Duration::from_secs(10),
        }
    }

    /// Sets what goes wrong.
    #[must_use]
    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = fault;
        self
    }

    /// Returns bytes a second of a VM's link, each way.
    pub fn vm_rate(&self) -> u64 {
        self.rate(VM_COPIES)
    }

    /// Returns bytes a second of the origin's link.
    pub fn origin_rate(&self) -> u64 {
        self.rate(ORIGIN_COPIES)
    }

    fn rate(&self, copies: f64) -> u64 {
        // A rate of bytes a second is far below the 52 bits of a float.
        (copies * self.length as f64 / self.window.as_secs_f64()) as u64
    }

    /// Returns the lower bound on the time to live.
    pub fn bound(&self) -> Duration {
        let megabytes = self.length as f64 / 1e6;
        self.window.div_f64(VM_COPIES) + LOAD_PER_MB.mul_f64(megabytes)
    }

    /// Makes the fleet.
    pub(super) fn fleet(&self) -> FleetSpec {
        let rate = self.vm_rate();
        let memory = 4 * self.length as u64;
        let engine = UpstreamSpec::engine(SERVICE)
            .with_link(rate, rate)
            .with_engine(|it| {
                it.first_token = FIRST_TOKEN;
                it.first_token_hit = Some(FIRST_TOKEN);
                it.between_tokens = BETWEEN_TOKENS;
                it.load_per_mb = LOAD_PER_MB;
            });
        let engine = UpstreamSpec { memory, ..engine };
        let data_centres = self.house.layout().map(|(name, region, entries, engines)| {
            DataCentreSpec::new(name, region)
                .with_entries(entries)
                .with_upstreams(engines, engine.clone())
        });
        let chunk = self.length.div_ceil(self.chunks);
        let version = |it: &str| {
            OriginModel::new(MODEL, it, self.length, chunk).with_shared_prefix(SHARED_CHUNKS)
        };
        let models = vec![
            OriginModel::new(MODEL, OLD, OLD_LENGTH, OLD_LENGTH),
            version(NEW),
            version(NEWER),
        ];
        let mut spec = FleetSpec::new(data_centres.to_vec())
            .with_models(models)
            .with_origin_rate(self.origin_rate());
        spec.cuttable = self.fault == Fault::Cut;
        spec.log_level = "warn".to_owned();
        spec
    }

    /// Makes the document that names `version`. Where VMs are killed or cut off, fewer are
    /// required.
    pub(super) fn document(&self, spec: &FleetSpec, version: &str) -> Document {
        let mut document = spec.document(SERVICE, Some((MODEL, version)));
        document.spread.policy = self.policy;
        document.spread.weigh = self.house.weigh();
        for place in &mut document.places {
            place.ready = self.fault.required(place.ready);
        }
        document
    }

    /// Returns the name under which the origin counts the bytes of `version`.
    pub(super) fn part(version: &str) -> String {
        let part = ModelRef {
            name: MODEL.to_owned(),
            version: version.to_owned(),
        };
        part.to_string()
    }

    /// Makes the load in the background.
    pub(super) fn load(&self, spec: &FleetSpec, targets: Vec<std::net::SocketAddr>) -> Plan {
        let customers = spec.customers.iter().map(|it| CustomerShare {
            name: it.name.clone(),
            key: it.key.clone(),
            weight: 1.0,
        });
        Plan {
            targets,
            engine_bundle: None,
            engines: Vec::new(),
            seed: 1,
            steps: vec![Step {
                duration: LONGEST,
                rate: RATE_PER_ENGINE * self.house.engines() as f64,
            }],
            customers: customers.collect(),
            services: vec![ServiceShare {
                name: SERVICE.to_owned(),
                weight: 1.0,
            }],
            priorities: std::collections::BTreeMap::new(),
            orders: Orders::default(),
            prompts: Prompts::default(),
            max_tokens: MaxTokens {
                least: 10,
                most: 40,
            },
            deadline: Some(Duration::from_secs(30)),
            lost_allowed: false,
            drain: Duration::from_secs(30),
            warm_up: Duration::from_secs(2),
        }
    }
}
