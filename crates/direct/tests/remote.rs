//! Load reports from remote data centres.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::Router;
use axum::http::Uri;
use common::agent::{answer_queries, load_status};
use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, engine_record_in, entry, entry_with_agents, until_status};
use tokio::net::{TcpListener, UdpSocket};
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_fleet::{LoadStatus, Status};
use wagtailreel_nearby::packing::{Packed, unpack};
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// Maximum wait of a test for the expected event.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts an entry of a remote data centre that records the paths that are read, and reports no load.
async fn remote_entry() -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let paths: Arc<Mutex<Vec<String>>> = Arc::default();
    let log = Arc::clone(&paths);
    let routes = Router::new().fallback(move |uri: Uri| {
        log.lock().unwrap().push(uri.path().to_owned());
        let nothing: Vec<u32> = Vec::new();
        async move { Packed::new(&nothing).answer(Duration::ZERO) }
    });
    tokio::spawn(async move { axum::serve(listener, routes).await.unwrap() });
    (addr, paths)
}

/// Starts an agent that names `entry` as the entry that queries it, with an engine that holds its weights.
async fn agent_naming(entry: SocketAddr) -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    answer_queries(socket, move |_| Status {
        load: Some(LoadStatus {
            slowdown: 1.0,
            ..load_status(1, 3)
        }),
        entries: vec![entry],
        ..Status::default()
    });
    port
}

/// An entry reads the load of a remote data centre from an entry there, and never reads the registry
/// through that entry. If the remote entry has no load reports, the reader goes on querying the agents.
#[tokio::test]
async fn remote_entry_read() {
    let registry = RegistryStandin::default();
    let (remote, paths) = remote_entry().await;
    let port = agent_naming(remote).await;
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let twice = async {
        while paths.lock().unwrap().len() < 2 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, twice).await.unwrap();
    let paths = paths.lock().unwrap().clone();
    assert!(
        paths.iter().all(|path| path == "/v1/load/quay"),
        "{paths:?}"
    );
    assert_eq!(call(entry.callers(), "GET", WRITTEN).await.status, 200);
}

/// An entry answers a read of another entry with the load of the engines of its own data centre.
#[tokio::test]
async fn load_answered() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = socket.local_addr().unwrap();
    let port = agent_naming(own).await;
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("hall", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    let client = HttpClient::new();
    let url = format!("http://{}/v1/load/hall", entry.neighbours_addr());
    let answered = async {
        loop {
            let req = http::Request::get(&url).body(Body::default()).unwrap();
            let answer = client.request(req).await.unwrap();
            let (head, body) = answer.into_parts();
            let body = collect_body(&url, body, 1 << 16, TIMEOUT).await.unwrap();
            let reports: Vec<LoadStatus> = unpack(&head.headers, &body).unwrap();
            if let Some(report) = reports.into_iter().next() {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let report = tokio::time::timeout(TIMEOUT, answered).await.unwrap();
    assert_eq!((report.version, report.running), (Some(1), 3));
}

/// An entry without any load report still serves requests.
#[tokio::test]
async fn no_load_reports() {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("quay", &upstream));
    let entry = entry(&registry, Duration::from_secs(4)).await;
    until_status(entry.callers(), WRITTEN, 200).await;
}
