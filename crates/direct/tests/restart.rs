//! An upstream that restarts with the same id.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use common::registered;
use rstest::rstest;
use wagtailreel_direct::{Pick, Requirements, Unavailable, Upstreams};
use wagtailreel_fleet::{LoadStatus, LoadedModel, Upstream};

const MODEL: &str = "epitaph";

/// Returns the record of an upstream that started at `started`, with weights of version 3.
fn record(started: u64) -> Upstream {
    let mut upstream = registered("a", SocketAddr::from(([10, 0, 0, 1], 80)));
    upstream.started = started;
    upstream.models = vec![LoadedModel {
        model: MODEL.to_owned(),
        version: 3,
        whole: true,
    }];
    upstream
}

fn fleet(started: u64) -> Upstreams {
    let mut fleet = Upstreams::new("hall".to_owned(), BTreeMap::new());
    fleet.update(record(started));
    fleet
}

fn choose(fleet: &mut Upstreams) -> Result<Pick, Unavailable> {
    let needs = Requirements {
        model: Some(MODEL),
        ..Requirements::default()
    };
    fleet.choose(&needs, Instant::now())
}

fn report(started: u64, version: Option<u64>) -> LoadStatus {
    LoadStatus {
        started,
        version,
        running: 3,
        ..LoadStatus::default()
    }
}

fn merge(fleet: &mut Upstreams, report: &LoadStatus) -> bool {
    let ip = SocketAddr::from(([10, 0, 0, 1], 80)).ip();
    fleet.status(ip, report, None, Instant::now())
}

#[rstest]
fn restart_resets_counts() {
    let mut fleet = fleet(100);
    let start = fleet.started("a", 50);
    assert_eq!(choose(&mut fleet).unwrap().in_flight, 1);
    assert!(fleet.update(record(200)), "a restart is a change");
    assert_eq!(choose(&mut fleet).unwrap().in_flight, 0);
    let new = fleet.started("a", 50);
    assert_eq!((start, new), (100, 200));
    fleet.prefilled("a", start, 50);
    fleet.finished("a", start);
    let pick = choose(&mut fleet).unwrap();
    assert_eq!(
        pick.in_flight, 1,
        "the request that ended was sent before the restart"
    );
    assert_eq!(pick.started, 200);
}

#[rstest]
fn restart_drops_weights() {
    let mut fleet = fleet(100);
    assert!(merge(&mut fleet, &report(100, Some(3))));
    let mut empty = record(200);
    empty.models.clear();
    fleet.update(empty);
    assert_eq!(choose(&mut fleet), Err(Unavailable::Weights));
}

#[rstest]
fn agent_reports_restart_first() {
    let mut fleet = fleet(100);
    fleet.started("a", 0);
    assert!(merge(&mut fleet, &report(200, None)));
    assert_eq!(choose(&mut fleet), Err(Unavailable::Weights));
    assert!(
        !fleet.update(record(100)),
        "the record is from before the restart"
    );
    assert_eq!(choose(&mut fleet), Err(Unavailable::Weights));
}

#[rstest]
fn late_report_is_ignored() {
    let mut fleet = fleet(200);
    assert!(!merge(&mut fleet, &report(100, Some(2))));
    let pick = choose(&mut fleet).unwrap();
    assert_eq!((pick.version, pick.in_flight), (Some(3), 0));
}

#[rstest]
fn restart_ends_ejection() {
    let mut fleet = fleet(100);
    for _ in 0..3 {
        fleet.failed("a", Instant::now());
    }
    assert!(choose(&mut fleet).is_err(), "the upstream is ejected");
    fleet.update(record(200));
    assert!(choose(&mut fleet).is_ok());
}
