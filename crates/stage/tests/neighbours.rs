//! Agents tell entries which other entries of the data centre are active.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;

use common::Fleet;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{Datagram, Query, Status};

/// Polls the fleet's first agent as an entry does, and returns the answer.
async fn ask(fleet: &Fleet, socket: &UdpSocket, is_local: bool) -> Status {
    let query = Query {
        is_local,
        ..Query::default()
    };
    common::ask(socket, fleet.addr(0), query).await
}

async fn entry() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let addr = socket.local_addr().unwrap();
    (socket, addr)
}

#[tokio::test]
async fn first_entries_are_listed() {
    let fleet = Fleet::start(41, 1, Some(1)).await;
    let mut entries = Vec::new();
    for _ in 0..3 {
        entries.push(entry().await);
    }
    let mut addrs: Vec<SocketAddr> = entries.iter().map(|(_, addr)| *addr).collect();
    addrs.sort();
    for (socket, _) in &entries {
        ask(&fleet, socket, true).await;
    }
    let status = ask(&fleet, &entries[0].0, true).await;
    assert_eq!(status.entries, addrs[..2].to_vec());
}

/// An entry of another data centre gets the list of entries, through which it can learn of all engines
/// here, but is not listed itself.
#[tokio::test]
async fn remote_entry_is_not_listed() {
    let fleet = Fleet::start(42, 1, Some(1)).await;
    let (local, local_addr) = entry().await;
    let (remote, _) = entry().await;
    ask(&fleet, &local, true).await;
    assert_eq!(ask(&fleet, &remote, false).await.entries, vec![local_addr]);
    assert_eq!(ask(&fleet, &remote, false).await.entries, vec![local_addr]);
    assert_eq!(ask(&fleet, &local, true).await.entries, vec![local_addr]);
}

/// A request that one entry announces is pushed to the other entries. Otherwise entries that choose at
/// the same moment all choose the same engine.
#[tokio::test]
async fn announced_request_is_pushed() {
    let fleet = Fleet::start(43, 1, Some(1)).await;
    let ((sender, _), (other, _)) = (entry().await, entry().await);
    ask(&fleet, &sender, true).await;
    let before = ask(&fleet, &other, true).await.load.unwrap();
    let announcement = Query {
        prefill_us: Some(90_000),
        ..Query::default()
    };
    let datagram = Datagram::Query(announcement).to_bytes();
    sender.send_to(&datagram, fleet.addr(0)).await.unwrap();
    let mut buf = [0; 4096];
    let (len, _) = other.recv_from(&mut buf).await.unwrap();
    let Datagram::Status(reported) = Datagram::from_bytes(&buf[..len]).unwrap() else {
        panic!("no status");
    };
    let load = reported.load.unwrap();
    assert_eq!(reported.nonce, 0, "a push answers no query");
    assert_eq!(load.queued, before.queued + 1);
    assert!((80..=90).contains(&load.prefill_ms), "{load:?}");
}
