//! What an entry does after an attempt ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use common::weights;
use insta::assert_snapshot;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof, proptest};
use wagtailreel_core::{Digest, NotRunReason};
use wagtailreel_route::{
    AttemptEnd, Attempts, AttemptsConfig, BudgetConfig, CancelState, Next, Repeat, Requirements,
    RetryBudget, Unavailable,
};

fn budget() -> RetryBudget {
    RetryBudget::new(BudgetConfig::default())
}

fn transcript(repeat: Repeat, ends: &[AttemptEnd]) -> String {
    let start = Instant::now();
    let mut attempts = Attempts::new(AttemptsConfig::default(), repeat, Requirements::default());
    let mut budget = budget();
    let mut text = String::new();
    for (index, ended) in ends.iter().enumerate() {
        let vm = format!("u{}", index + 1);
        attempts.on_send(&vm);
        let next = attempts.ended(&vm, ended.clone(), start, &mut budget);
        let from = attempts.resume_from();
        writeln!(text, "{vm} {ended:?} -> {next:?}, from {from}").unwrap();
        if !matches!(next, Next::Send | Next::AskCancel) {
            break;
        }
    }
    text
}

fn cut(next: u64) -> AttemptEnd {
    AttemptEnd::Cut {
        next,
        weights: Some(weights()),
    }
}

#[test]
fn ends_table() {
    let full = AttemptEnd::Refused(NotRunReason::Full, Some(Duration::from_millis(700)));
    let limit = AttemptEnd::Refused(NotRunReason::Limit, None);
    let unpinned = AttemptEnd::Cut {
        next: 3,
        weights: None,
    };
    let sequences = [
        vec![AttemptEnd::Whole],
        vec![AttemptEnd::Broken, AttemptEnd::CancelLost],
        vec![
            AttemptEnd::NeverSent,
            AttemptEnd::NeverSent,
            AttemptEnd::NeverSent,
        ],
        vec![full.clone(), full.clone(), full],
        vec![limit],
        vec![
            AttemptEnd::Cancelled(CancelState::NotRun),
            AttemptEnd::Whole,
        ],
        vec![
            AttemptEnd::Cancelled(CancelState::Started),
            AttemptEnd::Whole,
        ],
        vec![AttemptEnd::Cancelled(CancelState::Done)],
        vec![AttemptEnd::CancelLost],
        vec![cut(5), AttemptEnd::NeverSent, AttemptEnd::NeverSent],
        vec![cut(5), cut(9), AttemptEnd::Whole],
        vec![unpinned],
    ];
    let mut text = String::new();
    for repeat in [Repeat::Resumable, Repeat::Never] {
        writeln!(text, "== {repeat}").unwrap();
        for ends in &sequences {
            text.push_str(&transcript(repeat, ends));
            text.push('\n');
        }
    }
    assert_snapshot!(text);
}

/// A switch uses neither attempts nor retry budget, and the wait has one bound.
#[test]
fn switch_wait() {
    let start = Instant::now();
    let cfg = AttemptsConfig::default();
    let mut attempts = Attempts::new(cfg, Repeat::Never, Requirements::default());
    let mut budget = budget();
    let before = budget.left();
    for sequence in 0..5 {
        attempts.on_send("u1");
        let closed = AttemptEnd::Refused(NotRunReason::Closed, None);
        assert_eq!(attempts.ended("u1", closed, start, &mut budget), Next::Send);
        let until = start + cfg.switch_wait;
        let at = start + Duration::from_millis(sequence * 300);
        assert_eq!(
            attempts.on_unavailable(Unavailable::Closed, at),
            Next::Await(until)
        );
    }
    assert!((budget.left() - before).abs() < f64::EPSILON);
    let over = start + cfg.switch_wait;
    assert_eq!(
        attempts.on_unavailable(Unavailable::Closed, over),
        Next::Send
    );
    assert!(attempts.needs().waited);
    let last = attempts.on_unavailable(Unavailable::Closed, over);
    assert_eq!(last, Next::NotRun(NotRunReason::Closed, None));
}

#[test]
fn upstream_wait() {
    let start = Instant::now();
    let cfg = AttemptsConfig::default();
    let mut attempts = Attempts::new(cfg, Repeat::Never, Requirements::default());
    let until = start + cfg.upstream_wait;
    for at in [start, start + cfg.upstream_wait / 2] {
        assert_eq!(
            attempts.on_unavailable(Unavailable::NoUpstream, at),
            Next::Await(until)
        );
    }
    let last = attempts.on_unavailable(Unavailable::NoUpstream, until);
    assert_eq!(last, Next::NotRun(NotRunReason::NoUpstream, None));
}

#[test]
fn capacity_wait() {
    let start = Instant::now();
    let wait = Duration::from_secs(1);
    let full = AttemptEnd::Refused(NotRunReason::Full, None);
    let run = |capacity_wait| {
        let cfg = AttemptsConfig {
            capacity_wait,
            ..AttemptsConfig::default()
        };
        let mut attempts = Attempts::new(cfg, Repeat::Never, Requirements::default());
        attempts.on_send("u1");
        let next = attempts.ended("u1", full.clone(), start, &mut budget());
        assert_eq!(next, Next::Send);
        let next = attempts.on_unavailable(Unavailable::Tried, start);
        (attempts, next)
    };
    let refused = Next::NotRun(NotRunReason::Full, None);
    assert_eq!(run(Duration::ZERO).1, refused);
    let (mut attempts, next) = run(wait);
    assert_eq!(next, Next::Await(start + wait));
    assert!(attempts.needs().tried.is_empty());
    assert_eq!(
        attempts.on_unavailable(Unavailable::Full, start + wait),
        refused
    );
}

#[test]
fn first_choice() {
    let cfg = AttemptsConfig::default();
    let mut attempts = Attempts::new(cfg, Repeat::Never, Requirements::default());
    assert!(attempts.is_first_choice());
    assert!(!attempts.is_first_choice());
}

fn any_end() -> impl Strategy<Value = AttemptEnd> {
    prop_oneof![
        Just(AttemptEnd::NeverSent),
        Just(AttemptEnd::Refused(NotRunReason::Full, None)),
        Just(AttemptEnd::Refused(NotRunReason::Closed, None)),
        Just(AttemptEnd::Refused(NotRunReason::Leaving, None)),
        Just(AttemptEnd::Cancelled(CancelState::NotRun)),
        Just(AttemptEnd::Cancelled(CancelState::Started)),
        Just(AttemptEnd::Cancelled(CancelState::Done)),
        Just(AttemptEnd::CancelLost),
        (0_u64..9, any::<bool>()).prop_map(|(next, known)| AttemptEnd::Cut {
            next,
            weights: known.then(|| Digest::of(b"weights")),
        }),
    ]
}

proptest! {
    /// For any sequence of ends: "not run" is returned only if no attempt was started, an order is
    /// not sent again once it may have started, and retries keep to the budget.
    #[test]
    fn outcome_is_truthful(
        ends in prop::collection::vec(any_end(), 1..12),
        order in any::<bool>(),
    ) {
        let start = Instant::now();
        let repeat = if order { Repeat::Never } else { Repeat::Resumable };
        let mut attempts = Attempts::new(AttemptsConfig::default(), repeat, Requirements::default());
        let mut budget = RetryBudget::new(BudgetConfig { ratio: 0.1, burst: 2.0 });
        let mut maybe_started = false;
        for ended in ends {
            attempts.on_send("u1");
            maybe_started |= matches!(
                ended,
                AttemptEnd::Cancelled(CancelState::Started | CancelState::Done)
                    | AttemptEnd::CancelLost
                    | AttemptEnd::Cut { .. }
            );
            match attempts.ended("u1", ended, start, &mut budget) {
                Next::Send => assert!(!(maybe_started && order), "an order was sent twice"),
                Next::NotRun(..) => {
                    assert!(!maybe_started, "not-run returned although the request may have started");
                    break;
                }
                Next::Unknown(_) => {
                    assert!(maybe_started, "unknown returned although the request was not run");
                    break;
                }
                next => panic!("{next:?} does not follow"),
            }
        }
        assert!(attempts.sent() <= AttemptsConfig::default().max_attempts + 1);
    }

    /// Retries are at most the burst plus a tenth of the requests.
    #[test]
    fn budget_holds(steps in prop::collection::vec(any::<bool>(), 1..400)) {
        let mut budget = RetryBudget::new(BudgetConfig::default());
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for is_request in steps {
            if is_request {
                requests += 1;
                budget.request();
            } else if budget.retry() {
                retries += 1;
            }
        }
        assert!(f64::from(retries) <= 20.0 + 0.1 * f64::from(requests) + 1e-6);
    }
}
