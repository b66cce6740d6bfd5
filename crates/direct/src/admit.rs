//! Admission: checks a request against the configuration, and resolves its route, service and customer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::request::Parts;
use http::{HeaderMap, Uri, header};
use rand::RngExt as _;
use wagtailreel_core::{CustomerId, RequestId, ServiceName};
use wagtailreel_fleet::{AllowedRegions, Customer, Directory, EngineModel, ModelName, Route};
use wagtailreel_route::direct::{Prediction, PromptPrefix};
use wagtailreel_serve::connection_options;

use crate::dialect::{Dialect, RequestHead};
use crate::refusal::{LONG_RETRY_AFTER, Refusal};
use crate::shared::Shared;

/// Minimum time before the deadline with which a request is still started.
const MIN_TIME: Duration = Duration::from_millis(20);

/// Headers that concern one connection only.
const HOP_BY_HOP: &[header::HeaderName] = &[
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Header with the parameters of a persistent connection.
const KEEP_ALIVE: &str = "keep-alive";

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Admitted {
    pub(crate) id: RequestId,
    pub(crate) head: RequestHead,
    pub(crate) directory: Arc<Directory>,
    pub(crate) route: Route,
    pub(crate) service: ServiceName,
    /// The model that an engine must hold; `None` at a plain service.
    pub(crate) model: Option<ModelName>,
    /// Performance model of the service's engines; `None` at a plain service.
    pub(crate) engine: Option<EngineModel>,
    /// The customer whose key the request carries; `None` on a public route.
    pub(crate) customer: Option<CustomerId>,
    /// Rank of the customer or else of the route; 0 is the highest.
    pub(crate) rank: u8,
    /// How many of the ranks of requests that can reach the service are more urgent.
    pub(crate) urgency: u8,
    /// The beginnings of the prompt; empty if engines retain none.
    pub(crate) prefixes: Vec<PromptPrefix>,
    /// Regions that both the route and the customer allow.
    pub(crate) regions: AllowedRegions,
    /// Maximum duration of the answer once an upstream has the request.
    pub(crate) max_duration: Duration,
    pub(crate) deadline: Instant,
}

/// Admits a request or refuses it.
///
/// # Errors
///
/// Returns the refusal to send to the caller.
pub(crate) fn admit<D>(
    cx: &Shared<D>,
    parts: &Parts,
    head: RequestHead,
) -> Result<Admitted, Refusal>
where
    D: Dialect,
{
    let directory = cx.view.directory().ok_or(Refusal::NoConfiguration)?;
    let route = find_route(cx, &directory, parts)?.clone();
    let customer = find_customer(cx, &directory, &route, &head)?;
    let id = head.id.clone().ok_or(Refusal::NoId)?;
    let regions = match customer {
        Some(customer) => route.regions.intersection(&customer.regions),
        None => route.regions.clone(),
    };
    if regions.is_empty() {
        return Err(Refusal::Region {
            retry_in: LONG_RETRY_AFTER,
        });
    }
    let time_limit = head.deadline.unwrap_or(route.timeout).min(route.timeout);
    if time_limit < MIN_TIME {
        return Err(Refusal::Deadline);
    }
    let service = choose_service(&route).ok_or(Refusal::NoUpstream {
        retry_in: LONG_RETRY_AFTER,
    })?;
    let spec = directory.service(&service);
    let engine = spec.and_then(|spec| spec.engine.clone());
    let now = Instant::now();
    let max_duration = max_duration(&route, engine.as_ref(), &head).min(time_limit);
    if !cx.has_time(now, now + max_duration, route.kind.is_stream()) {
        return Err(Refusal::Leaving);
    }
    let model = engine.as_ref().map(|engine| engine.model.clone());
    let prefixes = prefixes(cx, engine.as_ref(), &parts.headers);
    let customer_rank = customer.and_then(|customer| customer.rank);
    let rank = customer_rank.unwrap_or(route.rank);
    let ranks = directory.ranks(&service);
    let urgency = ranks.map_or(0, |ranks| ranks.position(customer_rank, route.rank));
    Ok(Admitted {
        id,
        head,
        service,
        model,
        engine,
        customer: customer.map(|customer| customer.name.clone()),
        rank,
        urgency,
        prefixes,
        regions,
        route,
        directory,
        max_duration,
        deadline: now + time_limit,
    })
}

/// Returns the beginnings of the prompt, if the settings say that engines retain them.
fn prefixes<D>(
    cx: &Shared<D>,
    engine: Option<&EngineModel>,
    headers: &HeaderMap,
) -> Vec<PromptPrefix>
where
    D: Dialect,
{
    if engine.is_none() || cx.settings.prompt_cache.is_none() {
        return Vec::new();
    }
    let parts = cx.dialect.prompt(headers);
    PromptPrefix::of_parts(parts.iter().map(|(id, tokens)| (id.as_str(), *tokens)))
}

/// Returns the maximum duration of an answer, or [`Duration::MAX`] if it can't be predicted.
///
/// The first event is expected within the route's objective: a request for which no upstream can meet it is
/// refused.
fn max_duration(route: &Route, engine: Option<&EngineModel>, head: &RequestHead) -> Duration {
    match engine {
        Some(engine) if head.answer_tokens > 0 => {
            route.objective + Prediction::longest_answer(engine, head.answer_tokens)
        }
        _ => Duration::MAX,
    }
}

fn find_route<'a, D>(
    cx: &Shared<D>,
    directory: &'a Directory,
    parts: &Parts,
) -> Result<&'a Route, Refusal> {
    let host = host_of(&parts.uri, &parts.headers);
    let route = host.and_then(|host| directory.route(host, parts.uri.path()));
    match route {
        Some(route) => Ok(route),
        None if cx.may_deny() => Err(Refusal::NoRoute),
        // The configuration may be out of date, and the route may have been added since.
        None => Err(Refusal::StaleConfiguration),
    }
}

fn find_customer<'a, D>(
    cx: &Shared<D>,
    directory: &'a Directory,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<&'a Customer>, Refusal> {
    if route.is_public || !directory.needs_keys() {
        return Ok(None);
    }
    let customer = head.key.as_deref().and_then(|key| directory.customer(key));
    match customer {
        Some(_) if !cx.trusts_keys() => Err(Refusal::StaleConfiguration),
        Some(customer) => Ok(Some(customer)),
        None if cx.may_deny() => Err(Refusal::UnknownKey),
        None => Err(Refusal::StaleConfiguration),
    }
}

/// Chooses a service at random by the weights of the route.
fn choose_service(route: &Route) -> Option<ServiceName> {
    let total: u32 = route.services.iter().map(|(_, weight)| weight).sum();
    if total == 0 {
        return route.services.first().map(|(name, _)| name.clone());
    }
    let mut ticket = rand::rng().random_range(0..total);
    for (name, weight) in &route.services {
        if ticket < *weight {
            return Some(name.clone());
        }
        ticket -= weight;
    }
    None
}

/// Returns the host that a request names, without its port.
fn host_of<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    if let Some(host) = uri.host() {
        return Some(host);
    }
    let host = headers.get(header::HOST)?.to_str().ok()?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

/// Removes the headers that concern one connection only.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<String> = connection_options(headers)
        .map(str::to_ascii_lowercase)
        .collect();
    for name in named {
        headers.remove(name.as_str());
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
}
