//! What upstreams say of themselves holds until their next start.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use common::ready_upstream;
use rstest::rstest;
use wagtailreel_fleet::Upstream;
use wagtailreel_route::direct::{Requirements, Upstreams};

fn upstream(id: &str, started: u64) -> Upstream {
    ready_upstream(id, started, "scribes")
}

fn upstreams() -> Upstreams {
    Upstreams::new("hall".to_owned(), BTreeMap::new())
}

fn is_chosen(known: &mut Upstreams, now: Instant) -> bool {
    known.choose(&Requirements::default(), now).is_ok()
}

#[rstest]
#[case::read_again(1, false)]
#[case::next_start(2, true)]
fn leaving_until_next_start(#[case] started: u64, #[case] is_used: bool) {
    let now = Instant::now();
    let mut known = upstreams();
    known.update(upstream("a", 1));
    assert!(known.says_leaving("a", 1));
    assert!(!known.says_leaving("a", 1), "said before");
    assert!(!is_chosen(&mut known, now));
    known.update(upstream("a", started));
    assert_eq!(is_chosen(&mut known, now), is_used);
    known.remove("a");
    known.update(upstream("a", started));
    assert_eq!(is_chosen(&mut known, now), is_used, "listed again");
}

#[rstest]
fn answer_of_earlier_start() {
    let mut known = upstreams();
    known.update(upstream("a", 2));
    known.says_leaving("a", 1);
    assert!(is_chosen(&mut known, Instant::now()));
    known.says_leaving("a", 2);
    known.says_leaving("a", 1);
    known.remove("a");
    known.update(upstream("a", 2));
    assert!(!is_chosen(&mut known, Instant::now()));
}

#[rstest]
fn many_upstreams() {
    let mut known = upstreams();
    for number in 0..5000 {
        let id = format!("u-{number}");
        known.update(upstream(&id, 1));
        known.says_leaving(&id, 1);
    }
    assert!(
        !is_chosen(&mut known, Instant::now()),
        "the last ones are kept"
    );
}

#[rstest]
#[case::longer_later(1000, 3000, 3000)]
#[case::shorter_later(3000, 1000, 3000)]
fn longest_rest(#[case] first: u64, #[case] second: u64, #[case] kept: u64) {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut known = upstreams();
    known.update(upstream("a", 1));
    for rest in [first, second] {
        known.asks_for_rest("a", 1, Duration::from_millis(rest), now);
    }
    assert!(!is_chosen(&mut known, at(kept - 1)));
    assert_eq!(
        known.all_rest(&Requirements::default(), now),
        Some(Duration::from_millis(kept))
    );
    known.remove("a");
    known.update(upstream("a", 1));
    assert!(!is_chosen(&mut known, at(kept - 1)), "listed again");
    assert!(is_chosen(&mut known, at(kept)));
    known.update(upstream("a", 2));
    assert!(is_chosen(&mut known, now), "the next start does not rest");
}

#[rstest]
fn rest_of_leaving() {
    let now = Instant::now();
    let mut known = upstreams();
    known.update(upstream("a", 1));
    known.asks_for_rest("a", 1, Duration::from_secs(1), now);
    known.says_leaving("a", 1);
    assert!(!is_chosen(&mut known, now + Duration::from_secs(2)));
    assert_eq!(
        known.all_rest(&Requirements::default(), now),
        None,
        "it never accepts again"
    );
}
