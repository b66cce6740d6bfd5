//! Backoff of a process's own calls to the registry.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_fleet::{BootTime, Topic};
use wagtailreel_nearby::RegistryBackoff;

fn at(ms: u64) -> BootTime {
    BootTime::new(Duration::from_millis(ms))
}

#[rstest]
#[case::reader(true, 1, true)]
#[case::too_soon(false, 999, false)]
#[case::rested(false, 1000, true)]
fn after_failure(#[case] is_reader: bool, #[case] after: u64, #[case] is_due: bool) {
    let mut backoff = RegistryBackoff::new(Duration::from_secs(1));
    assert!(
        backoff.is_due(Topic::Settings, false, at(500)),
        "no call has failed yet"
    );
    backoff.note_failure(Topic::Settings, at(500));
    assert_eq!(
        backoff.is_due(Topic::Settings, is_reader, at(500 + after)),
        is_due
    );
    backoff.note_answer();
    assert!(
        backoff.is_due(Topic::Settings, false, at(501)),
        "the registry has answered"
    );
}
