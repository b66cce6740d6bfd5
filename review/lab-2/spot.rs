//! An engine is emptied and taken away at short notice: it says that it leaves, and is gone 2 s later, while
//! streams run there that have no length and end with their connection.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::streams::{Callers, Demand, check};
use crate::world::{Plan, SIGKILL, Shape, World, signal};
use crate::{Outcome, Verdict};

/// Time between the notice and the end of the engine.
const NOTICE: Duration = Duration::from_millis(2000);
const NOTICE_AT: Duration = Duration::from_secs(5);
const PLAY_TIME: Duration = Duration::from_secs(12);
const CALLERS: u32 = 70;
/// 48 events, which take 2.5 s.
const USAGE: &str = "640,288";
const STREAM_TIME: Duration = Duration::from_millis(2500);
const EVENTS: u32 = 48;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let shape = Shape {
        is_unframed: true,
        batch: 1,
        is_apart: true,
    };
    let plan = Plan {
        entries: 2,
        models: vec![shape; 7],
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
    std::thread::sleep(NOTICE_AT);
    if has_trouble {
        let leaving = &world.engines[0];
        record.note(&format!(
            "engine={} says that it leaves",
            leaving.engine.setup.id
        ));
        leaving.set_state(&world.store, "draining");
        std::thread::sleep(NOTICE);
        signal(&world.apart[0], SIGKILL);
        record.note(&format!("engine={} is gone", leaving.engine.setup.id));
        leaving.remove(&world.store);
    }
    std::thread::sleep(PLAY_TIME.saturating_sub(started.elapsed()));
    let streams = callers.end();
    let (wrong, whole) = check(&streams, EVENTS, record);
    if whole < 20 {
        return Err(format!(
            "only {whole} of {} streams were whole",
            streams.len()
        ));
    }
    let text = format!(
        "streams={} whole={whole} ended-short-as-complete={wrong}",
        streams.len()
    );
    Ok(if wrong == 0 {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}
