//! An entry with scripted upstreams and a registry in memory.

#![allow(dead_code, reason = "each test program uses a part of it")]

pub(crate) mod agent;
pub(crate) mod caller;
pub(crate) mod crashing_fleet;
pub(crate) mod edits;
pub(crate) mod pair;
pub(crate) mod upstream;
pub(crate) mod weights;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use wagtailreel_direct::{
    AnswerHead, Dialect, DirectEntry, Dispatch, Limit, NamedLimit, PromptPart, RequestHead,
};
use wagtailreel_fleet::{
    AllowedRegions, Change, ClientLimits, Customer, Directory, EngineModel, LoadedModel, Route,
    RouteKind, ServiceSpec, Upstream, UpstreamState,
};
use wagtailreel_settings::{AdmissionMode, DirectBounds, DirectEntrySettings, DirectListen};

use wagtailreel_standins::RegistryStandin;

use self::upstream::TestUpstream;

/// The dialect of these tests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestDialect;

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

/// Returns the parts of the prompt in `x-prompt`, as `id:tokens` separated by spaces.
fn prompt(headers: &HeaderMap) -> Vec<(PromptPart, u32)> {
    let text = text(headers, "x-prompt").unwrap_or_default();
    let parts = text.split(' ').filter_map(|part| part.split_once(':'));
    parts
        .map(|(id, tokens)| (id.to_owned(), tokens.parse().unwrap()))
        .collect()
}

impl Dialect for TestDialect {
    fn request(&self, headers: &HeaderMap) -> RequestHead {
        RequestHead {
            id: text(headers, "x-id"),
            deadline: text(headers, "x-deadline")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
            key: text(headers, "x-key"),
            last_event: text(headers, "last-event-id").and_then(|id| id.parse().ok()),
            prompt_tokens: prompt(headers).iter().map(|(_, tokens)| tokens).sum(),
            answer_tokens: 0,
            prompt_parts: text(headers, "x-parts")
                .map(|parts| parts.split(' ').map(ToOwned::to_owned).collect())
                .unwrap_or_default(),
        }
    }

    fn prompt(&self, headers: &HeaderMap) -> Vec<(PromptPart, u32)> {
        prompt(headers)
    }

    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch<'_>) {
        headers.remove("x-key");
        headers.remove("x-customer");
        let mut set = |name: &'static str, value: String| {
            let value = HeaderValue::try_from(value).unwrap();
            headers.insert(HeaderName::from_static(name), value);
        };
        set("x-deadline", dispatch.remaining.as_millis().to_string());
        set("x-upstream", dispatch.upstream.to_owned());
        if let Some(customer) = dispatch.customer {
            set("x-customer", customer.to_owned());
        }
        if let Some(last) = dispatch.last_event {
            set("last-event-id", last.to_string());
        }
    }

    fn answer(&self, _status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            id: text(headers, "x-id"),
            is_unnamed: headers.contains_key("x-unnamed"),
            not_run: headers.contains_key("x-not-run"),
            misdirected: headers.contains_key("x-misdirected"),
            keep_alive: text(headers, "x-keep-alive")
                .and_then(|seconds| seconds.parse().ok())
                .map(Duration::from_secs),
            is_leaving: headers.contains_key("x-leaving"),
            rest: text(headers, "x-rest")
                .and_then(|seconds| wagtailreel_direct::rest_from_secs(seconds.parse().ok()?)),
            limit: match text(headers, "x-limit").map(|limit| limit.parse()) {
                None => NamedLimit::None,
                Some(Ok(limit)) => {
                    Limit::new(limit).map_or(NamedLimit::Unreadable, NamedLimit::Limit)
                }
                Some(Err(_)) => NamedLimit::Unreadable,
            },
            ..AnswerHead::default()
        }
    }

    fn own_answer(&self, headers: &mut HeaderMap, id: &str) {
        headers.insert("x-id", HeaderValue::try_from(id).unwrap());
    }
}

/// Returns a route of host `shop.example`.
pub(crate) fn route(prefix: &str, kind: RouteKind) -> Route {
    Route {
        name: prefix.trim_matches('/').to_owned(),
        host: "shop.example".to_owned(),
        prefix: prefix.to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(100),
        rank: 1,
        services: vec![("desk".to_owned(), 1)],
        max_attempts: 2,
        is_public: false,
        regions: AllowedRegions::default(),
    }
}

/// Returns a configuration with a route of each kind, and the customer `quay` with the key `k1`.
pub(crate) fn directory(version: u64) -> Directory {
    let limits = ClientLimits {
        header_bytes: 16384,
        body_bytes: 1 << 16,
        header_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_secs(15),
    };
    let stream = RouteKind::Stream {
        resumable: true,
        gap: None,
    };
    let mut quick = route("/quick/", RouteKind::NonIdempotent);
    quick.timeout = Duration::from_millis(300);
    let mut public = route("/public/", RouteKind::Idempotent);
    public.is_public = true;
    let mut written = route("/written/", stream);
    written.services = vec![("writers".to_owned(), 1)];
    let routes = vec![
        route("/read/", RouteKind::Idempotent),
        route("/order/", RouteKind::NonIdempotent),
        route("/stream/", stream),
        quick,
        public,
        written,
    ];
    let customer = Customer {
        name: "quay".to_owned(),
        rank: None,
        keys: vec!["k1".to_owned()],
        regions: AllowedRegions::default(),
    };
    let service = |name: &str, engine| ServiceSpec {
        name: name.to_owned(),
        max_connections: 100,
        engine,
        warmup_per_second: 0.0,
        origin: None,
    };
    Directory::new(version, limits)
        .with_routes(routes)
        .with_services(vec![
            service("desk", None),
            service("writers", Some(engine_model())),
        ])
        .with_customers(vec![customer])
}

/// Returns the model of an engine's speed.
pub(crate) fn engine_model() -> EngineModel {
    EngineModel {
        model: "epitaph".to_owned(),
        slots: 4,
        memory_tokens: 1000,
        step: Duration::from_millis(7),
        step_per_request: Duration::ZERO,
        step_per_1k_context: Duration::ZERO,
        read_per_second: 30_000.0,
        steps_per_pass: 6,
        usual_prompt: 100,
        usual_answer: 100,
        chunks: 4,
        chunk_bytes: 0,
        load_time: Duration::from_millis(300),
    }
}

/// Returns the record of an engine in the entry's data centre that holds `version`.
pub(crate) fn engine_record(id: &str, upstream: &TestUpstream, version: u64) -> Change {
    Change::Upstream(Box::new(engine_upstream(id, upstream, version)))
}

/// Returns the record of an engine in `data_centre` that holds version 1.
pub(crate) fn engine_record_in(data_centre: &str, upstream: &TestUpstream) -> Change {
    Change::Upstream(Box::new(Upstream {
        data_centre: data_centre.to_owned(),
        ..engine_upstream("a", upstream, 1)
    }))
}

fn engine_upstream(id: &str, upstream: &TestUpstream, version: u64) -> Upstream {
    Upstream {
        service: "writers".to_owned(),
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version,
            whole: true,
        }],
        ..registered(id, upstream.addr)
    }
}

/// Returns the record of an upstream of the service `desk`.
pub(crate) fn registered(id: &str, addr: SocketAddr) -> Upstream {
    Upstream {
        id: id.to_owned(),
        started: 0,
        service: "desk".to_owned(),
        addr,
        data_centre: "hall".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: Vec::new(),
    }
}

/// Puts an upstream into the registry.
pub(crate) fn register(registry: &RegistryStandin, id: &str, addr: SocketAddr) {
    registry.upstream(Change::Upstream(Box::new(registered(id, addr))));
}

/// Starts an entry without agents, which accepts keys until its configuration is older than `keys`.
pub(crate) async fn entry(registry: &RegistryStandin, keys: Duration) -> DirectEntry<TestDialect> {
    entry_with_agents(registry, keys, 9).await
}

/// Starts an entry whose agents listen on `agent_port`.
pub(crate) async fn entry_with_agents(
    registry: &RegistryStandin,
    keys: Duration,
    agent_port: u16,
) -> DirectEntry<TestDialect> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    entry_at(registry, keys, any, agent_port, &[]).await
}

/// Starts an entry that talks to agents and other entries from the address `agents`, with the seed entries
/// `seeds`.
pub(crate) async fn entry_at(
    registry: &RegistryStandin,
    keys: Duration,
    agents: SocketAddr,
    agent_port: u16,
    seeds: &[IpAddr],
) -> DirectEntry<TestDialect> {
    let settings = settings(keys, agents, agent_port, seeds);
    DirectEntry::start(settings, registry.clone(), TestDialect)
        .await
        .unwrap()
}

/// Starts an entry without agents whose settings `change` has changed.
pub(crate) async fn entry_with<F>(registry: &RegistryStandin, change: F) -> DirectEntry<TestDialect>
where
    F: FnOnce(&mut DirectEntrySettings),
{
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut settings = settings(Duration::from_secs(4), any, 9, &[]);
    change(&mut settings);
    DirectEntry::start(settings, registry.clone(), TestDialect)
        .await
        .unwrap()
}

/// Starts an entry without agents in `data_centre`, with the region of each data centre.
pub(crate) async fn entry_of(
    registry: &RegistryStandin,
    data_centre: &str,
    regions: BTreeMap<String, String>,
) -> DirectEntry<TestDialect> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let settings = DirectEntrySettings {
        data_centre: data_centre.to_owned(),
        regions,
        ..settings(Duration::from_secs(4), any, 9, &[])
    };
    DirectEntry::start(settings, registry.clone(), TestDialect)
        .await
        .unwrap()
}

fn settings(
    keys: Duration,
    agents: SocketAddr,
    agent_port: u16,
    seeds: &[IpAddr],
) -> DirectEntrySettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    DirectEntrySettings {
        vm: "entry-1".to_owned(),
        data_centre: "hall".to_owned(),
        regions: BTreeMap::from([("hall".to_owned(), "sierra".to_owned())]),
        listen: DirectListen {
            callers: any,
            status: any,
            agents,
        },
        registry: any,
        agent_port,
        seeds: seeds.to_vec(),
        threads: 1,
        prompt_cache: None,
        admission: AdmissionMode::ByRank,
        bounds: DirectBounds {
            keys,
            denial: keys,
            weights: Duration::from_millis(400),
            weights_last: Duration::from_millis(600),
            weights_at_start: Duration::from_secs(2),
            retry_ratio: 0.2,
            upstreams_pace: Duration::from_millis(100),
            lapse_after: Duration::ZERO,
            grace: Duration::from_secs(2),
            warmup_overage: 1.5,
            warmup_slack: 5.0,
        },
    }
}

/// Repeats a call until the answer has `status`.
pub(crate) async fn until_status(addr: SocketAddr, path: &str, status: u16) -> caller::Answer {
    loop {
        let answer = caller::call(addr, "GET", path).await;
        if answer.status == status {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Waits until the readiness check of the entry returns `status`.
pub(crate) async fn until_readiness(entry: &DirectEntry<TestDialect>, status: u16) {
    loop {
        let answer = caller::get(entry.status(), "/readyz", &[]).await;
        if answer.status == status {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts an entry with a configuration and the upstreams `addrs`, and waits until it is ready.
pub(crate) async fn ready_entry(
    registry: &RegistryStandin,
    addrs: &[(&str, SocketAddr)],
) -> DirectEntry<TestDialect> {
    registry.config(directory(1));
    for (id, addr) in addrs {
        register(registry, id, *addr);
    }
    let entry = entry(registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    entry
}
