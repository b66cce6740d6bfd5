//! Times at which reads of the registry prove that a version was not named yet.

use std::time::Duration;

use wagtailreel_fleet::{BootTime, NamedWeights, NamingTimes};

fn weights(version: u64) -> NamedWeights {
    NamedWeights {
        model: "epitaph".to_owned(),
        version,
    }
}

fn at(ms: u64) -> Option<BootTime> {
    Some(BootTime::new(Duration::from_millis(ms)))
}

#[test]
fn first_read() {
    let mut read = NamingTimes::default();
    assert_eq!(
        read.record(&weights(2), None),
        None,
        "named before the first read"
    );
    assert_eq!(read.record(&weights(3), at(400)), at(400));
}

/// Only the first read that returns a version proves that the version was not named at the read before.
#[test]
fn read_again() {
    let mut read = NamingTimes::default();
    assert_eq!(read.record(&weights(3), at(400)), at(400));
    assert_eq!(read.record(&weights(3), at(900)), None);
    assert_eq!(read.record(&weights(2), at(1_300)), None, "a late record");
    assert_eq!(read.record(&weights(3), at(1_700)), None);
    assert_eq!(read.record(&weights(4), at(2_000)), at(2_000));
}
