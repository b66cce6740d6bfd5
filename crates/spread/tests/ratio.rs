//! Time and traffic of a distribution on the slot model, compared with their limits.
//!
//! The model is seeded and has no clock, so the figures are the same in every run.

mod model;

use model::{Model, Setup};
use rstest::rstest;
use wagtailreel_core::{SpreadGoal, SpreadPolicy, SpreadSettings};

/// Returns the result of the model for some settings.
fn run(vms: usize, chunks: u32, weigh: SpreadGoal, policy: SpreadPolicy) -> model::Outcome {
    let settings = SpreadSettings {
        weigh,
        policy,
        rate: None,
    };
    Model::new(Setup::new(vms, chunks, settings, 1)).run(8)
}

#[rstest]
#[case(13, 64, SpreadGoal::Time, 1.10, 1.6)]
#[case(13, 64, SpreadGoal::OriginBytes, 1.10, 1.0)]
#[case(16, 128, SpreadGoal::Time, 1.06, 1.5)]
#[case(16, 128, SpreadGoal::OriginBytes, 1.06, 1.0)]
#[case(100, 64, SpreadGoal::Time, 1.22, 1.8)]
#[case(100, 64, SpreadGoal::OriginBytes, 1.22, 1.02)]
fn near_bound(
    #[case] vms: usize,
    #[case] chunks: u32,
    #[case] weigh: SpreadGoal,
    #[case] max_time: f64,
    #[case] max_drawn: f64,
) {
    let out = run(vms, chunks, weigh, SpreadPolicy::Balanced);
    println!("{vms} VMs, {chunks} chunks, {weigh:?}: {out:?}");
    assert!(out.is_done && out.ratio <= max_time, "{out:?}");
    assert!(out.origin <= max_drawn, "{out:?}");
    assert!(out.max_sent <= 1.2, "{out:?}");
}

#[rstest]
#[case::origin(SpreadPolicy::Origin, 3.25, 13.0, 0.0)]
#[case::chain(SpreadPolicy::Chain, 1.0, 1.0, 1.0)]
#[case::tree(SpreadPolicy::Tree, 2.0, 1.0, 2.0)]
fn baselines(
    #[case] policy: SpreadPolicy,
    #[case] min_time: f64,
    #[case] drawn: f64,
    #[case] sent: f64,
) {
    let out = run(13, 64, SpreadGoal::Time, policy);
    println!("{policy:?}: {out:?}");
    assert!(out.is_done && out.ratio >= min_time, "{out:?}");
    assert!((out.origin, out.max_sent) == (drawn, sent), "{out:?}");
}
