//! All entries together keep to the rate limit of an upstream, and use most of it.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::cmp::Reverse;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::http::HeaderMap;
use common::agent::{IdleAgent, free_port};
use common::caller::{request, send};
use common::{directory, entry_at, entry_with_agents, registered, until_readiness};
use rstest::rstest;
use tokio::net::TcpListener;
use wagtailreel_core::rank_score;
use wagtailreel_fleet::{Change, LoadedModel, Upstream};
use wagtailreel_standins::RegistryStandin;

/// Span over which requests are counted.
const SPAN: Duration = Duration::from_secs(4);

/// Time after the first answer that states a limit; requests are counted from then on.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// Requests beyond one and a half times the limit that are allowed in a span.
const SLACK: f64 = 5.0;

/// Minimum share of a limit that is used if the demand is higher.
const MIN_USED: f64 = 0.9;

/// Maximum time to the refusal of a request that gets no permit.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(250);

const ENTRIES: usize = 6;

/// Time between two requests to an entry.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Which upstreams a fleet has. Only engines have agents beside them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Engines,
    PlainAndEngines,
    Plain,
}

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts an upstream that states `limit` in its answers.
async fn upstream(ip: &str, limit: &'static str) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let arrivals = Arrivals::default();
    let seen = Arc::clone(&arrivals);
    let answer = move |headers: HeaderMap| async move {
        assert!(headers.contains_key("x-upstream"));
        seen.lock().unwrap().push(Instant::now());
        let events = "id: 1\ndata: piece 1\n\n";
        (
            [("x-limit", limit), ("content-type", "text/event-stream")],
            events,
        )
    };
    let routes = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, routes).await.unwrap() });
    (addr, arrivals)
}

fn engine(id: &str, addr: SocketAddr) -> Upstream {
    Upstream {
        service: "writers".to_owned(),
        slots: 64,
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
        ..registered(id, addr)
    }
}

/// Returns the maximum number of requests in any span that starts after the settling time.
fn worst_span(arrivals: &[Instant]) -> usize {
    let Some(first) = arrivals.first() else {
        return 0;
    };
    let counted: Vec<Instant> = arrivals
        .iter()
        .copied()
        .filter(|at| *at > *first + SETTLING_TIME)
        .collect();
    let within = |from: &Instant| {
        counted
            .iter()
            .filter(|at| *at >= from && **at < *from + SPAN)
            .count()
    };
    counted.iter().map(within).max().unwrap_or_default()
}

/// Returns the number of requests that are allowed in any span.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64() + SLACK).floor() as usize
}

/// Sends requests to the entry at `addr`, one after the other. Each refusal has to come within the maximum
/// time, with a `retry-after`.
async fn call_until(addr: SocketAddr, entry: usize, path: &'static str, until: Instant) {
    let mut count = 0;
    while Instant::now() < until {
        count += 1;
        let id = format!("r{entry}-{count}");
        let headers = [("x-id", &*id), ("x-key", "k1")];
        let sent = Instant::now();
        let answer = send(addr, &request("GET", path, &headers, "")).await;
        if answer.status == 503 {
            assert!(sent.elapsed() < MAX_REFUSAL_TIME, "refused at once");
            let retry_after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!(retry_after > 0.0, "{answer:?}");
        }
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
}

#[rstest]
#[case::engines(81, "/written/1", Kind::Engines)]
#[case::plain_service(82, "/read/1", Kind::PlainAndEngines)]
#[case::no_agents(84, "/read/1", Kind::Plain)]
#[tokio::test]
async fn sum_over_entries(#[case] net: u8, #[case] path: &'static str, #[case] kind: Kind) {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let port = free_port().await;
    let limits = ["1", "2.7", "6"];
    let mut upstreams = Vec::new();
    for (number, limit) in limits.iter().enumerate() {
        let ip = format!("127.79.{net}.{}", number + 1);
        let (addr, arrivals) = upstream(&ip, limit).await;
        if kind != Kind::Plain {
            IdleAgent::start(&ip, port).await;
            let id = format!("u-{number}");
            registry.upstream(Change::Upstream(Box::new(engine(&id, addr))));
        }
        if kind != Kind::Engines {
            let id = format!("d-{number}");
            registry.upstream(Change::Upstream(Box::new(registered(&id, addr))));
        }
        if kind == Kind::PlainAndEngines {
            registry.upstream(Change::Upstream(Box::new(engine(
                &format!("e-{number}"),
                SocketAddr::new(addr.ip(), port),
            ))));
        }
        upstreams.push((limit.parse::<f64>().unwrap(), arrivals));
    }
    let mut entries = Vec::new();
    let seeds = [101, 102, 103].map(|number| IpAddr::from([127, 79, net, number]));
    for number in 0..ENTRIES {
        let keys = Duration::from_secs(60);
        let own = SocketAddr::from(([127, 79, net, 101 + number as u8], port));
        let entry = match kind {
            Kind::Plain => entry_at(&registry, keys, own, port, &seeds).await,
            Kind::Engines | Kind::PlainAndEngines => entry_with_agents(&registry, keys, port).await,
        };
        until_readiness(&entry, 200).await;
        entries.push(entry);
    }
    let until = Instant::now() + SETTLING_TIME + SPAN + SPAN / 2;
    let calling = entries.iter().enumerate().map(|(number, entry)| {
        let addr = entry.callers();
        call_until(addr, number, path, until)
    });
    futures::future::join_all(calling).await;
    for (limit, arrivals) in upstreams {
        let arrivals = arrivals.lock().unwrap().clone();
        let worst = worst_span(&arrivals);
        let allowed = allowed(limit);
        assert!(
            worst <= allowed,
            "limit {limit}: {worst} in a span, allowed {allowed}"
        );
        let counted = until - SPAN..until;
        let used = arrivals.iter().filter(|at| counted.contains(at)).count();
        let least = (MIN_USED * limit * SPAN.as_secs_f64()).floor() as usize;
        assert!(
            used >= least,
            "limit {limit}: {used} in the last span, at least {least} fit"
        );
    }
}

/// Guards against more requests than the limit if entries reach different agents, so that several agents
/// issue permits for one upstream.
#[rstest]
#[tokio::test]
async fn agents_cut_off() {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let port = free_port().await;
    let (addr, arrivals) = upstream("127.79.86.9", "6").await;
    registry.upstream(Change::Upstream(Box::new(registered("u", addr))));
    let entries = [101, 102, 103, 104, 105, 106].map(|it| IpAddr::from([127, 79, 86, it]));
    let mut agents = [1, 2, 3].map(|it| IpAddr::from([127, 79, 86, it]));
    agents.sort_by_key(|ip| Reverse(rank_score(b"u", &ip.to_string())));
    for (number, ip) in agents.into_iter().enumerate() {
        // A third of the entries reach the first agent, and two thirds reach the second.
        let cut_off = entries[2 * (number + 1)..].to_vec();
        IdleAgent::start_partitioned(&ip.to_string(), port, cut_off).await;
        let id = format!("e-{number}");
        registry.upstream(Change::Upstream(Box::new(engine(
            &id,
            SocketAddr::new(ip, port),
        ))));
    }
    let mut callers = Vec::new();
    for ip in entries {
        let own = SocketAddr::new(ip, port);
        let entry = entry_at(&registry, Duration::from_secs(60), own, port, &[]).await;
        until_readiness(&entry, 200).await;
        callers.push(entry);
    }
    let until = Instant::now() + SETTLING_TIME + SPAN + SPAN / 2;
    let calling = callers.iter().enumerate().map(|(number, entry)| {
        let addr = entry.callers();
        call_until(addr, number, "/read/1", until)
    });
    futures::future::join_all(calling).await;
    let worst = worst_span(&arrivals.lock().unwrap());
    let allowed = allowed(6.0);
    assert!(worst <= allowed, "{worst} in a span, allowed {allowed}");
}

/// An upstream with a limit still gets a few requests if no agent or seed issues permits.
#[rstest]
#[case::no_seeds(83, &[])]
#[case::gone_seeds(85, &[IpAddr::from([127, 79, 85, 101]), IpAddr::from([127, 79, 85, 102])])]
#[tokio::test]
async fn without_agents(#[case] net: u8, #[case] seeds: &[IpAddr]) {
    let registry = RegistryStandin::default();
    registry.config(directory(1));
    let (addr, arrivals) = upstream(&format!("127.79.{net}.1"), "6").await;
    registry.upstream(Change::Upstream(Box::new(registered("u", addr))));
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let entry = entry_at(&registry, Duration::from_secs(60), any, 9, seeds).await;
    until_readiness(&entry, 200).await;
    let until = Instant::now() + SETTLING_TIME + SPAN;
    let headers = [("x-id", "r1"), ("x-key", "k1")];
    while Instant::now() < until {
        send(entry.callers(), &request("GET", "/read/1", &headers, "")).await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let counted = worst_span(&arrivals.lock().unwrap());
    assert!((1..=6).contains(&counted), "{counted} in a span");
}
