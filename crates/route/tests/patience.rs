//! How long a stream is waited for.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_route::direct::{Patience, Sign};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::least(100, None, 1000)]
#[case::by_objective(800, Some(100), 1600)]
#[case::by_pauses(400, Some(300), 1200)]
fn half_of_the_gap(#[case] objective: u64, #[case] gap: Option<u64>, #[case] usual: u64) {
    let patience = Patience::new(ms(objective), gap.map(ms));
    assert_eq!(patience.next_look(ms(0), Sign::Silent), Some(ms(usual)));
    assert_eq!(patience.next_look(ms(usual), Sign::Silent), None);
}

/// Only an upstream that lives and is full is waited for longer.
#[rstest]
#[case::silent(Sign::Silent, false)]
#[case::room(Sign::Room, false)]
#[case::full(Sign::Full, true)]
fn after_the_usual(#[case] sign: Sign, #[case] waits: bool) {
    let patience = Patience::new(ms(400), Some(ms(300)));
    for waited in [1200, 1300, 5000] {
        assert_eq!(patience.next_look(ms(waited), sign).is_some(), waits);
    }
}
