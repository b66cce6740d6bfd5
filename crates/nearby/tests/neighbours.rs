//! Selection of the entry that reads for the others.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::BootTime;
use wagtailreel_nearby::Neighbours;

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7700))
}

/// Returns the neighbour that is queried first.
fn first(neighbours: &Neighbours, now: BootTime) -> Option<SocketAddr> {
    neighbours.candidates(now).first().copied()
}

#[rstest]
#[case::first_itself(1, &[2, 3], None)]
#[case::another_first(3, &[1, 2], Some(1))]
#[case::only_itself(2, &[2], None)]
#[case::no_neighbours(2, &[], None)]
fn first_address(#[case] own: u8, #[case] named: &[u8], #[case] reader: Option<u8>) {
    let neighbours = Neighbours::new(addr(own));
    let named: Vec<SocketAddr> = named.iter().map(|host| addr(*host)).collect();
    neighbours.note_entries(&named, at(0));
    assert_eq!(first(&neighbours, at(100)), reader.map(addr));
}

#[rstest]
fn named_long_ago() {
    let neighbours = Neighbours::new(addr(9));
    neighbours.note_entries(&[addr(1)], at(0));
    assert_eq!(first(&neighbours, at(400)), Some(addr(1)));
    assert_eq!(first(&neighbours, at(600)), None);
}

#[rstest]
fn avoided_neighbour() {
    let neighbours = Neighbours::new(addr(9));
    neighbours.note_entries(&[addr(1), addr(2)], at(0));
    assert!(
        neighbours.note_silent(addr(1), at(0)),
        "the first report is new"
    );
    assert!(!neighbours.note_silent(addr(1), at(10)));
    assert_eq!(first(&neighbours, at(100)), Some(addr(2)));
    neighbours.note_entries(&[addr(1), addr(2)], at(3200));
    assert_eq!(
        first(&neighbours, at(3200)),
        Some(addr(1)),
        "the neighbour is queried again"
    );
}

#[rstest]
fn unknown_own_address() {
    let neighbours = Neighbours::new("0.0.0.0:7700".parse().unwrap());
    neighbours.note_entries(&[addr(1)], at(0));
    assert_eq!(first(&neighbours, at(0)), None);
}

/// A neighbour that is behind is queried only if it ranks first, and others are queried after it.
#[rstest]
fn behind_neighbour() {
    let neighbours = Neighbours::new(addr(9));
    let named: Vec<SocketAddr> = (1..9).map(addr).collect();
    neighbours.note_entries(&named, at(0));
    assert_eq!(neighbours.candidates(at(0)), [addr(1), addr(2), addr(3)]);
    for host in [1, 2, 3] {
        assert!(
            neighbours.note_behind(addr(host), at(0)),
            "the first report is new"
        );
    }
    assert!(!neighbours.note_behind(addr(1), at(10)));
    assert_eq!(neighbours.candidates(at(20)), [addr(1), addr(4), addr(5)]);
    assert_eq!(
        neighbours.rank(at(20)),
        8,
        "neighbours that are behind still count"
    );
    neighbours.note_entries(&named, at(3100));
    assert_eq!(neighbours.candidates(at(3100)), [addr(1), addr(2), addr(3)]);
}
