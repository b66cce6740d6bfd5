//! Agents tell entries of their neighbours.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;

use common::Fleet;
use tokio::net::UdpSocket;
use wagtailreel_fleet::{Datagram, Query, Status};

/// Asks the fleet's first agent from a socket of its own.
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
async fn first_entries() {
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

/// An entry of another data centre is told whom to ask for all engines here, and is nobody's neighbour.
#[tokio::test]
async fn entry_far_away() {
    let fleet = Fleet::start(42, 1, Some(1)).await;
    let (near, near_addr) = entry().await;
    let (far, _) = entry().await;
    ask(&fleet, &near, true).await;
    assert_eq!(ask(&fleet, &far, false).await.entries, vec![near_addr]);
    assert_eq!(ask(&fleet, &far, false).await.entries, vec![near_addr]);
    assert_eq!(ask(&fleet, &near, true).await.entries, vec![near_addr]);
}

/// Entries that choose at the same moment must not all choose the same engine.
#[tokio::test]
async fn places_told() {
    let fleet = Fleet::start(43, 1, Some(1)).await;
    let ((sender, _), (other, _)) = (entry().await, entry().await);
    ask(&fleet, &sender, true).await;
    let before = ask(&fleet, &other, true).await.load.unwrap();
    let taken = Query {
        prefill_us: Some(90_000),
        ..Query::default()
    };
    let datagram = Datagram::Query(taken).to_bytes();
    sender.send_to(&datagram, fleet.addr(0)).await.unwrap();
    let mut buf = [0; 4096];
    let (len, _) = other.recv_from(&mut buf).await.unwrap();
    let Datagram::Status(told) = Datagram::from_bytes(&buf[..len]).unwrap() else {
        panic!("no status");
    };
    let load = told.load.unwrap();
    assert_eq!(told.nonce, 0, "nobody asked");
    assert_eq!(load.queued, before.queued + 1);
    assert!((80..=90).contains(&load.prefill_ms), "{load:?}");
}
