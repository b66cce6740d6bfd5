//! Next steps that the rollout decides.

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;
use wagtailreel_fleet::LoadedModel;
use wagtailreel_stage::{EngineReport, Rollout, RolloutState, Step, Target};

const BOUND: Duration = Duration::from_millis(7100);

fn report(version: Option<u64>, is_busy: bool) -> EngineReport {
    let models = version.map(|version| LoadedModel {
        model: "epitaph".to_owned(),
        version,
        whole: true,
    });
    EngineReport {
        started: 0,
        models: models.into_iter().collect(),
        is_busy,
        ..EngineReport::default()
    }
}

fn target(version: u64, named_at: Option<Instant>) -> Target {
    Target {
        model: "epitaph".to_owned(),
        version,
        named_at,
    }
}

fn next(
    rollout: &Rollout,
    report: &EngineReport,
    target: &Target,
    is_complete: bool,
    now: Instant,
) -> Step {
    let state = RolloutState {
        report: Some(report),
        is_starting: false,
        target: Some(target),
        complete_since: is_complete.then_some(now),
        position: 0.5,
    };
    rollout.next(state, now)
}

/// Entries send no requests to an engine without weights, so the load needs no notice.
#[rstest]
fn notice_before_load() {
    assert_eq!(Rollout::load_notice(None), Duration::ZERO);
    assert!(Rollout::load_notice(Some(1)) > Duration::ZERO);
}

#[rstest]
#[case::holds_target(Some(2), false, true, Step::Wait)]
#[case::holds_newer(Some(3), false, true, Step::Wait)]
#[case::lacks_chunks(Some(1), false, false, Step::Fetch)]
#[case::busy_without_chunks(Some(1), true, false, Step::Fetch)]
#[case::busy_with_chunks(Some(1), true, true, Step::Wait)]
#[case::empty_engine(None, false, true, Step::Load)]
#[case::before_load_time(Some(1), false, true, Step::Wait)]
fn next_step(
    #[case] held: Option<u64>,
    #[case] is_busy: bool,
    #[case] is_complete: bool,
    #[case] expected: Step,
) {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let target = target(2, Some(now));
    let report = report(held, is_busy);
    assert_eq!(next(&rollout, &report, &target, is_complete, now), expected);
}

#[rstest]
fn unreachable_engine() {
    let now = Instant::now();
    let target = target(2, None);
    let state = RolloutState {
        report: None,
        is_starting: false,
        target: Some(&target),
        complete_since: Some(now),
        position: 0.0,
    };
    assert_eq!(Rollout::new(BOUND, now).next(state, now), Step::Wait);
}

/// Chunks are fetched while an engine starts, but not for an engine that stopped answering, which has
/// them already.
#[rstest]
#[case::about_to_start(true, false, Step::Fetch)]
#[case::chunks_are_stored(true, true, Step::Wait)]
#[case::stopped_answering(false, false, Step::Wait)]
fn starting_engine(#[case] is_starting: bool, #[case] is_complete: bool, #[case] expected: Step) {
    let now = Instant::now();
    let target = target(2, None);
    let state = RolloutState {
        report: None,
        is_starting,
        target: Some(&target),
        complete_since: is_complete.then_some(now),
        position: 0.0,
    };
    assert_eq!(Rollout::new(BOUND, now).next(state, now), expected);
}

#[rstest]
fn unknown_naming() {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let report = report(Some(1), false);
    let target = target(2, None);
    assert_eq!(next(&rollout, &report, &target, true, now), Step::Load);
}

#[rstest]
fn backoff_after_failed_order() {
    let now = Instant::now();
    let mut rollout = Rollout::new(BOUND, now);
    let report = report(None, false);
    let target = target(2, None);
    rollout.order_failed(now);
    assert_eq!(next(&rollout, &report, &target, true, now), Step::Wait);
    let later = now + Duration::from_secs(1);
    assert_eq!(next(&rollout, &report, &target, true, later), Step::Load);
}

#[rstest]
fn restart_after_order() {
    let now = Instant::now();
    let mut rollout = Rollout::new(BOUND, now);
    rollout.order_failed(now);
    rollout.restarted();
    let (report, target) = (report(None, false), target(2, None));
    assert_eq!(next(&rollout, &report, &target, true, now), Step::Load);
}

#[rstest]
#[case::early(500, 0.1, false, true)]
#[case::too_late_for_another_fetch(4000, 0.1, false, false)]
#[case::half_is_stored(500, 0.6, false, false)]
#[case::chunks_are_stored(500, 1.0, false, false)]
#[case::empty_engine(4000, 0.9, true, true)]
fn newer_weights(
    #[case] after: u64,
    #[case] share: f64,
    #[case] is_empty: bool,
    #[case] may_skip: bool,
) {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let target = target(2, Some(now));
    let later = now + Duration::from_millis(after);
    assert_eq!(rollout.may_skip(&target, share, is_empty, later), may_skip);
}

/// Chunks that are complete only late in the bound must not make half of the engines load at once: the
/// loads are spread over the rest of the bound.
#[rstest]
fn late_chunks_spread_loads() {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let (report, target) = (report(Some(1), false), target(2, Some(now)));
    let complete_at = now + Duration::from_millis(4500);
    let loads_by = |at: Instant| {
        let positions = (0..27).map(|engine| (f64::from(engine) + 0.5) / 27.0);
        let steps = positions.map(|position| {
            let state = RolloutState {
                report: Some(&report),
                is_starting: false,
                target: Some(&target),
                complete_since: Some(complete_at),
                position,
            };
            rollout.next(state, at)
        });
        steps.filter(|step| *step == Step::Load).count()
    };
    assert_eq!(loads_by(complete_at), 0);
    assert_eq!(
        loads_by(complete_at + Duration::from_millis(1300)),
        14,
        "half of the rest of the bound has passed"
    );
    assert_eq!(loads_by(now + BOUND), 27);
}

proptest! {
    /// Every engine begins to load within the bound, at any position.
    #[test]
    fn load_within_bound(position in -1.0f64..2.0, late in 0.0f64..1.0) {
        let now = Instant::now();
        let rollout = Rollout::new(BOUND, now);
        let report = report(Some(1), false);
        let target = target(2, Some(now));
        let state = RolloutState {
            report: Some(&report),
                is_starting: false,
            target: Some(&target),
            complete_since: Some(now + BOUND.mul_f64(late)),
            position,
        };
        prop_assert_eq!(rollout.next(state, now + BOUND), Step::Load);
    }
}
