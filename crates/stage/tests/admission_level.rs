//! Agents tell entries the mean of the admission levels that they heard of.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::Fleet;
use tokio::net::UdpSocket;
use wagtailreel_fleet::Query;

/// Without the mean, entries of busier data centres refuse more. A query without a level gets none.
#[tokio::test]
async fn mean_of_levels() {
    let fleet = Fleet::start(45, 1, Some(1)).await;
    let one = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let other = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let level = |admission_permille| Query {
        admission_permille,
        ..Query::default()
    };
    let addr = fleet.addr(0);
    let first = common::ask(&one, addr, level(Some(400))).await;
    assert_eq!(first.admission_permille, Some(400));
    let second = common::ask(&other, addr, level(Some(800))).await;
    assert_eq!(second.admission_permille, Some(600));
    let without = common::ask(&one, addr, level(None)).await;
    assert_eq!(without.admission_permille, None);
}
