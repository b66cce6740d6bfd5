//! The configuration in force: routes, services, customers and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationNanoSeconds, serde_as};
use wagtailreel_core::{CustomerId, DataCentre, ServiceName};

use crate::ModelName;

/// Version of a configuration; later ones are higher.
pub type ConfigVersion = u64;

/// Name of a route.
pub type RouteName = String;

/// Secret that a customer's requests carry.
pub type ApiKey = String;

/// Rank of a customer or route, 0 first.
pub type CustomerRank = u8;

/// What may be repeated of a request.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run once at most.
    NonIdempotent,
    /// The answer is a series of events.
    Stream {
        /// A broken stream may go on at another upstream; without it the request runs once.
        resumable: bool,
        /// Longest pause between two events for an answer that is on time.
        #[serde_as(as = "Option<DurationNanoSeconds<u64>>")]
        gap: Option<Duration>,
    },
}

impl RouteKind {
    /// Says whether a request that may have run can be sent again.
    pub const fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the longest wanted pause between two events of a stream, if one is set.
    pub const fn gap(self) -> Option<Duration> {
        match self {
            Self::Stream { gap, .. } => gap,
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }

    /// Says whether the answer is a series of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Where requests of one host and path prefix go.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host that requests name, in lower case.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time until the final answer.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub timeout: Duration,
    /// Time to the first byte that callers want.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub objective: Duration,
    /// Rank of its requests.
    pub rank: CustomerRank,
    /// Services that share the requests, each with its weight.
    pub services: Vec<(ServiceName, u32)>,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Requests need no key.
    pub is_public: bool,
}

/// What an engine's answers take, as its operator measured it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Name of the model.
    pub model: ModelName,
    /// Requests in a batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Time of one token step without requests.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step: Duration,
    /// Further time of a step for each request in the batch.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step_per_request: Duration,
    /// Further time of a step for each 1,000 tokens of context.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step_per_1k_context: Duration,
    /// Prompt tokens that are read in a second.
    pub read_per_second: f64,
    /// Token steps of one pass over the batch.
    pub steps_per_pass: u32,
    /// Mean tokens of a prompt.
    pub usual_prompt: u32,
    /// Mean tokens of an answer.
    pub usual_answer: u32,
    /// Chunks of the model's weights.
    pub chunks: u32,
    /// Bytes of a chunk; 0 if its operator doesn't tell.
    #[serde(default)]
    pub chunk_bytes: u32,
    /// Time that loading staged weights takes.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub load_time: Duration,
}

/// Where weights are drawn from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Its address.
    pub addr: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// What its link carries, in Mbit/s; 0 if its operator doesn't tell.
    #[serde(default)]
    pub link_mbps: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Connections that each upstream takes from all callers together.
    pub max_connections: u32,
    /// What an engine's answers take; none for a plain service.
    pub engine: Option<EngineModel>,
    /// The service is an origin of weights.
    pub origin: Option<OriginSpec>,
}

/// What a client may send.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Longest head in bytes.
    pub header_bytes: usize,
    /// Longest body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub header_timeout: Duration,
    /// How long a connection is kept without a request.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub idle_timeout: Duration,
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Rank of its requests, in place of the route's.
    pub rank: Option<CustomerRank>,
    /// Keys that its requests carry.
    pub keys: Vec<ApiKey>,
}

/// A configuration in force.
///
/// Invariant: the indexes name positions in `routes` and `customers`, and the routes of one host
/// stand with the longest prefix first.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "DirectoryParts", into = "DirectoryParts")]
pub struct Directory {
    version: ConfigVersion,
    routes: Vec<Route>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    customers: Vec<Customer>,
    limits: ClientLimits,
    by_host: BTreeMap<String, Vec<usize>>,
    by_key: BTreeMap<ApiKey, usize>,
}

impl Directory {
    /// Makes the configuration `version`.
    pub fn new(version: ConfigVersion, limits: ClientLimits) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: BTreeMap::new(),
            customers: Vec::new(),
            limits,
            by_host: BTreeMap::new(),
            by_key: BTreeMap::new(),
        }
    }

    /// Sets the routes.
    #[must_use]
    pub fn with_routes(mut self, routes: Vec<Route>) -> Self {
        self.by_host.clear();
        for (position, route) in routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            self.by_host.entry(host).or_default().push(position);
        }
        for positions in self.by_host.values_mut() {
            positions.sort_by_key(|position| std::cmp::Reverse(routes[*position].prefix.len()));
        }
        self.routes = routes;
        self
    }

    /// Sets the services.
    #[must_use]
    pub fn with_services(mut self, services: Vec<ServiceSpec>) -> Self {
        self.services = services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        self
    }

    /// Sets the customers.
    #[must_use]
    pub fn with_customers(mut self, customers: Vec<Customer>) -> Self {
        self.by_key.clear();
        for (position, customer) in customers.iter().enumerate() {
            for key in &customer.keys {
                self.by_key.insert(key.clone(), position);
            }
        }
        self.customers = customers;
        self
    }

    /// Returns the version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns what a client may send.
    pub const fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route of a request: the longest prefix of its host that begins its path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let positions = self.by_host.get(&host.to_ascii_lowercase())?;
        positions
            .iter()
            .map(|position| &self.routes[*position])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that holds `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key
            .get(key)
            .map(|position| &self.customers[*position])
    }

    /// Says whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns all services in the order of their names.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services
            .values()
            .find_map(|service| service.origin.as_ref())
    }

    /// Returns how long the origin's link takes for one chunk of an engine's weights, if its operator
    /// tells the link and the chunks.
    pub fn draw_time(&self, engine: &EngineModel) -> Option<Duration> {
        let link = self.origin()?.link_mbps * 1e6;
        let bits = f64::from(engine.chunk_bytes) * 8.0;
        if link <= 0.0 || bits <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(bits / link).ok()
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }
}

/// A configuration without its indexes, as one process hands it to another.
#[derive(Debug, Serialize, Deserialize)]
struct DirectoryParts {
    version: ConfigVersion,
    limits: ClientLimits,
    routes: Vec<Route>,
    services: Vec<ServiceSpec>,
    customers: Vec<Customer>,
}

impl From<DirectoryParts> for Directory {
    fn from(parts: DirectoryParts) -> Self {
        Self::new(parts.version, parts.limits)
            .with_routes(parts.routes)
            .with_services(parts.services)
            .with_customers(parts.customers)
    }
}

impl From<Directory> for DirectoryParts {
    fn from(directory: Directory) -> Self {
        Self {
            version: directory.version,
            limits: directory.limits,
            routes: directory.routes,
            services: directory.services.into_values().collect(),
            customers: directory.customers,
        }
    }
}
