//! Upstreams of a service with a warm-up rate get no more requests than a cold one tolerates.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use common::agent::{IdleAgent, free_port};
use common::caller::{request, send};
use common::{directory, entry_at, registered, until_readiness};
use rstest::rstest;
use tokio::net::TcpListener;
use wagtailreel_fleet::{Change, Directory, LoadedModel, ServiceSpec, Upstream};
use wagtailreel_standins::RegistryStandin;

const ENTRIES: u8 = 6;
const SPAN: Duration = Duration::from_secs(4);

/// Time after which agents that have just started issue permits.
const AGENT_START: Duration = Duration::from_millis(1300);

/// Requests per second that a cold engine tolerates.
const RATE: f64 = 17.0;

/// Requests that it may get in any one second: 17 x 1.5 + 5, rounded down.
const BOUND: usize = 30;

type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Returns the configuration of the tests with the warm-up rate `per_second` for the engines.
fn with_warmup(per_second: f64) -> Directory {
    let directory = directory(1);
    let mut services: Vec<ServiceSpec> = directory.services().cloned().collect();
    for service in services.iter_mut().filter(|it| it.engine.is_some()) {
        service.warmup_per_second = per_second;
    }
    directory.with_services(services)
}

/// Starts an engine, which may state a limit of its own.
async fn engine(
    registry: &RegistryStandin,
    id: &str,
    ip: IpAddr,
    limit: Option<&'static str>,
) -> Arrivals {
    let listener = TcpListener::bind((ip, 0)).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let arrivals = Arrivals::default();
    let seen = Arc::clone(&arrivals);
    let answer = move || async move {
        seen.lock().unwrap().push(Instant::now());
        let mut answer = axum::response::Response::new("id: 1\ndata: piece 1\n\n".to_owned());
        let headers = answer.headers_mut();
        headers.insert("content-type", "text/event-stream".parse().unwrap());
        if let Some(limit) = limit {
            headers.insert("x-limit", limit.parse().unwrap());
        }
        answer
    };
    let routes = Router::new().fallback(answer);
    tokio::spawn(async move { axum::serve(listener, routes).await.unwrap() });
    registry.upstream(Change::Upstream(Box::new(Upstream {
        service: "writers".to_owned(),
        slots: 64,
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
        ..registered(id, addr)
    })));
    arrivals
}

/// Sends requests to some entries, each as fast as it answers, for the span.
async fn call(registry: &RegistryStandin, net: u8, port: u16) {
    let mut entries = Vec::new();
    for number in 0..ENTRIES {
        let own = SocketAddr::from(([127, 80, net, 101 + number], port));
        let entry = entry_at(registry, Duration::from_secs(60), own, port, &[]).await;
        until_readiness(&entry, 200).await;
        entries.push(entry);
    }
    let until = Instant::now() + SPAN;
    let calling = entries.iter().enumerate().map(async |(number, entry)| {
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            let id = format!("r{number}-{count}");
            let headers = [("x-id", &*id), ("x-key", "k1")];
            send(entry.callers(), &request("GET", "/written/1", &headers, "")).await;
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    futures::future::join_all(calling).await;
}

/// Returns the largest number of arrivals in any one second.
fn busiest_second(arrivals: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let to = *from + Duration::from_secs(1);
        let within = arrivals.iter().filter(|at| *at >= from && **at < to);
        within.count()
    };
    arrivals.iter().map(within).max().unwrap_or_default()
}

fn ip(net: u8, number: u8) -> IpAddr {
    IpAddr::from([127, 80, net, number])
}

/// Guards against more requests than a cold engine tolerates, from all entries together, and against one that
/// is left idle. The agent of the second engine loses every fifth datagram, and that of the third does not
/// answer all entries.
#[rstest]
#[tokio::test]
async fn sum_over_entries() {
    let registry = RegistryStandin::default();
    registry.config(with_warmup(RATE));
    let port = free_port().await;
    IdleAgent::start(&ip(1, 1).to_string(), port).await;
    IdleAgent::start_lossy(&ip(1, 2).to_string(), port).await;
    let cut_off = vec![ip(1, 101), ip(1, 102)];
    IdleAgent::start_partitioned(&ip(1, 3).to_string(), port, cut_off).await;
    let mut engines = Vec::new();
    for number in 1..=3 {
        engines.push(engine(&registry, &format!("u-{number}"), ip(1, number), None).await);
    }
    tokio::time::sleep(AGENT_START).await;
    call(&registry, 1, port).await;
    for (number, arrivals) in engines.into_iter().enumerate() {
        let arrivals = arrivals.lock().unwrap();
        let busiest = busiest_second(&arrivals);
        assert!(busiest <= BOUND, "{busiest} of {BOUND} in one second");
        let rate = arrivals.len() as f64 / SPAN.as_secs_f64();
        assert!(
            rate >= 0.8 * RATE,
            "engine {number}: {rate} of {RATE} requests a second"
        );
    }
}

/// A lower limit that the engine states itself holds as well.
#[rstest]
#[tokio::test]
async fn named_limit() {
    let registry = RegistryStandin::default();
    registry.config(with_warmup(RATE));
    let port = free_port().await;
    IdleAgent::start(&ip(2, 1).to_string(), port).await;
    let arrivals = engine(&registry, "u", ip(2, 1), Some("4")).await;
    tokio::time::sleep(AGENT_START).await;
    call(&registry, 2, port).await;
    let arrivals = arrivals.lock().unwrap();
    // The entries learn of the limit from the first answers.
    let first = arrivals[0] + Duration::from_secs(1);
    let later = arrivals.iter().filter(|at| **at > first).count();
    assert!((8..=17).contains(&later), "{later} in three seconds");
}

/// An agent that has just started issues no permits, since the one before may have issued all of them.
#[rstest]
#[tokio::test]
async fn agent_restarted() {
    let registry = RegistryStandin::default();
    registry.config(with_warmup(RATE));
    let port = free_port().await;
    let arrivals = engine(&registry, "u", ip(3, 1), None).await;
    let started = Instant::now();
    IdleAgent::start(&ip(3, 1).to_string(), port).await;
    call(&registry, 3, port).await;
    let first = arrivals.lock().unwrap()[0];
    let wait = first.duration_since(started);
    assert!(wait >= Duration::from_secs(1), "after {wait:?}");
}

/// Services without a warm-up rate are not limited.
#[rstest]
#[tokio::test]
async fn no_rate() {
    let registry = RegistryStandin::default();
    registry.config(with_warmup(0.0));
    let port = free_port().await;
    IdleAgent::start(&ip(4, 1).to_string(), port).await;
    let arrivals = engine(&registry, "u", ip(4, 1), None).await;
    call(&registry, 4, port).await;
    let busiest = busiest_second(&arrivals.lock().unwrap());
    assert!(busiest > 2 * BOUND, "{busiest} in one second");
}
