//! Upstreams of regions that may not serve a request.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod lab;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_fleet::{AllowedRegions, Upstream, UpstreamState};
use wagtailreel_route::direct::{Exclusion, Requirements, Restriction, Unavailable, Upstreams};

fn upstream(id: &str, host: u8, data_centre: &str) -> Upstream {
    Upstream {
        id: id.to_owned(),
        started: 0,
        service: "scribes".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, host], 80)),
        data_centre: data_centre.to_owned(),
        slots: 1,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: Vec::new(),
    }
}

/// Returns upstreams of two regions, and one in a data centre of no known region.
fn upstreams(data_centre: &str) -> Upstreams {
    let regions = [("hall", "sierra"), ("quay", "costa")];
    let regions: BTreeMap<String, String> = regions
        .iter()
        .map(|(place, region)| ((*place).to_owned(), (*region).to_owned()))
        .collect();
    let mut upstreams = Upstreams::new(data_centre.to_owned(), regions);
    for (host, place) in [(1, "hall"), (2, "quay"), (3, "attic")] {
        upstreams.update(upstream(place, host, place));
    }
    upstreams
}

fn needs(regions: &[&str]) -> Requirements<'static> {
    Requirements {
        regions: AllowedRegions::new(regions.iter().map(|region| (*region).to_owned())),
        ..Requirements::default()
    }
}

/// Chooses until nothing is left; returns the upstreams in this order, and the last reason.
fn choose_all(
    upstreams: &mut Upstreams,
    regions: &[&str],
    now: Instant,
) -> (Vec<String>, Unavailable) {
    let mut needs = needs(regions);
    let mut chosen = Vec::new();
    loop {
        match upstreams.choose(&needs, now) {
            Ok(pick) => {
                needs.tried.insert(pick.id.clone());
                chosen.push(pick.id);
            }
            Err(reason) => return (chosen, reason),
        }
    }
}

/// Guards against a second attempt in another region, and against an entry whose own data centre the settings
/// do not list.
#[rstest]
#[case::local("hall", &["sierra"], &["hall"], Unavailable::Region)]
#[case::remote("hall", &["costa"], &["quay"], Unavailable::Region)]
#[case::nowhere("hall", &["selva"], &[], Unavailable::Region)]
#[case::unlisted_entry("cellar", &["costa"], &["quay"], Unavailable::Region)]
#[case::region_without_name("cellar", &[""], &[], Unavailable::Region)]
#[case::unrestricted("hall", &[], &["hall", "quay", "attic"], Unavailable::NoUpstream)]
#[case::unlisted_unrestricted("attic", &[], &["attic", "hall", "quay"], Unavailable::NoUpstream)]
fn attempts(
    #[case] data_centre: &str,
    #[case] regions: &[&str],
    #[case] expected: &[&str],
    #[case] reason: Unavailable,
) {
    let mut upstreams = upstreams(data_centre);
    let (mut chosen, why) = choose_all(&mut upstreams, regions, Instant::now());
    // Upstreams of the same distance take turns.
    chosen.sort_by_key(|id| expected.iter().position(|it| it == id));
    assert_eq!(
        (chosen, why),
        (expected.iter().map(|id| (*id).to_owned()).collect(), reason)
    );
}

/// Guards against a restricted request that overflows to another region: the reason is the load of its own.
#[rstest]
fn full_region() {
    let now = Instant::now();
    let mut upstreams = upstreams("hall");
    for _ in 0..2 {
        upstreams.started("quay", 0);
    }
    assert_eq!(
        upstreams.choose(&needs(&["costa"]), now),
        Err(Unavailable::Full)
    );
    let exclusions = upstreams.exclusions(&needs(&["costa"]), now);
    let expected = BTreeMap::from([(Exclusion::Region, 2), (Exclusion::Full, 1)]);
    assert_eq!(exclusions, expected);
}

/// Guards against a retry delay that counts on upstreams of other regions.
#[rstest]
fn retry_estimate() {
    let now = Instant::now();
    let mut upstreams = upstreams("hall");
    let rest = Duration::from_millis(700);
    upstreams.asks_for_rest("quay", 0, rest, now);
    assert_eq!(upstreams.all_rest(&needs(&["costa"]), now), Some(rest));
    assert_eq!(upstreams.all_rest(&needs(&[]), now), None);
    assert_eq!(upstreams.free_in(&needs(&["costa"]), now), Some(rest));
    assert_eq!(upstreams.free_in(&needs(&["sierra"]), now), None);
}

/// Guards against queries to remote agents whose engines may not serve the request.
#[rstest]
fn remote_queries() {
    let now = Instant::now();
    let engine = lab::engine_model(4);
    let upstreams = upstreams("hall");
    let asked = |regions: &[&str]| {
        let needs = Requirements {
            engine: Some(&engine),
            objective: Duration::from_millis(300),
            ..needs(regions)
        };
        upstreams.unconfirmed(&needs, 3, 7, now).len()
    };
    assert_eq!(
        (asked(&[]), asked(&["costa"]), asked(&["sierra"])),
        (2, 1, 0)
    );
}

/// Guards against a request that is sent after the chosen upstream has registered in another region under the
/// same id.
#[rstest]
fn moved_after_choice() {
    let mut upstreams = upstreams("hall");
    let needs = needs(&["sierra"]);
    let pick = upstreams.choose(&needs, Instant::now()).unwrap();
    assert_eq!(upstreams.restriction_of(&pick, &needs), None);
    upstreams.update(upstream("hall", 4, "quay"));
    let restriction = upstreams.restriction_of(&pick, &needs);
    assert_eq!(restriction, Some(Restriction::Region));
}

/// Guards against an evacuation that misses an attempt, the retry estimate, the queries or the check before a
/// request is sent, and against one that outlives its withdrawal.
#[rstest]
fn evacuated() {
    let now = Instant::now();
    let mut upstreams = upstreams("hall");
    let unrestricted = needs(&[]);
    let pick = upstreams.choose(&unrestricted, now).unwrap();
    upstreams.set_evacuated("hall", true);
    let restriction = upstreams.restriction_of(&pick, &unrestricted);
    assert_eq!(restriction, Some(Restriction::Evacuated));
    let (chosen, reason) = choose_all(&mut upstreams, &[], now);
    assert_eq!((chosen.len(), reason), (2, Unavailable::NoUpstream));
    assert!(!chosen.contains(&"hall".to_owned()));
    let exclusions = upstreams.exclusions(&unrestricted, now);
    assert_eq!(exclusions, BTreeMap::from([(Exclusion::Evacuated, 1)]));
    let rest = Duration::from_millis(700);
    for id in ["quay", "attic"] {
        upstreams.asks_for_rest(id, 0, rest, now);
    }
    assert_eq!(upstreams.all_rest(&unrestricted, now), Some(rest));
    upstreams.set_evacuated("hall", false);
    assert_eq!(upstreams.all_rest(&unrestricted, now), None);
    assert_eq!(upstreams.restriction_of(&pick, &unrestricted), None);
}
