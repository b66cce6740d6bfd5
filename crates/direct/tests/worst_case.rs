//! The time limits of a data centre's readers, summed up, against the bounds on changes.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_direct::{follow_settings, follow_upstreams};
use wagtailreel_nearby::{SharedRegistryConfig, WorstCase};

/// Bound on a change while the registry is sound.
const CHANGE_BOUND: Duration = Duration::from_secs(2);

/// Bound on a change after the end of an outage.
const OUTAGE_BOUND: Duration = Duration::from_secs(3);

/// Time between two reads of the upstreams for `CHANGE_BOUND`.
const READ_INTERVAL: Duration = Duration::from_millis(700);

fn settings() -> WorstCase {
    WorstCase::new(
        SharedRegistryConfig::new(CHANGE_BOUND, READ_INTERVAL),
        follow_settings(),
    )
}

fn upstreams() -> WorstCase {
    WorstCase::new(
        SharedRegistryConfig::new(CHANGE_BOUND, READ_INTERVAL),
        follow_upstreams(READ_INTERVAL, Duration::from_secs(3)),
    )
}

#[rstest]
#[case::settings(settings())]
#[case::upstreams(upstreams())]
fn sound_registry(#[case] worst: WorstCase) {
    let delays = [
        ("reader", worst.reader()),
        ("relayed", worst.relayed()),
        ("silent neighbour", worst.silent_neighbour()),
        ("cut neighbour", worst.cut_neighbour()),
    ];
    println!("{delays:?}");
    for (case, delay) in delays {
        assert!(delay < CHANGE_BOUND, "{case}: {delay:?}");
    }
}

#[rstest]
#[case::settings(settings())]
#[case::upstreams(upstreams())]
fn after_outage(#[case] worst: WorstCase) {
    let delay = worst.reader_after_outage();
    println!("{delay:?}");
    assert!(delay < OUTAGE_BOUND, "{delay:?}");
}

/// A call that is lost at the end of an outage delays an entry that reads alone.
#[rstest]
#[case::settings(settings())]
#[case::upstreams(upstreams())]
fn lone_reader(#[case] worst: WorstCase) {
    let delay = worst.lone_reader_after_outage();
    println!("{delay:?}");
    assert!(delay < OUTAGE_BOUND, "{delay:?}");
}

/// An entry's own lost call delays its next question to the neighbour that has read the change.
#[rstest]
#[case::settings(settings())]
#[case::upstreams(upstreams())]
fn relayed_late(#[case] worst: WorstCase) {
    let delay = worst.relayed_after_outage();
    println!("{delay:?}");
    assert!(delay < OUTAGE_BOUND, "{delay:?}");
}

/// The backoff of an entry outlasts the bound after an outage while its readers stay cut off.
#[rstest]
#[case::settings(settings())]
#[case::upstreams(upstreams())]
fn cut_readers(#[case] worst: WorstCase) {
    let delay = worst.cut_readers_after_outage();
    println!("{delay:?}");
    assert!(delay < OUTAGE_BOUND, "{delay:?}");
}
