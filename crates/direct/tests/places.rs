//! What an entry tells agents, and asks them, of the requests that it is about to send.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::caller::call;
use common::upstream::{Act, TestUpstream};
use common::{directory, entry_with_agents, until_status, writer_in};
use tokio::net::UdpSocket;
use wagtailreel_fleet::{Datagram, LoadStatus, Query, Status};
use wagtailreel_standins::RegistryStandin;

const WRITTEN: &str = "/written/1";

/// Nonce of questions that are asked for one request.
const OUT_OF_TURN: u32 = u32::MAX;

/// Who asked, and the nonce that the answer is to carry.
type Asker = (SocketAddr, u32);

/// Waits for the next question that `is_it` looks for.
async fn until_asked<F>(socket: &UdpSocket, is_it: F) -> Asker
where
    F: Fn(&Query) -> bool,
{
    let mut buf = [0; 2048];
    loop {
        let (len, from) = socket.recv_from(&mut buf).await.unwrap();
        if let Ok(Datagram::Query(query)) = Datagram::from_bytes(&buf[..len])
            && is_it(&query)
        {
            return (from, query.nonce);
        }
    }
}

/// Answers a question: the engine works on `running` requests.
async fn tell(socket: &UdpSocket, (entry, nonce): Asker, running: u32) {
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
    registry.upstream(writer_in("hall", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    until_status(entry.callers(), WRITTEN, 200).await;
    until_asked(&socket, |query| query.prefill_us.is_some()).await;
}

/// Words from abroad are old: an engine that was free then may be full.
#[tokio::test]
async fn asked_abroad() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 1000]).await;
    registry.config(directory(1));
    registry.upstream(writer_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    // Without an answer the request goes by what is known.
    until_status(entry.callers(), WRITTEN, 200).await;
    let reached = upstream.seen().len();
    let is_out_of_turn = |query: &Query| query.nonce == OUT_OF_TURN;
    let callers = entry.callers();
    let agent = tokio::spawn(async move {
        loop {
            let from = until_asked(&socket, is_out_of_turn).await;
            tell(&socket, from, 900).await;
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

/// An engine abroad whose agent told of room, and no longer answers, gets no request: its link is cut,
/// or full of what others send to it.
#[tokio::test]
async fn no_answer_abroad() {
    let registry = RegistryStandin::default();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let port = socket.local_addr().unwrap().port();
    let upstream = TestUpstream::start(&vec![Act::Events(1, 1); 4000]).await;
    registry.config(directory(1));
    registry.upstream(writer_in("quay", &upstream));
    let entry = entry_with_agents(&registry, Duration::from_secs(4), port).await;
    let agent = tokio::spawn(async move {
        loop {
            let from = until_asked(&socket, |query| !matches!(query.nonce, 0 | OUT_OF_TURN)).await;
            tell(&socket, from, 0).await;
        }
    });
    until_status(entry.callers(), WRITTEN, 200).await;
    let refused = until_status(entry.callers(), WRITTEN, 503);
    let refused = tokio::time::timeout(Duration::from_secs(5), refused).await;
    agent.abort();
    assert!(refused.unwrap().header("retry-after").is_some());
}
