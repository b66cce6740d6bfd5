//! What an agent does next.

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
    has_all: bool,
    now: Instant,
) -> Step {
    let state = RolloutState {
        report: Some(report),
        is_starting: false,
        target: Some(target),
        complete_since: has_all.then_some(now),
        position: 0.5,
    };
    rollout.next(state, now)
}

/// Entries send nothing to an engine that holds nothing, and so needn't be told that it loads.
#[rstest]
fn notice_of_load() {
    assert_eq!(Rollout::load_notice(None), Duration::ZERO);
    assert!(Rollout::load_notice(Some(1)) > Duration::ZERO);
}

#[rstest]
#[case::holds_it(Some(2), false, true, Step::Wait)]
#[case::holds_newer(Some(3), false, true, Step::Wait)]
#[case::lacks_chunks(Some(1), false, false, Step::Fetch)]
#[case::busy_without_chunks(Some(1), true, false, Step::Fetch)]
#[case::busy_with_chunks(Some(1), true, true, Step::Wait)]
#[case::empty_engine(None, false, true, Step::Load)]
#[case::before_its_turn(Some(1), false, true, Step::Wait)]
fn next_step(
    #[case] held: Option<u64>,
    #[case] is_busy: bool,
    #[case] has_all: bool,
    #[case] expected: Step,
) {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let target = target(2, Some(now));
    let report = report(held, is_busy);
    assert_eq!(next(&rollout, &report, &target, has_all, now), expected);
}

#[rstest]
fn engine_away() {
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

/// What an engine will lack that is about to start is fetched meanwhile; one that fell silent has it.
#[rstest]
#[case::about_to_start(true, false, Step::Fetch)]
#[case::chunks_are_there(true, true, Step::Wait)]
#[case::fell_silent(false, false, Step::Wait)]
fn starting_engine(#[case] is_starting: bool, #[case] has_all: bool, #[case] expected: Step) {
    let now = Instant::now();
    let target = target(2, None);
    let state = RolloutState {
        report: None,
        is_starting,
        target: Some(&target),
        complete_since: has_all.then_some(now),
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
fn pause_after_order() {
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
#[case::half_is_there(500, 0.6, false, false)]
#[case::chunks_are_there(500, 1.0, false, false)]
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

/// Chunks that come late must not close half of the engines at once.
#[rstest]
fn late_chunks() {
    let now = Instant::now();
    let rollout = Rollout::new(BOUND, now);
    let (report, target) = (report(Some(1), false), target(2, Some(now)));
    let whole_at = now + Duration::from_millis(4500);
    let loads_by = |at: Instant| {
        let places = (0..27).map(|engine| (f64::from(engine) + 0.5) / 27.0);
        let turns = places.map(|position| {
            let state = RolloutState {
                report: Some(&report),
                is_starting: false,
                target: Some(&target),
                complete_since: Some(whole_at),
                position,
            };
            rollout.next(state, at)
        });
        turns.filter(|step| *step == Step::Load).count()
    };
    assert_eq!(loads_by(whole_at), 0);
    assert_eq!(
        loads_by(whole_at + Duration::from_millis(1300)),
        14,
        "half of the time is over"
    );
    assert_eq!(loads_by(now + BOUND), 27);
}

proptest! {
    /// Every engine begins to load within the bound, whatever its place.
    #[test]
    fn turn_in_time(position in -1.0f64..2.0, late in 0.0f64..1.0) {
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
