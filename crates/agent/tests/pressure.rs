//! The gauge of how much transfers slow down live answers.

use std::time::Duration;

use rstest::rstest;
use wagtailreel_agent_core::PressureGauge;

#[rstest]
#[case::no_slowdown(30, 30, 0.0, 0.0)]
#[case::noise(30, 33, 0.0, 0.0)]
#[case::half(30, 45, 0.35, 0.45)]
#[case::twice(30, 60, 1.0, 1.0)]
#[case::much_worse(30, 300, 1.0, 1.0)]
fn slowdown_counts(#[case] calm: u64, #[case] busy: u64, #[case] low: f64, #[case] high: f64) {
    let mut gauge = PressureGauge::new(Duration::from_millis(66));
    for _ in 0..20 {
        assert_eq!(gauge.sample(Some(Duration::from_millis(calm)), false), 0.0);
    }
    let mut pressure = 0.0;
    for _ in 0..20 {
        pressure = gauge.sample(Some(Duration::from_millis(busy)), true);
    }
    assert!((low..=high).contains(&pressure), "pressure {pressure}");
}

#[test]
fn objective_stands_in() {
    let mut gauge = PressureGauge::new(Duration::from_millis(50));
    assert_eq!(gauge.sample(Some(Duration::from_millis(40)), true), 0.0);
    for _ in 0..20 {
        gauge.sample(Some(Duration::from_millis(120)), true);
    }
    assert_eq!(gauge.sample(Some(Duration::from_millis(120)), true), 1.0);
}

#[test]
fn idle_eases() {
    let mut gauge = PressureGauge::new(Duration::from_millis(50));
    gauge.sample(Some(Duration::from_millis(500)), true);
    assert_eq!(gauge.sample(None, true), 0.0);
}
