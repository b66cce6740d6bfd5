//! The gauge of the slowdown of live answers by transfers.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_agent_core::PressureGauge;

#[rstest]
#[case::no_slowdown(30, 30, 0.0, 0.0)]
#[case::noise(30, 33, 0.0, 0.0)]
#[case::half(30, 45, 0.35, 0.45)]
#[case::twice(30, 60, 1.0, 1.0)]
#[case::much_worse(30, 300, 1.0, 1.0)]
fn slowdown_counts(
    #[case] baseline_ms: u64,
    #[case] transfer_ms: u64,
    #[case] low: f64,
    #[case] high: f64,
) {
    let mut gauge = PressureGauge::new(Duration::from_millis(66));
    for _ in 0..20 {
        assert_eq!(
            gauge.sample(Some(Duration::from_millis(baseline_ms)), false),
            0.0
        );
    }
    let mut pressure = 0.0;
    for _ in 0..20 {
        pressure = gauge.sample(Some(Duration::from_millis(transfer_ms)), true);
    }
    assert!((low..=high).contains(&pressure), "pressure {pressure}");
}

#[test]
fn objective_without_baseline() {
    let mut gauge = PressureGauge::new(Duration::from_millis(50));
    assert_eq!(gauge.sample(Some(Duration::from_millis(40)), true), 0.0);
    for _ in 0..20 {
        gauge.sample(Some(Duration::from_millis(120)), true);
    }
    assert_eq!(gauge.sample(Some(Duration::from_millis(120)), true), 1.0);
}

#[test]
fn no_pressure_when_idle() {
    let mut gauge = PressureGauge::new(Duration::from_millis(50));
    gauge.sample(Some(Duration::from_millis(500)), true);
    assert_eq!(gauge.sample(None, true), 0.0);
}
