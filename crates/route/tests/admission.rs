//! Admission control by rank: the decision and the level of one entry.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;
use wagtailreel_route::direct::{Admission, Class, Decision, Offer, choice_objective};

const URGENT: Class = class(0, false);
const USUAL: Class = class(1, false);
const LEAST: Class = class(2, false);

const fn class(rank: u8, is_late: bool) -> Class {
    Class { rank, is_late }
}

fn offer(class: Class, millis: u64, draw: f64) -> Offer {
    Offer {
        class,
        engine_time: Duration::from_millis(millis),
        load: 1.0,
        draw,
    }
}

/// Offers the classes in turn for 3 s, while `full` in 20 of the first choices of the least urgent rank find no
/// engine. Returns the
/// admission and its time.
fn overloaded(classes: &[(Class, u64)], full: u32) -> (Admission, Instant) {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    let failing = classes.iter().map(|(class, _)| class.rank).max().unwrap();
    for turn in 0..300 {
        now += Duration::from_millis(10);
        for (class, millis) in classes {
            admission.decide(offer(*class, *millis, 0.0), now);
        }
        admission.record_choice(failing, turn % 20 < full, now);
    }
    (admission, now)
}

fn decide(admission: &Admission, class: Class, now: Instant) -> Decision {
    admission.clone().decide(offer(class, 100, 1.0), now)
}

/// Under overload the most urgent class is admitted first, and others only from what is left.
#[rstest]
fn urgent_first() {
    let (admission, now) = overloaded(&[(URGENT, 100), (USUAL, 100), (LEAST, 100)], 5);
    let share = |class| decide(&admission, class, now).class_share;
    let level = decide(&admission, URGENT, now).level;
    println!(
        "level {level}, shares {} {} {}",
        share(URGENT),
        share(USUAL),
        share(LEAST)
    );
    assert!((0.3..0.9).contains(&level), "{level}");
    assert!(share(URGENT) > 0.99, "{}", share(URGENT));
    assert!(share(USUAL) >= share(LEAST), "{}", share(USUAL));
    let mean = (share(URGENT) + share(USUAL) + share(LEAST)) / 3.0;
    assert!(
        (mean - level).abs() < 0.02,
        "the level is the admitted share: {mean}"
    );
}

/// No class that may be in time is starved, even if more urgent ones use all that there is, and a class of
/// long answers has the same floor by count as one of short answers.
#[rstest]
#[case::short_answers(20)]
#[case::long_answers(400)]
fn floor(#[case] least: u64) {
    let classes = [
        (URGENT, 100),
        (class(0, true), 100),
        (LEAST, least),
        (class(2, true), least),
    ];
    let (admission, now) = overloaded(&classes, 18);
    let shares: Vec<f64> = classes
        .iter()
        .map(|(class, _)| decide(&admission, *class, now).class_share)
        .collect();
    let overall = shares.iter().sum::<f64>() / 4.0;
    println!("{shares:?}");
    assert!(shares[2] >= 0.28 * overall, "{shares:?}");
    assert!(shares[3] >= 0.09 * overall, "{shares:?}");
    assert!(
        shares[3] < shares[2] / 2.0,
        "late ones have a lower floor: {shares:?}"
    );
}

/// Within a rank, a request that can't be in time any more comes after those that can.
#[rstest]
fn late_after_in_time() {
    let late = class(0, true);
    let (admission, now) = overloaded(&[(URGENT, 100), (late, 100)], 6);
    let share = |class| decide(&admission, class, now).class_share;
    assert!(
        share(URGENT) > 2.0 * share(late),
        "{} {}",
        share(URGENT),
        share(late)
    );
}

/// Without full engines nothing is shed, whatever the level is.
#[rstest]
fn not_below_load() {
    let (mut admission, now) = overloaded(&[(URGENT, 100), (LEAST, 100)], 10);
    let at = |load| Offer {
        load,
        ..offer(LEAST, 100, 0.999)
    };
    assert!(admission.decide(at(0.84), now).is_admitted);
    assert!(!admission.decide(at(0.86), now).is_admitted);
}

/// Requests of one class are admitted alike, whatever their size, in the share that the decision tells.
#[rstest]
fn draw_by_request() {
    let (admission, now) = overloaded(&[(URGENT, 100), (LEAST, 100)], 8);
    for millis in [10, 100, 1000] {
        let draws = (0..1000).map(|draw| f64::from(draw) / 1000.0);
        let admitted = draws.filter(|draw| {
            let mut admission = admission.clone();
            admission
                .decide(offer(LEAST, millis, *draw), now)
                .is_admitted
        });
        let admitted = f64::from(u32::try_from(admitted.count()).unwrap()) / 1000.0;
        let share = admission
            .clone()
            .decide(offer(LEAST, millis, 1.0), now)
            .class_share;
        assert!((admitted - share).abs() < 0.002, "{admitted} {share}");
    }
}

/// Runs an entry with `rate` requests a second for `span`, of which those above `capacity`, a share of the
/// offered load, find no engine. Returns the admission, its mean level in the last half of the span, and the
/// end.
fn entry_under(rate: u32, capacity: f64, span: Duration, seed: u64) -> (Admission, f64, Instant) {
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let mut admission = Admission::new(start);
    let mut next = start;
    let (mut sum, mut count) = (0.0, 0.0);
    let steps = u32::try_from(span.as_millis() / 10).unwrap();
    for step in 0..steps {
        let now = start + Duration::from_millis(10) * step;
        let level = admission.level(now);
        if step >= steps / 2 {
            sum += level;
            count += 1.0;
        }
        while next <= now {
            next += Duration::from_secs_f64(2.0 * rng.random::<f64>() / f64::from(rate));
            if admission
                .decide(offer(URGENT, 100, rng.random()), now)
                .is_admitted
            {
                admission.record_choice(URGENT.rank, rng.random::<f64>() > capacity / level, now);
            }
        }
    }
    (admission, sum / count, start + span)
}

/// An entry with one request a second moves its level much like one with 100: both fall under an overload, and
/// both are back within 3 s of its end. With steps by request it would hardly move at all.
#[rstest]
fn few_and_many_requests() {
    let span = Duration::from_secs(10);
    let mean = |rate| {
        let levels = (0..100).map(|seed| entry_under(rate, 0.5, span, seed).1);
        levels.sum::<f64>() / 100.0
    };
    let (few, many) = (mean(1), mean(100));
    println!("mean level {few} with 1 and {many} with 100 requests a second");
    assert!((few - many).abs() < 0.2, "{few} {many}");
    for rate in [1, 100] {
        let (mut admission, _, end) = entry_under(rate, 0.5, span, 1);
        let mut at = end;
        while at < end + Duration::from_millis(2900) {
            admission.record_choice(URGENT.rank, false, at);
            at += Duration::from_secs(1) / rate;
        }
        let level = admission.level(end + Duration::from_secs(3));
        assert!(level > 0.99, "{rate}: {level}");
    }
}

/// A single failure at an entry without other requests sheds little and is soon forgotten.
#[rstest]
fn single_failure() {
    let start = Instant::now();
    let mut admission = Admission::new(start);
    let now = start + Duration::from_secs(60);
    admission.record_choice(URGENT.rank, true, now);
    let level = admission.level(now + Duration::from_millis(200));
    assert!(level > 0.8, "{level}");
    assert!(admission.level(now + Duration::from_secs(6)) > 0.99);
}

/// Levels of 35 entries, whose first choices fail by what was admitted up to 300 ms ago, in each step of
/// 20 ms. The offered load is `overload` times the capacity from 0 to 12 s, and half of the capacity then.
fn fleet_levels(overload: f64) -> Vec<f64> {
    const STEP: Duration = Duration::from_millis(20);
    let mut rng = StdRng::seed_from_u64(7);
    let mut now = Instant::now();
    let mut entries: Vec<Admission> = (0..35).map(|_| Admission::new(now)).collect();
    let mut admitted: VecDeque<f64> = VecDeque::from(vec![0.0; 16]);
    let mut levels = Vec::new();
    for step in 0..900 {
        now += STEP;
        let load = if step < 600 { overload } else { 0.5 };
        let mut sum = 0.0;
        for (place, entry) in entries.iter_mut().enumerate() {
            // Rates differ fourfold between entries, and are 20 per second on average.
            let rate = 20.0 * (0.4 + 1.2 * place as f64 / 34.0);
            if rng.random::<f64>() > rate * STEP.as_secs_f64() {
                continue;
            }
            let rank = rng.random_range(0..3);
            let asked = offer(class(rank, false), 100, rng.random());
            if entry.decide(asked, now).is_admitted {
                let seen = admitted[rng.random_range(0..15)];
                let full = (1.0 - 1.0 / seen.max(1.0)).max(0.0);
                entry.record_choice(rank, rng.random::<f64>() < full, now);
                sum += load / (35.0 * 20.0 * STEP.as_secs_f64());
            }
        }
        // Queues smooth the load over about 0.1 s.
        let smooth = admitted[0] + 0.2 * (sum - admitted[0]);
        admitted.push_front(smooth);
        admitted.pop_back();
        levels.push(entries.iter_mut().map(|it| it.level(now)).sum::<f64>() / 35.0);
    }
    levels
}

/// Steady overload: the mean level settles near the share that can be served, though the entries' figures are
/// up to 300 ms old, and is back at 1 within 3 s of its end.
#[rstest]
fn steady_overload() {
    let levels = fleet_levels(1.35);
    let steady = &levels[200..600];
    let mean = steady.iter().sum::<f64>() / 400.0;
    let (low, high) = steady.iter().fold((1.0f64, 0.0f64), |(low, high), it| {
        (low.min(*it), high.max(*it))
    });
    println!("mean {mean}, {low} to {high}, 3 s later {}", levels[750]);
    assert!((0.7..0.85).contains(&mean), "{mean}");
    assert!(high - low < 0.15, "{low} to {high}");
    assert!(levels[750] > 0.98, "{}", levels[750]);
}

/// Failures of less urgent ranks take nothing from the urgent ones, however long they last.
#[rstest]
fn failures_of_the_less_urgent() {
    let mut now = Instant::now();
    let mut admission = Admission::new(now);
    for turn in 0..1000 {
        now += Duration::from_millis(10);
        for class in [URGENT, LEAST] {
            admission.decide(offer(class, 100, 0.0), now);
        }
        admission.record_choice(URGENT.rank, false, now);
        admission.record_choice(LEAST.rank, turn % 5 < 4, now);
    }
    let share = |class| decide(&admission, class, now).class_share;
    println!("urgent {} least {}", share(URGENT), share(LEAST));
    assert!(share(URGENT) > 0.97, "{}", share(URGENT));
    assert!(share(LEAST) < 0.3, "{}", share(LEAST));
}

/// A less urgent request keeps away from the queues in which an urgent one has to find room.
#[rstest]
#[case::most_urgent(400, None, 400)]
#[case::longer_than_urgent(1000, Some(400), 240)]
#[case::shorter_than_urgent(100, Some(400), 100)]
fn objective_of_the_choice(#[case] own: u64, #[case] urgent: Option<u64>, #[case] chosen: u64) {
    let urgent = urgent.map(Duration::from_millis);
    let objective = choice_objective(Duration::from_millis(own), urgent);
    assert_eq!(objective, Duration::from_millis(chosen));
}

/// Refused callers of less urgent classes come back later, all within a third of their time.
#[rstest]
fn retry_delays() {
    let (admission, now) = overloaded(&[(URGENT, 100), (LEAST, 100)], 8);
    let left = Duration::from_secs(3);
    let delay = |class, draw| decide(&admission, class, now).retry_after(draw, left);
    assert!(delay(URGENT, 0.5) < delay(LEAST, 0.5));
    assert!(delay(LEAST, 1.0) <= left / 3);
    assert!(delay(URGENT, 0.0) > Duration::ZERO);
    assert!(
        delay(LEAST, 1.0) - delay(LEAST, 0.0) > Duration::from_millis(400),
        "spread"
    );
}

/// A few requests on a route of another rank must not switch the admission control on.
#[rstest]
#[case::one_rank(&[1; 40], false)]
#[case::one_check(&[&[0; 1][..], &[1; 39]].concat(), false)]
#[case::competing(&[&[0; 8][..], &[1; 32]].concat(), true)]
fn several_ranks(#[case] ranks: &[u8], #[case] competes: bool) {
    let now = Instant::now();
    let mut admission = Admission::new(now);
    for rank in ranks {
        admission.count_rank(*rank, now);
    }
    assert_eq!(admission.has_several_ranks(), competes);
    let later = now + Duration::from_secs(60);
    for _ in 0..40 {
        admission.count_rank(1, later);
    }
    assert!(!admission.has_several_ranks(), "the others are over");
}
