//! The next step after an attempt ended without an answer.

use proptest::prelude::*;
use rstest::rstest;
use wagtailreel_direct::{Attempt, Ending, Next, next_step};
use wagtailreel_fleet::RouteKind;

const STREAM: RouteKind = RouteKind::Stream {
    resumable: true,
    gap: None,
};

const ONE_STREAM: RouteKind = RouteKind::Stream {
    resumable: false,
    gap: None,
};

fn attempt(kind: RouteKind, ending: Ending) -> Attempt {
    Attempt {
        kind,
        ending,
        sent: 1,
        max_attempts: 2,
        unreached: 0,
        may_have_run: ending == Ending::Lost,
        has_time: true,
    }
}

#[rstest]
#[case::order_lost(RouteKind::NonIdempotent, Ending::Lost, Next::Unknown)]
#[case::order_not_run(RouteKind::NonIdempotent, Ending::NotRun, Next::Again)]
#[case::order_not_sent(RouteKind::NonIdempotent, Ending::NotSent, Next::Again)]
#[case::order_failed(RouteKind::NonIdempotent, Ending::Failed, Next::PassOn)]
#[case::read_lost(RouteKind::Idempotent, Ending::Lost, Next::Again)]
#[case::read_failed(RouteKind::Idempotent, Ending::Failed, Next::Again)]
#[case::stream_lost(STREAM, Ending::Lost, Next::Again)]
#[case::stream_failed(STREAM, Ending::Failed, Next::PassOn)]
#[case::one_stream_lost(ONE_STREAM, Ending::Lost, Next::Unknown)]
fn first_attempt(#[case] kind: RouteKind, #[case] ending: Ending, #[case] next: Next) {
    assert_eq!(next_step(attempt(kind, ending)), next);
}

#[rstest]
fn last_attempt() {
    let mut last = attempt(RouteKind::Idempotent, Ending::NotRun);
    last.sent = 2;
    assert_eq!(next_step(last), Next::Refuse);
    last.may_have_run = true;
    assert_eq!(next_step(last), Next::Unknown, "the first one may have run");
}

#[rstest]
fn no_time() {
    let mut late = attempt(RouteKind::Idempotent, Ending::NotRun);
    late.has_time = false;
    assert_eq!(next_step(late), Next::Refuse);
}

/// Guards against answers that are broken off with time left because three other upstreams were unreachable.
#[rstest]
#[case::may_have_run(true, Next::Again)]
#[case::has_not_run(false, Next::Refuse)]
fn many_unreached(#[case] may_have_run: bool, #[case] next: Next) {
    let mut unreached = attempt(STREAM, Ending::NotSent);
    unreached.unreached = 7;
    unreached.may_have_run = may_have_run;
    assert_eq!(next_step(unreached), next);
}

fn kinds() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(STREAM),
        Just(ONE_STREAM)
    ]
}

fn endings() -> impl Strategy<Value = Ending> {
    prop_oneof![
        Just(Ending::NotSent),
        Just(Ending::NotRun),
        Just(Ending::Failed),
        Just(Ending::Lost)
    ]
}

proptest! {
    /// For any series of attempts: a request that may not be repeated runs at most once, a request that may
    /// have run is not refused as not run, and the request reaches at most the allowed number of upstreams.
    #[test]
    fn any_series(kind in kinds(), ends in prop::collection::vec(endings(), 1..12), max_attempts in 1u32..4) {
        let mut sent = 0;
        let mut unreached = 0;
        let mut may_have_run = false;
        let mut ran = 0;
        for ending in ends {
            match ending {
                Ending::NotSent => unreached += 1,
                Ending::NotRun => sent += 1,
                Ending::Failed | Ending::Lost => {
                    sent += 1;
                    ran += 1;
                    may_have_run = true;
                }
            }
            let next = next_step(Attempt {
                kind, ending, sent, max_attempts, unreached, may_have_run, has_time: true,
            });
            match next {
                Next::Again => continue,
                Next::Refuse => prop_assert!(!may_have_run),
                Next::PassOn | Next::Unknown => {}
            }
            break;
        }
        prop_assert!(sent <= max_attempts);
        if !kind.repeatable() {
            prop_assert!(ran <= 1);
        }
    }
}
