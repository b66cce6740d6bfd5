//! Keys of orders: form and age.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{START, time};
use wagtailreel_fold::{KeyProblem, check_key};

const WINDOW: Duration = Duration::from_secs(600);

#[rstest]
#[case::empty("")]
#[case::no_text("1780000000")]
#[case::empty_text("1780000000.")]
#[case::no_seconds(".cut-7")]
#[case::sign("+1780000000.cut-7")]
#[case::leading_zero("01780000000.cut-7")]
#[case::huge("9999999999999.cut-7")]
#[case::space("1780000000.cut 7")]
#[case::dot("1780000000.cut.7")]
#[case::letters("178000000x.cut-7")]
#[case::other_script("1780000000.épitafio")]
#[case::long(&format!("1780000000.{}", "x".repeat(65)))]
fn malformed(#[case] key: &str) {
    assert_eq!(check_key(key, time(0), WINDOW), Err(KeyProblem::Malformed));
}

#[rstest]
#[case::now(0, Ok(()))]
#[case::oldest(-600, Ok(()))]
#[case::too_old(-601, Err(KeyProblem::Expired))]
#[case::newest(60, Ok(()))]
#[case::too_new(61, Err(KeyProblem::FromFuture))]
fn age_checked(#[case] seconds: i64, #[case] expected: Result<(), KeyProblem>) {
    let key = format!("{}.Cut_7-a", START.strict_add_signed(seconds));
    assert_eq!(check_key(&key, time(0), WINDOW), expected);
}

#[test]
fn longest_text() {
    let key = format!("{START}.{}", "x".repeat(64));
    assert_eq!(check_key(&key, time(0), WINDOW), Ok(()));
}
