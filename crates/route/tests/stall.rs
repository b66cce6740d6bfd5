//! How long a stream may stall.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_route::direct::{Liveness, StallPolicy};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[rstest]
#[case::least(100, None, 1000)]
#[case::by_objective(800, Some(100), 1600)]
#[case::by_gap(400, Some(300), 1200)]
fn stall_timeout(#[case] objective: u64, #[case] gap: Option<u64>, #[case] timeout: u64) {
    let stall_policy = StallPolicy::new(ms(objective), gap.map(ms));
    assert_eq!(
        stall_policy.next_check(ms(0), Liveness::Silent),
        Some(ms(timeout))
    );
    assert_eq!(stall_policy.next_check(ms(timeout), Liveness::Silent), None);
}

/// After the stall timeout, a stream stays only at an upstream that responds and is full.
#[rstest]
#[case::silent(Liveness::Silent, false)]
#[case::free_slot(Liveness::Free, false)]
#[case::full(Liveness::Full, true)]
fn after_stall_timeout(#[case] liveness: Liveness, #[case] keeps_waiting: bool) {
    let stall_policy = StallPolicy::new(ms(400), Some(ms(300)));
    for waited in [1200, 1300, 5000] {
        assert_eq!(
            stall_policy.next_check(ms(waited), liveness).is_some(),
            keeps_waiting
        );
    }
}
