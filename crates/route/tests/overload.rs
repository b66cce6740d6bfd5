//! Which requests are admitted, wait, or are displaced by a higher priority.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Write as _;
use std::time::{Duration, Instant};

use insta::assert_snapshot;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use wagtailreel_core::Priority;
use wagtailreel_route::{Overload, OverloadConfig, QueueEvent};

fn write_events(text: &mut String, events: Vec<QueueEvent>) {
    for event in events {
        match event {
            QueueEvent::Admit(id) => writeln!(text, "    waiter {id} is admitted").unwrap(),
            QueueEvent::Reject(id, reason, retry_after) => {
                let ms = retry_after.as_millis();
                writeln!(
                    text,
                    "    waiter {id} is refused: {reason}, retry after {ms} ms"
                )
                .unwrap();
            }
        }
    }
}

/// A full queue refuses its last waiter of lower priority in favour of a new request.
#[test]
fn full_queue_drops_lower_priority() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut text = String::new();
    let mut overload = Overload::new(OverloadConfig {
        initial_mean: Duration::from_millis(200),
        ..OverloadConfig::default()
    });
    overload.set_capacity(10, 0);
    let low = (Priority::Low, None);
    let normal = (Priority::Normal, None);
    let high = (Priority::High, None);
    let short_deadline = (Priority::Low, Some(Duration::from_millis(20)));
    let arrivals = [
        vec![low; 10],
        vec![short_deadline],
        vec![normal; 5],
        vec![high; 5],
        vec![low],
    ];
    for (priority, deadline) in arrivals.concat() {
        let deadline = deadline.map(|wait| start + wait);
        let (admission, event) = overload.arrive(priority, deadline, start, &mut rng);
        writeln!(text, "{priority} arrives: {admission:?}").unwrap();
        write_events(&mut text, event.into_iter().collect());
    }
    for _ in 0..4 {
        writeln!(text, "one request ends").unwrap();
        write_events(&mut text, overload.finish(Some(Duration::from_millis(200))));
    }
    writeln!(text, "another entry is reported to use 5").unwrap();
    write_events(&mut text, overload.set_capacity(10, 5));
    let (admission, _) = overload.arrive(Priority::Normal, None, start, &mut rng);
    writeln!(text, "normal arrives: {admission:?}").unwrap();
    writeln!(text, "its maximum wait is over").unwrap();
    write_events(
        &mut text,
        overload.tick(start + Duration::from_secs(1), &mut rng),
    );
    assert_eq!(overload.waiting(), 0);
    assert_snapshot!(text);
}

/// A waiter whose caller disconnected is not admitted when capacity becomes free.
#[test]
fn cancelled_waiter_not_admitted() {
    let start = Instant::now();
    let mut rng = StdRng::seed_from_u64(3);
    let mut overload = Overload::new(OverloadConfig::default());
    overload.set_capacity(1, 0);
    overload.arrive(Priority::High, None, start, &mut rng);
    overload.arrive(Priority::High, None, start, &mut rng);
    assert_eq!(overload.waiting(), 1);
    assert!(overload.cancel(1));
    assert_eq!(overload.finish(None), []);
    assert_eq!(overload.in_flight(), 0);
}
