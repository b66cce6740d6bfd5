//! The configuration in force: routes, services, customers and limits.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationNanoSeconds, serde_as};
use wagtailreel_core::{CustomerId, DataCentre, ServiceName};

use crate::directory_parts::DirectoryParts;
use crate::ranks::ServiceRanks;
use crate::{AllowedRegions, ModelName};

/// Version of a configuration; later ones are higher.
pub type ConfigVersion = u64;

/// Name of a route.
pub type RouteName = String;

/// Secret that a customer's requests carry.
pub type ApiKey = String;

/// Priority rank of a customer or route; 0 is the highest.
pub type CustomerRank = u8;

/// How a route's requests may be retried, and whether the answer is streamed.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// The answer is a stream of events.
    Stream {
        /// Whether a broken stream may be resumed at another upstream. Without it the request runs at most
        /// once.
        resumable: bool,
        /// Objective for the longest pause between two events.
        #[serde_as(as = "Option<DurationNanoSeconds<u64>>")]
        gap: Option<Duration>,
    },
}

impl RouteKind {
    /// Returns whether a request that may have run can be sent again.
    pub const fn repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::NonIdempotent => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Returns the objective for the longest pause between two events of a stream, if one is set.
    pub const fn gap(self) -> Option<Duration> {
        match self {
            Self::Stream { gap, .. } => gap,
            Self::Idempotent | Self::NonIdempotent => None,
        }
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Routing of the requests with one host and path prefix.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Host of the requests, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// How requests may be retried.
    pub kind: RouteKind,
    /// Longest time until the answer is complete.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub timeout: Duration,
    /// Objective for the time to first byte.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub objective: Duration,
    /// Rank of its requests.
    pub rank: CustomerRank,
    /// Services among which the requests are split, each with its weight.
    pub services: Vec<(ServiceName, u32)>,
    /// Number of upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Regions whose upstreams may serve its requests.
    #[serde(default, skip_serializing_if = "AllowedRegions::is_unrestricted")]
    pub regions: AllowedRegions,
}

/// Performance model of an engine, as its operator measured it.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineModel {
    /// Name of the model.
    pub model: ModelName,
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Number of tokens that the engine's memory holds.
    pub memory_tokens: u64,
    /// Fixed duration of one token step.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step: Duration,
    /// Additional duration of a step for each request in the batch.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step_per_request: Duration,
    /// Additional duration of a step for each 1,000 tokens of context.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub step_per_1k_context: Duration,
    /// Prefill rate, in prompt tokens per second.
    pub read_per_second: f64,
    /// Number of token steps in one pass over the batch.
    pub steps_per_pass: u32,
    /// Mean length of a prompt, in tokens.
    pub usual_prompt: u32,
    /// Mean length of an answer, in tokens.
    pub usual_answer: u32,
    /// Number of chunks of the model's weights.
    pub chunks: u32,
    /// Size of a chunk in bytes; 0 if unknown.
    #[serde(default)]
    pub chunk_bytes: u32,
    /// Time to load staged weights.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub load_time: Duration,
}

/// The origin from which weights are downloaded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OriginSpec {
    /// Address of the origin.
    pub addr: SocketAddr,
    /// Data centre of the origin.
    pub data_centre: DataCentre,
    /// Bandwidth of its link, in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub link_mbps: f64,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of connections that each upstream accepts from all callers together.
    pub max_connections: u32,
    /// Performance model of the service's engines; `None` for a plain service.
    pub engine: Option<EngineModel>,
    /// The origin of weights, if the service is one.
    pub origin: Option<OriginSpec>,
    /// Requests per second that an engine tolerates while it is cold; 0 if the service has no such limit.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub warmup_per_second: f64,
}

/// Returns whether a service has no warm-up rate, which is then not serialized.
// The signature is serde's.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(rate: &f64) -> bool {
    *rate <= 0.0
}

/// Limits for requests and connections of clients.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub header_timeout: Duration,
    /// How long a connection is kept open without a request.
    #[serde_as(as = "DurationNanoSeconds<u64>")]
    pub idle_timeout: Duration,
}

/// One customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// Name of the customer.
    pub name: CustomerId,
    /// Rank of the customer's requests; overrides the rank of the route.
    pub rank: Option<CustomerRank>,
    /// Keys of the customer's requests.
    pub keys: Vec<ApiKey>,
    /// Regions whose upstreams may serve the customer's requests.
    #[serde(default, skip_serializing_if = "AllowedRegions::is_unrestricted")]
    pub regions: AllowedRegions,
}

/// A configuration in force.
///
/// Invariant: the indexes hold positions in `routes` and `customers`, and the routes of one host are sorted
/// by descending length of the prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "DirectoryParts", into = "DirectoryParts")]
pub struct Directory {
    version: ConfigVersion,
    routes: Vec<Route>,
    services: BTreeMap<ServiceName, ServiceSpec>,
    customers: Vec<Customer>,
    needs_keys: bool,
    limits: ClientLimits,
    by_host: BTreeMap<String, Vec<usize>>,
    by_key: BTreeMap<ApiKey, usize>,
    ranks: BTreeMap<ServiceName, ServiceRanks>,
}

impl Directory {
    /// Makes an empty configuration with the given version, without customers: requests need no key.
    pub fn new(version: ConfigVersion, limits: ClientLimits) -> Self {
        Self {
            version,
            routes: Vec::new(),
            services: BTreeMap::new(),
            customers: Vec::new(),
            needs_keys: false,
            limits,
            by_host: BTreeMap::new(),
            by_key: BTreeMap::new(),
            ranks: BTreeMap::new(),
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
        self.ranks = ServiceRanks::collect(&self.routes, &self.customers);
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

    /// Sets the customers. From then on requests need a key of one of them, also if there are none.
    #[must_use]
    pub fn with_customers(mut self, customers: Vec<Customer>) -> Self {
        self.by_key.clear();
        for (position, customer) in customers.iter().enumerate() {
            for key in &customer.keys {
                self.by_key.insert(key.clone(), position);
            }
        }
        self.customers = customers;
        self.needs_keys = true;
        self.ranks = ServiceRanks::collect(&self.routes, &self.customers);
        self
    }

    /// Returns the version.
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the limits for clients.
    pub const fn limits(&self) -> ClientLimits {
        self.limits
    }

    /// Returns the route of a request: of the routes of its host, the one with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let positions = self.by_host.get(&host.to_ascii_lowercase())?;
        positions
            .iter()
            .map(|position| &self.routes[*position])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the customer that owns `key`.
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        self.by_key
            .get(key)
            .map(|position| &self.customers[*position])
    }

    /// Returns whether requests on routes that are not public need a key.
    pub const fn needs_keys(&self) -> bool {
        self.needs_keys
    }

    /// Returns the service with the given name.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Returns the ranks of the requests that can reach a service; `None` if no route leads there.
    pub fn ranks(&self, service: &str) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// Returns all services, sorted by name.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<&OriginSpec> {
        self.services
            .values()
            .find_map(|service| service.origin.as_ref())
    }

    /// Returns how long the origin's link takes to transfer one chunk of an engine's weights, if the
    /// bandwidth and the chunk size are known.
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

    /// Returns the routes, services and customers.
    pub(crate) fn into_lists(self) -> (Vec<Route>, Vec<ServiceSpec>, Vec<Customer>) {
        let services = self.services.into_values().collect();
        (self.routes, services, self.customers)
    }
}
