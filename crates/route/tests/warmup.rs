//! A cold upstream gets no more requests from all entries together in any one second than it tolerates.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod warmup_fleet;

use std::time::{Duration, Instant};

use proptest::prelude::*;
use rstest::rstest;
use wagtailreel_fleet::{PermitRequest, WarmupPermitRequest};
use wagtailreel_route::direct::{Permits, WarmupLimit, WarmupPermits};

use warmup_fleet::{Faults, Fleet, LEAD, RATE, REPEAT_AFTER, addr, request};

/// Requests that a cold engine may get in any one second: 17 x 1.5 + 5, rounded down.
const BOUND: usize = 30;

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against more arrivals than the bound in any second, with any mixture of faults and demand.
    #[test]
    fn any_faults(
        seed: u64,
        per_second in 5.0_f64..2000.0,
        loss in 0.0_f64..0.4,
        delay_ms in 0_u64..60,
        restart_ms in prop::option::of(20_u64..4000),
        first_cut in 0.0_f64..1.0,
        second_cut in 0.0_f64..1.0,
        is_slow_to_send: bool,
    ) {
        let faults = Faults {
            loss,
            delay: Duration::from_millis(delay_ms),
            restart_every: restart_ms.map(Duration::from_millis),
            cut_off: [first_cut, second_cut * first_cut],
            is_slow_to_send,
        };
        let fleet = Fleet::new(faults, seed)
            .with_demand(per_second, LEAD, LEAD * 5, false)
            .run();
        let busiest = fleet.busiest_second();
        prop_assert!(busiest <= BOUND, "{busiest} of {BOUND}");
    }

    /// Guards against issuers whose permits together exceed the bound for some rate.
    #[test]
    fn any_rate(rate in 0.1_f64..500.0, overage in 1.0_f64..10.0, slack in 0.0_f64..50.0) {
        let issuers = WarmupLimit::new(rate, overage, slack).unwrap().issuers();
        let sum: u32 = issuers.iter().sum();
        let bound = (rate * overage + slack).max(1.0);
        prop_assert!(f64::from(sum) <= bound, "{issuers:?} of {bound}");
        prop_assert!(f64::from(issuers[0]) >= (bound.floor() / 1.45).min(rate).floor());
    }
}

/// Fifteen engines return at the same moment, and each looks empty to all entries.
#[rstest]
fn burst_to_empty_engines() {
    for engine in 0..15 {
        let fleet = Fleet::new(Faults::default(), engine)
            .with_demand(20_000.0, LEAD, LEAD + Duration::from_millis(100), false)
            .with_demand(300.0, LEAD, LEAD * 4, false)
            .run();
        let busiest = fleet.busiest_second();
        assert!(busiest <= BOUND, "{busiest} of {BOUND}");
        let rate = fleet.rate(LEAD, LEAD * 4);
        assert!(
            rate >= RATE * 0.95,
            "{rate} of {RATE} requests a second are used"
        );
    }
}

/// Guards against a lower throughput in the steady state, where every request needs a permit.
#[rstest]
fn steady_state() {
    let even = Fleet::new(Faults::default(), 1)
        .with_demand(11.0, LEAD, LEAD * 30, true)
        .run();
    assert_eq!(even.refused, 0);
    let random = Fleet::new(Faults::default(), 1)
        .with_demand(11.0, LEAD, LEAD * 30, false)
        .run();
    let share = f64::from(random.refused) / f64::from(random.asked);
    assert!(share < 0.05, "{share} of the requests are refused");
}

/// Most requests get through lossy links, since a lost datagram is repeated.
#[rstest]
fn lossy_links() {
    let faults = Faults {
        loss: 0.05,
        ..Faults::default()
    };
    let fleet = Fleet::new(faults, 3)
        .with_demand(11.0, LEAD, LEAD * 30, false)
        .run();
    let rate = fleet.rate(LEAD, LEAD * 30);
    assert!(rate > 9.5, "{rate} of 11 requests a second");
}

/// Guards against a second permit for a repeated datagram, and against one answer for two requests.
#[rstest]
fn repeated_request() {
    let start = Instant::now();
    let now = start + LEAD;
    let (mut permits, mut named) = (WarmupPermits::new(start), Permits::default());
    let mut ask = |nonce, from, now| {
        let permit = permits.answer(&request(nonce, 2), addr(from), &mut named, now);
        permit.wait_ms == 0
    };
    assert!(ask(1, 100, now));
    assert!(ask(1, 100, now + REPEAT_AFTER), "the same permit");
    assert!(ask(1, 101, now + REPEAT_AFTER), "of another entry");
    assert!(!ask(2, 100, now + REPEAT_AFTER), "both are issued");
    // An entry that has restarted counts from the beginning again.
    assert!(!ask(1, 100, now + Duration::from_millis(200)));
}

/// An agent that has just started may have issued all permits of the window before.
#[rstest]
fn after_start() {
    let start = Instant::now();
    let (mut permits, mut named) = (WarmupPermits::new(start), Permits::default());
    let early = permits.answer(&request(1, 20), addr(100), &mut named, start);
    assert_eq!(early.wait_ms, 1150);
    let later = start + Duration::from_millis(1150);
    let permit = permits.answer(&request(2, 20), addr(100), &mut named, later);
    assert_eq!(permit.wait_ms, 0);
}

/// A limit that the upstream names itself binds as well, and a refusal uses up no permit of the other limit.
#[rstest]
fn named_limit() {
    let start = Instant::now();
    let now = start + LEAD;
    let (mut permits, mut named) = (WarmupPermits::new(start), Permits::default());
    let mut ask = |nonce, per_second, max_in_window| {
        let named_request = PermitRequest {
            nonce: 0,
            upstream: "u".to_owned(),
            per_second,
            age_ms: 10,
            is_withdrawn: false,
            is_fallback: false,
        };
        let req = WarmupPermitRequest {
            named: Some(named_request),
            ..request(nonce, max_in_window)
        };
        permits.answer(&req, addr(100), &mut named, now).wait_ms
    };
    assert_eq!(ask(1, 2.0, 20), 0);
    assert_eq!(ask(2, 2.0, 20), 500, "the named limit is used up");
    assert_eq!(ask(3, 2.0, 1), 1150, "the warm-up limit is used up");
    // The refusals above used up no permit.
    let mut free = |nonce| {
        let req = request(nonce, 2);
        permits.answer(&req, addr(100), &mut named, now).wait_ms
    };
    assert_eq!([free(4), free(5)], [0, 1150]);
}

/// Services without a warm-up rate have no such limit.
#[rstest]
#[case::none(0.0)]
#[case::negative(-1.0)]
#[case::not_a_number(f64::NAN)]
#[case::infinite(f64::INFINITY)]
fn no_rate(#[case] per_second: f64) {
    assert_eq!(WarmupLimit::new(per_second, 1.5, 5.0), None);
}
