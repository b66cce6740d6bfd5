//! How long a stream is waited for.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_route::direct::{Liveness, StallPolicy};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::least(100, None, 1000)]
#[case::by_objective(800, Some(100), 1600)]
#[case::by_pauses(400, Some(300), 1200)]
fn half_of_the_gap(#[case] objective: u64, #[case] gap: Option<u64>, #[case] usual: u64) {
    let stall_policy = StallPolicy::new(ms(objective), gap.map(ms));
    assert_eq!(
        stall_policy.next_check(ms(0), Liveness::Silent),
        Some(ms(usual))
    );
    assert_eq!(stall_policy.next_check(ms(usual), Liveness::Silent), None);
}

/// Only an upstream that lives and is full is waited for longer.
#[rstest]
#[case::silent(Liveness::Silent, false)]
#[case::room(Liveness::Free, false)]
#[case::full(Liveness::Full, true)]
fn after_the_usual(#[case] liveness: Liveness, #[case] waits: bool) {
    let stall_policy = StallPolicy::new(ms(400), Some(ms(300)));
    for waited in [1200, 1300, 5000] {
        assert_eq!(
            stall_policy.next_check(ms(waited), liveness).is_some(),
            waits
        );
    }
}
