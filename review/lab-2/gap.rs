//! Faulty engines spoil the id of one event of a stream: one engine makes an id too high, and the events before it
//! come with the same write; another one makes the id of the last event too low.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::streams::{Callers, Demand, check};
use crate::world::{Plan, Shape, World};
use crate::{Outcome, Verdict};

/// Times, counted from the start of traffic, at which two engines are at fault, and for how long.
const FAULTS_AT: [u64; 4] = [3, 11, 19, 27];
const FAULT_TIME: Duration = Duration::from_millis(5000);
/// Share of the streams of a faulty engine that are spoilt.
const SHARE: f64 = 0.02;
const PLAY_TIME: Duration = Duration::from_secs(35);
const CALLERS: u32 = 40;
/// 12 events, which take 0.7 s.
const USAGE: &str = "640,72";
const STREAM_TIME: Duration = Duration::from_millis(700);
const EVENTS: u32 = 12;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let shape = Shape {
        is_unframed: false,
        batch: 3,
        is_apart: false,
    };
    let plan = Plan {
        entries: 2,
        models: vec![shape; 4],
        plain: 1,
        work: Duration::from_millis(60),
        order_attempts: 1,
    };
    let world = World::start(Arc::clone(record), &plan)?;
    let demand = Demand {
        callers: CALLERS,
        spread: STREAM_TIME,
        usage: USAGE,
    };
    let callers = Callers::start(&world, record, demand);
    let started = Instant::now();
    for at in FAULTS_AT {
        std::thread::sleep(Duration::from_secs(at).saturating_sub(started.elapsed()));
        // Two of the four engines, each with one kind of spoilt id.
        let mut models = world.engines.iter().filter(|it| it.engine.setup.is_model);
        let share = if has_trouble { SHARE } else { 0.0 };
        if let (Some(first), Some(second)) = (models.next(), models.next()) {
            first.engine.faults.lock().unwrap().spoilt_id = share;
            second.engine.faults.lock().unwrap().spoilt_last = share;
        }
        std::thread::sleep(FAULT_TIME);
        for it in &world.engines {
            let mut faults = it.engine.faults.lock().unwrap();
            (faults.spoilt_id, faults.spoilt_last) = (0.0, 0.0);
        }
    }
    std::thread::sleep(PLAY_TIME.saturating_sub(started.elapsed()));
    let streams = callers.end();
    let (wrong, whole) = check(&streams, EVENTS, record);
    if whole < 100 {
        return Err(format!(
            "only {whole} of {} streams were whole",
            streams.len()
        ));
    }
    let without_last = streams
        .iter()
        .filter(|(_, it)| it.status == 200 && it.is_complete && !it.events().contains(&EVENTS));
    let without_last = without_last.count();
    let text = format!(
        "streams={} whole={whole} complete-with-gaps={} complete-without-last={without_last}",
        streams.len(),
        wrong - without_last
    );
    Ok(if wrong == 0 {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
