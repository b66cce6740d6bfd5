//! An origin whose link has only the bandwidth of one VM's link.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod model;

use std::time::Duration;

use model::{Model, Outcome, STEP, Setup};
use rstest::rstest;
use wagtailreel_core::{SpreadGoal, SpreadPolicy, SpreadSettings};
use wagtailreel_spread::Tuning;

/// Steps that a chunk takes on a link: 45 ms.
const CHUNK_STEPS: u32 = 9;

/// Runs 97 VMs that fetch 96 chunks with a window of 24 draws, fitted to the link if `draw_time` is given.
fn run(draw_time: Option<Duration>) -> Outcome {
    Model::new(setup(draw_time)).run(12)
}

fn setup(draw_time: Option<Duration>) -> Setup {
    let settings = SpreadSettings {
        weigh: SpreadGoal::OriginBytes,
        policy: SpreadPolicy::Balanced,
        rate: None,
    };
    let tuning = Tuning {
        learn_timeout: Duration::from_millis(120),
        window: 24,
        takeover_delay: Duration::from_millis(500),
        ..Tuning::default()
    };
    let mut setup = Setup::new(97, 96, settings, 3);
    setup.slices = CHUNK_STEPS;
    setup.origin_slices = 1;
    setup.tuning = tuning.with_draw_time(draw_time);
    setup
}

/// The origin is unreachable from the start, for at least as long as one copy takes. After its recovery, VMs
/// must not draw all chunks at once and take over each other's draws.
#[rstest]
#[case::as_long_as_a_copy(1)]
#[case::twice_a_copy(2)]
fn drawn_after_outage(#[case] copies: u64) {
    let mut setup = setup(Some(STEP * CHUNK_STEPS));
    let outage_steps = copies * setup.copy_steps();
    setup.origin_down = 0..outage_steps;
    let outcome = Model::new(setup).run(12);
    println!("after an outage: {outcome:?}");
    let since_recovery = outcome.ratio - copies as f64;
    assert!(outcome.is_done && outcome.origin <= 1.1, "{outcome:?}");
    assert!(since_recovery < 1.4, "{since_recovery}");
}

#[rstest]
fn fitted_window_draws_each_chunk_once() {
    let fitted = run(Some(STEP * CHUNK_STEPS));
    let fixed = run(None);
    println!("fitted: {fitted:?}, 24 at once: {fixed:?}");
    assert!(fitted.is_done && fitted.origin <= 1.1, "{fitted:?}");
    assert!(
        fixed.origin > 1.3,
        "without fitting, chunks are drawn again: {fixed:?}"
    );
    assert!(fitted.ratio < fixed.ratio, "{fixed:?}");
}

#[rstest]
#[case::narrow(500, 4, 6000)]
#[case::model_link(45, 8, 1080)]
#[case::wide(2, 64, 500)]
#[case::very_wide(0, 24, 500)]
fn window(#[case] draw_ms: u64, #[case] chunks: u32, #[case] stall_ms: u64) {
    let tuning = Tuning {
        window: 24,
        takeover_delay: Duration::from_millis(500),
        ..Tuning::default()
    };
    let tuning = tuning.with_draw_time(Some(Duration::from_millis(draw_ms)));
    assert_eq!(tuning.window, chunks);
    assert_eq!(tuning.takeover_delay, Duration::from_millis(stall_ms));
}
