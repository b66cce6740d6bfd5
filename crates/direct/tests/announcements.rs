//! Announcements and queries that an entry sends to agents before it sends requests.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, engine_record_in, entry_with_agents, until_status};
use tokio::net::UdpSocket;
use wagtailreel_fleet::{Datagram, LoadStatus, Query, Status};
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// Nonce of queries on behalf of one request.
const REQUEST_QUERY_NONCE: u32 = u32::MAX;

/// The entry that sent a query, and the nonce for the answer.
type Sender = (SocketAddr, u32);

/// Waits for the next query that `matches` accepts.
async fn until_query<F>(socket: &UdpSocket, matches: F) -> Sender
where
    F: Fn(&Query) -> bool,
{
    let mut buf = [0; 2048];
    loop {
        let (len, from) = socket.recv_from(&mut buf).await.unwrap();
        if let Ok(Datagram::Query(query)) = Datagram::from_bytes(&buf[..len])
            && matches(&query)
        {
            return (from, query.nonce);
        }
    }
}

/// Answers a query with a load of `running` requests.
async fn answer_query(socket: &UdpSocket, (entry, nonce): Sender, running: u32) {
    let load = LoadStatus {
        version: Some(1),
        running,
        slowdown: 1.0,
        ..LoadStatus::default()
    };
    let status = Status {
        nonce,
        load: Some(load),
        ..Status::default()
    };
    let datagram = Datagram::Status(status).to_bytes();
    socket.send_to(&datagram, entry).await.unwrap();
}

#[tokio::test]
async fn request_announced() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("hall", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    until_query(&socket, |query| query.prefill_us.is_some()).await;
}

/// Guards against requests to a remote engine that was free at its last load report and is full now: the
/// entry queries its agent first.
#[tokio::test]
async fn remote_agent_queried() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    // The agent has not answered any query yet, so the request goes by the entry's own count.
    until_status(entry.callers(), WRITTEN, 200).await;
    let reached = upstream.seen().len();
    let is_for_request = |query: &Query| query.nonce == REQUEST_QUERY_NONCE;
    let callers = entry.callers();
    let agent = tokio::spawn(async move {
        loop {
            let from = until_query(&socket, is_for_request).await;
            answer_query(&socket, from, 900).await;
        }
    });
    let answer = loop {
        let answer = call(callers, "GET", WRITTEN).await;
        if answer.status != 200 {
            break answer;
        }
    };
    agent.abort();
    assert_eq!(answer.status, 503, "the engine is full by now");
    assert!(answer.header("retry-after").is_some());
    assert!(upstream.seen().len() >= reached);
}

/// A remote engine gets no request if its agent reported a free slot and no longer answers: its link is
/// cut, or full with the traffic of other entries.
#[tokio::test]
async fn remote_agent_silent() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 4000]).await;
    registry.config(directory(1));
    registry.upstream(engine_record_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    let agent = tokio::spawn(async move {
        loop {
            let from = until_query(&socket, |query| {
                !matches!(query.nonce, 0 | REQUEST_QUERY_NONCE)
            })
            .await;
            answer_query(&socket, from, 0).await;
        }
    });
    until_status(entry.callers(), WRITTEN, 200).await;
    let refused = until_status(entry.callers(), WRITTEN, 503);
    let refused = tokio::time::timeout(Duration::from_secs(5), refused).await;
    agent.abort();
    assert!(refused.unwrap().header("retry-after").is_some());
}
