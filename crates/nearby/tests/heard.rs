//! What the log says on records that were heard late.

use std::net::SocketAddr;
use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{BootTime, Topic};
use wagtailreel_nearby::{Delay, HeardLog, HeardRecords};

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

/// Without the delays a late record could not be told from one that was late at its source.
#[rstest]
fn late_records() {
    let mut log = HeardLog::default();
    let neighbour = SocketAddr::from(([10, 0, 0, 1], 7700));
    log.note_answer(Topic::Settings, 0, at(1_000), at(1_010));
    log.note_delay(Topic::Settings, Delay::CallFailed);
    log.note_delay(Topic::Settings, Delay::NotCalled);
    log.note_delay(Topic::Settings, Delay::NotCalled);
    log.note_delay(Topic::Upstreams, Delay::NeighbourSilent);
    log.note_source(Topic::Settings, Some(neighbour));
    let heard = log.note_answer(Topic::Settings, 1, at(3_900), at(4_000));
    let expected = HeardRecords {
        source: Some(neighbour),
        age: Duration::from_millis(100),
        gap: Some(Duration::from_secs(3)),
        delays: "call-failed=1 not-called=2".to_owned(),
    };
    assert_eq!(heard, Some(expected));
    let next = log.note_answer(Topic::Settings, 1, at(4_100), at(4_100));
    assert_eq!(next.map(|heard| heard.delays), Some(String::new()));
}

/// Each read of the upstreams has records, and a line for each would hide the late ones.
#[rstest]
#[case::usual(1_499, false)]
#[case::late(1_500, true)]
fn upstreams_late_only(#[case] gap: u64, #[case] is_reported: bool) {
    let mut log = HeardLog::default();
    log.note_answer(Topic::Upstreams, 1, at(0), at(0));
    let heard = log.note_answer(Topic::Upstreams, 1, at(gap), at(gap));
    assert_eq!(heard.is_some(), is_reported);
}

/// An answer that is older than the one before neither shortens the gap nor hides the delays.
#[rstest]
fn older_answer() {
    let mut log = HeardLog::default();
    log.note_answer(Topic::Settings, 0, at(2_000), at(2_000));
    log.note_delay(Topic::Settings, Delay::NeighbourReads);
    log.note_answer(Topic::Settings, 0, at(1_000), at(2_100));
    let heard = log.note_answer(Topic::Settings, 1, at(2_500), at(2_500));
    let heard = heard.map(|heard| (heard.gap, heard.delays));
    let gap = Some(Duration::from_millis(500));
    assert_eq!(heard, Some((gap, "neighbour-reads=1".to_owned())));
}
