//! Datagrams between entries and agents.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use rstest::rstest;
use wagtailreel_fleet::{Datagram, Query, Status};

fn query(admission_permille: Option<u16>) -> Datagram {
    Datagram::Query(Query {
        nonce: 7,
        admission_permille,
        ..Query::default()
    })
}

fn status(admission_permille: Option<u16>) -> Datagram {
    Datagram::Status(Status {
        nonce: 7,
        admission_permille,
        ..Status::default()
    })
}

/// Where admission control is off, datagrams are the same bytes as before it existed, and processes that do not
/// know the field yet are understood.
#[rstest]
#[case::query(query(None), r#"{"Q":{"n":7}}"#)]
#[case::query_with_level(query(Some(740)), r#"{"Q":{"n":7,"al":740}}"#)]
#[case::status(status(None), r#"{"S":{"n":7}}"#)]
#[case::status_with_level(status(Some(740)), r#"{"S":{"n":7,"al":740}}"#)]
fn admission_level(#[case] datagram: Datagram, #[case] text: &str) {
    assert_eq!(String::from_utf8(datagram.to_bytes()).unwrap(), text);
    assert_eq!(Datagram::from_bytes(text.as_bytes()).unwrap(), datagram);
}
