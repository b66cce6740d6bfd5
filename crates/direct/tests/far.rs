//! Words of load from other data centres.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::http::Uri;
use common::agent::{answer_questions, holds};
use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, entry, entry_with_agents, until_status, writer_in};
use tokio::net::{TcpListener, UdpSocket};
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_fleet::{LoadStatus, Status};
use wagtailreel_nearby::packing::{Packed, unpack};
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// How long a test waits at most for what it waits for.
const PATIENCE: Duration = Duration::from_secs(10);

/// An entry of another data centre that notes what it is asked, and tells nothing.
async fn entry_abroad() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let asked: Arc<Mutex<Vec<String>>> = Arc::default();
    let log = Arc::clone(&asked);
    let routes = Router::new().fallback(move |uri: Uri| {
        log.lock().unwrap().push(uri.path().to_owned());
        let nothing: Vec<u32> = Vec::new();
        async move { Packed::new(&nothing).answer(Duration::ZERO) }
    });
    tokio::spawn(async move { axum::serve(listener, routes).await.unwrap() });
    (addr, asked)
}

/// Answers questions as an agent that is asked by `entry`, with an engine that holds its weights.
async fn agent_asked_by(entry: SocketAddr) -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    answer_questions(socket, move |_| Status {
        load: Some(LoadStatus {
            slowdown: 1.0,
            ..holds(1, 3)
        }),
        entries: vec![entry],
        ..Status::default()
    });
    port
}

/// An entry asks one of another data centre for the load there, and never reads the registry through it;
/// where that one knows nothing, it goes on asking the agents.
#[tokio::test]
async fn asked_for_load() {
    let registry = RegistryStandin::default();
    let (abroad, asked) = entry_abroad().await;
    let port = agent_asked_by(abroad).await;
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(writer_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let twice = async {
        while asked.lock().unwrap().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(PATIENCE, twice).await.unwrap();
    let asked = asked.lock().unwrap().clone();
    assert!(
        asked.iter().all(|path| path == "/v1/load/quay"),
        "{asked:?}"
    );
    assert_eq!(call(entry.callers(), "GET", WRITTEN).await.status, 200);
}

/// An entry tells another of the engines of its data centre.
#[tokio::test]
async fn told_load() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = socket.local_addr().unwrap();
    let port = agent_asked_by(own).await;
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(writer_in("hall", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let client = HttpClient::new();
    let url = format!("http://{}/v1/load/hall", entry.neighbours_read_at());
    let told = async {
        loop {
            let req = http::Request::get(&url).body(Body::default()).unwrap();
            let answer = client.request(req).await.unwrap();
            let (head, body) = answer.into_parts();
            let body = collect_body(&url, body, 1 << 16, PATIENCE).await.unwrap();
            let words: Vec<LoadStatus> = unpack(&head.headers, &body).unwrap();
            if let Some(word) = words.into_iter().next() {
                return word;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let word = tokio::time::timeout(PATIENCE, told).await.unwrap();
    assert_eq!((word.version, word.running), (Some(1), 3));
}

/// Without a word from anywhere an entry serves as before.
#[tokio::test]
async fn nobody_tells() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(writer_in("quay", &upstream));
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_status(entry.callers(), WRITTEN, 200).await;
}
