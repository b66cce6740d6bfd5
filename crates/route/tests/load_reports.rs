//! Load reports on remote upstreams.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_fleet::{LoadStatus, LoadedModel, Upstream, UpstreamState};
use wagtailreel_route::direct::{LoadReport, LoadReports, Requirements, Upstreams};

const OLDEST: Duration = Duration::from_millis(700);

fn ip(host: u8) -> IpAddr {
    Ipv4Addr::new(10, 0, 0, host).into()
}

/// Returns the upstreams of a service with one remote engine.
fn service(host: u8) -> Upstreams {
    let mut upstreams = Upstreams::new("hall".to_owned(), BTreeMap::new());
    upstreams.update(Upstream {
        id: format!("e{host}"),
        started: 0,
        service: "scribes".to_owned(),
        addr: SocketAddr::new(ip(host), 80),
        data_centre: "quay".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
    });
    upstreams
}

fn status(version: u64, running: u32) -> LoadStatus {
    LoadStatus {
        version: Some(version),
        running,
        ..LoadStatus::default()
    }
}

fn load_reports(all: &[(u8, u64, Instant)]) -> LoadReports {
    let report = |(host, version, received_at): &(u8, u64, Instant)| {
        let status = status(*version, 3);
        let received_at = *received_at;
        (
            ip(*host),
            LoadReport {
                status,
                received_at,
            },
        )
    };
    all.iter().map(report).collect()
}

/// The engines of another service hold another model, whose versions say nothing about the model of this
/// service.
#[rstest]
fn other_service() {
    let now = Instant::now();
    let all = load_reports(&[(1, 2, now), (2, 9, now)]);
    assert_eq!(service(1).merge_load_reports(&all), Some(2));
    assert_eq!(service(2).merge_load_reports(&all), Some(9));
    assert_eq!(service(3).merge_load_reports(&all), None);
}

#[rstest]
fn relayed() {
    let now = Instant::now();
    let all = load_reports(&[(1, 2, now)]);
    let mut upstreams = service(1);
    upstreams.merge_load_reports(&all);
    assert_eq!(upstreams.load_reports("quay", OLDEST, now + OLDEST), all);
    let later = now + OLDEST + Duration::from_millis(1);
    assert_eq!(
        upstreams.load_reports("quay", OLDEST, later),
        LoadReports::new(),
        "old"
    );
    assert_eq!(
        upstreams.load_reports("hall", OLDEST, now),
        LoadReports::new(),
        "local"
    );
}

/// A later report from the agent itself stays.
#[rstest]
fn own_report_wins() {
    let now = Instant::now();
    let mut upstreams = service(1);
    let received = now + Duration::from_millis(20);
    upstreams.status(ip(1), &status(2, 1), Some(Duration::ZERO), received);
    upstreams.merge_load_reports(&load_reports(&[(1, 2, now)]));
    let known = upstreams.load_reports("quay", OLDEST, received);
    assert_eq!(known.get(&ip(1)).unwrap().status.running, 1);
}

/// Returns the choice for a request that any engine may take, as whether the load is unconfirmed.
fn choose(
    upstreams: &mut Upstreams,
    reported_since: Option<Instant>,
    now: Instant,
) -> Option<bool> {
    let engine = lab::engine_model(4);
    let needs = Requirements {
        model: Some("epitaph"),
        engine: Some(&engine),
        prompt: 100,
        objective: Duration::from_millis(300),
        reported_since,
        ..Requirements::default()
    };
    upstreams
        .choose(&needs, now)
        .ok()
        .map(|pick| pick.is_unconfirmed)
}

/// An engine that has just loaded reports to all entries of all data centres at once. Remote entries poll it
/// before they send requests, and only an answer to the poll confirms its load. Otherwise the requests of all
/// entries arrive at the same moment.
#[rstest]
fn remote_engine_just_loaded() {
    let now = Instant::now();
    let mut upstreams = service(1);
    upstreams.status(ip(1), &status(2, 0), None, now);
    assert_eq!(
        choose(&mut upstreams, None, now),
        Some(true),
        "to be polled"
    );
    let polled_at = now + Duration::from_millis(1);
    let reported_at = polled_at + Duration::from_millis(1);
    upstreams.status(ip(1), &status(2, 0), None, reported_at);
    assert_eq!(
        choose(&mut upstreams, Some(polled_at), reported_at),
        None,
        "unsolicited"
    );
    assert_eq!(upstreams.answers_of(&[ip(1)], polled_at), 0);
    upstreams.answered_by(ip(1), reported_at);
    assert_eq!(upstreams.answers_of(&[ip(1)], polled_at), 1);
    assert_eq!(
        choose(&mut upstreams, Some(polled_at), reported_at),
        Some(false)
    );
}

/// An answer to a regular poll confirms the load too, for a short time.
#[rstest]
fn answer_to_regular_poll() {
    let now = Instant::now();
    let mut upstreams = service(1);
    upstreams.status(ip(1), &status(2, 0), Some(Duration::from_millis(6)), now);
    assert_eq!(choose(&mut upstreams, None, now), Some(false));
    let later = now + Duration::from_millis(100);
    assert_eq!(choose(&mut upstreams, None, later), Some(true));
}
