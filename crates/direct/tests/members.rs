//! Choice of the upstream for a request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_direct::{LoadSource, Requirements, Unavailable, Upstreams};
use wagtailreel_fleet::{LoadStatus, LoadedModel, Upstream, UpstreamState};

const MODEL: &str = "epitaph";

fn addr(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 80))
}

fn ip(host: u8) -> IpAddr {
    addr(host).ip()
}

fn upstream(id: &str, host: u8, data_centre: &str) -> Upstream {
    Upstream {
        id: id.to_owned(),
        started: 0,
        service: "scribes".to_owned(),
        addr: addr(host),
        data_centre: data_centre.to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: vec![LoadedModel {
            model: MODEL.to_owned(),
            version: 1,
            whole: true,
        }],
    }
}

fn fleet(all: &[Upstream]) -> Upstreams {
    let regions = [("hall", "sierra"), ("depot", "sierra"), ("quay", "costa")];
    let regions: BTreeMap<String, String> = regions
        .iter()
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    let mut fleet = Upstreams::new("hall".to_owned(), regions);
    for upstream in all {
        fleet.update(upstream.clone());
    }
    fleet
}

fn choose(fleet: &mut Upstreams, now: Instant) -> Result<String, Unavailable> {
    fleet
        .choose(&Requirements::default(), now)
        .map(|pick| pick.id)
}

fn status(running: u32) -> LoadStatus {
    LoadStatus {
        version: Some(1),
        running,
        ..LoadStatus::default()
    }
}

#[rstest]
fn local_data_centre_first() {
    let now = Instant::now();
    let mut fleet = fleet(&[
        upstream("far", 1, "quay"),
        upstream("near", 2, "depot"),
        upstream("home", 3, "hall"),
    ]);
    for expected in ["home", "near", "far"] {
        for _ in 0..4 {
            assert_eq!(choose(&mut fleet, now).as_deref(), Ok(expected));
            fleet.started(expected, 0);
        }
    }
    assert!(
        fleet.choose(&Requirements::default(), now).is_ok(),
        "one request may wait at each"
    );
}

#[rstest]
fn full_fleet() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    for _ in 0..5 {
        fleet.started("a", 0);
    }
    assert_eq!(choose(&mut fleet, now), Err(Unavailable::Full));
    fleet.finished("a", 0);
    assert!(choose(&mut fleet, now).is_ok());
}

#[rstest]
fn least_loaded() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall"), upstream("b", 2, "hall")]);
    fleet.status(ip(1), &status(3), None, now);
    fleet.status(ip(2), &status(1), None, now);
    let pick = fleet.choose(&Requirements::default(), now).unwrap();
    assert_eq!((pick.id.as_str(), pick.in_flight), ("b", 1));
    assert_eq!(pick.source, LoadSource::Agent);
    let later = now + Duration::from_secs(2);
    let pick = fleet.choose(&Requirements::default(), later).unwrap();
    assert_eq!(pick.source, LoadSource::Own, "old reports are not used");
}

#[rstest]
fn draining_upstream() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    let mut leaving = upstream("a", 1, "hall");
    leaving.state = UpstreamState::Draining;
    assert!(fleet.may_send("a"));
    assert!(fleet.update(leaving));
    assert!(
        !fleet.may_send("a"),
        "also if a request has already chosen the upstream"
    );
    assert_eq!(choose(&mut fleet, now), Err(Unavailable::NoUpstream));
}

#[rstest]
fn removed_upstream() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    fleet.started("a", 0);
    assert!(fleet.remove("a"));
    assert!(!fleet.may_send("a"));
    assert_eq!(choose(&mut fleet, now), Err(Unavailable::NoUpstream));
    fleet.finished("a", 0);
    assert!(
        !fleet.remove("a"),
        "the upstream was removed with its last request"
    );
}

#[rstest]
fn reused_address() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("old", 1, "hall"), upstream("new", 1, "hall")]);
    assert_eq!(choose(&mut fleet, now).as_deref(), Ok("new"));
    assert!(!fleet.may_send("old"));
}

#[rstest]
#[case::new_enough(Some(1), Ok("a"))]
#[case::any_version(None, Ok("a"))]
#[case::too_old(Some(2), Err(Unavailable::Weights))]
fn weights(#[case] least: Option<u64>, #[case] expected: Result<&str, Unavailable>) {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    let needs = Requirements {
        model: Some(MODEL),
        least_version: least,
        ..Requirements::default()
    };
    let chosen = fleet.choose(&needs, now).map(|pick| pick.id);
    assert_eq!(chosen, expected.map(ToOwned::to_owned));
}

#[rstest]
fn empty_engine() {
    let now = Instant::now();
    let mut empty = upstream("a", 1, "hall");
    empty.models.clear();
    let mut fleet = fleet(&[empty]);
    let needs = Requirements {
        model: Some(MODEL),
        ..Requirements::default()
    };
    assert_eq!(fleet.choose(&needs, now), Err(Unavailable::Weights));
    fleet.status(ip(1), &status(0), None, now);
    assert!(
        fleet.choose(&needs, now).is_ok(),
        "the agent reports weights before the registry does"
    );
}

#[rstest]
fn switching_engine() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    let switching = LoadStatus {
        is_switching: true,
        ..status(2)
    };
    fleet.status(ip(1), &switching, None, now);
    assert_eq!(choose(&mut fleet, now), Err(Unavailable::NoUpstream));
    let later = now + Duration::from_secs(2);
    assert!(
        choose(&mut fleet, later).is_ok(),
        "an old report is not used for ever"
    );
}

#[rstest]
fn failing_upstream() {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    assert_eq!(
        fleet.failed("a", now),
        None,
        "a single failure does not eject"
    );
    let ejected_for = fleet.failed("a", now).unwrap();
    assert_eq!(choose(&mut fleet, now), Err(Unavailable::NoUpstream));
    assert!(
        choose(&mut fleet, now + ejected_for).is_ok(),
        "the upstream is chosen again after the ejection"
    );
    let longer = fleet.failed("a", now + ejected_for).unwrap();
    assert!(longer > ejected_for);
    fleet.answered("a");
    assert!(choose(&mut fleet, now + ejected_for).is_ok());
}

#[rstest]
#[case::slow_link(true)]
#[case::silent_agent(false)]
fn suspect_link(#[case] is_slow: bool) {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("bad", 1, "hall"), upstream("far", 2, "quay")]);
    let later = now + Duration::from_millis(800);
    if is_slow {
        let round_trip = Some(Duration::from_millis(400));
        fleet.status(ip(1), &status(0), round_trip, later);
    } else {
        fleet.asked(ip(1), now);
    }
    assert_eq!(
        choose(&mut fleet, later).as_deref(),
        Ok("far"),
        "a remote upstream is preferred to a suspect link"
    );
    for _ in 0..5 {
        fleet.started("far", 0);
    }
    for _ in 0..2 {
        assert_eq!(
            choose(&mut fleet, later).as_deref(),
            Ok("bad"),
            "a suspect link is preferred to a refusal"
        );
        fleet.started("bad", 0);
    }
    assert_eq!(
        choose(&mut fleet, later),
        Err(Unavailable::Full),
        "a suspect link gets few requests"
    );
    fleet.status(ip(1), &status(2), Some(Duration::from_millis(2)), later);
    assert_eq!(
        choose(&mut fleet, later).as_deref(),
        Ok("bad"),
        "the link is no longer suspect"
    );
}

#[rstest]
fn prefill_load() {
    let now = Instant::now();
    let mut fleet = fleet(&[
        upstream("a", 1, "hall"),
        upstream("b", 2, "hall"),
        upstream("far", 3, "quay"),
    ]);
    let engine = common::engine_model();
    let needs = Requirements {
        engine: Some(&engine),
        objective: Duration::from_millis(300),
        ..Requirements::default()
    };
    fleet.started("a", 1500);
    fleet.started("b", 0);
    fleet.started("b", 0);
    let choose = |fleet: &mut Upstreams| fleet.choose(&needs, now).unwrap().id;
    assert_eq!(
        choose(&mut fleet),
        "b",
        "more requests, but no prompts to prefill"
    );
    fleet.started("b", 4000);
    fleet.started("a", 2500);
    assert_eq!(
        choose(&mut fleet),
        "far",
        "a remote upstream is preferred to a queue of long prompts"
    );
    fleet.prefilled("a", 0, 4000);
    assert_eq!(choose(&mut fleet), "a");
}

/// Guards against an engine with a silent agent that counts as idle while all others are full.
#[rstest]
#[case::others_full(4, false)]
#[case::others_idle(1, true)]
fn silent_engine(#[case] running: u32, #[case] is_chosen: bool) {
    let now = Instant::now();
    let mut fleet = fleet(&[
        upstream("a", 1, "hall"),
        upstream("b", 2, "hall"),
        upstream("silent", 3, "hall"),
    ]);
    let engine = common::engine_model();
    let needs = Requirements {
        engine: Some(&engine),
        objective: Duration::from_millis(200),
        tried: ["a", "b"].map(ToOwned::to_owned).into(),
        ..Requirements::default()
    };
    for host in [1, 2] {
        fleet.status(ip(host), &status(running), None, now);
    }
    let chosen = fleet.choose(&needs, now);
    assert_eq!(chosen.is_ok(), is_chosen, "{chosen:?}");
}

/// Guards against refusals of long prompts at all full engines: a full engine accepts a long prompt a
/// little beyond the objective. With the prompt's whole length counted, each full engine would refuse it.
#[rstest]
#[case::usual(100)]
#[case::long(3000)]
fn long_prompt(#[case] prompt: u32) {
    let now = Instant::now();
    let mut fleet = fleet(&[upstream("a", 1, "hall")]);
    let engine = common::engine_model();
    let needs = Requirements {
        engine: Some(&engine),
        prompt,
        objective: Duration::from_millis(300),
        ..Requirements::default()
    };
    fleet.status(ip(1), &status(4), None, now);
    let chosen = fleet.choose(&needs, now);
    assert!(chosen.is_ok(), "{chosen:?}");
}
