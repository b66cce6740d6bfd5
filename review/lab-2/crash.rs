//! A model engine crashes while streams run there that have no length and end with their connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::record::Record;
use crate::streams::{Callers, Demand, check};
use crate::world::{Plan, SIGKILL, Shape, World, signal};
use crate::{Outcome, Verdict};

/// Time from the start of traffic to the first crash, and from one crash to the next.
const INTERVAL: Duration = Duration::from_millis(4500);
/// How long a crashed engine is away.
const AWAY: Duration = Duration::from_millis(3000);
const CRASHES: u32 = 18;
const CALLERS: u32 = 72;
/// 24 events, which take 1.3 s.
const USAGE: &str = "640,144";
const STREAM_TIME: Duration = Duration::from_millis(1300);
const EVENTS: u32 = 24;

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let shape = Shape {
        is_unframed: true,
        batch: 1,
        is_apart: true,
    };
    let plan = Plan {
        entries: 2,
        models: vec![shape; 6],
        plain: 1,
        work: Duration::from_millis(60),
        order_attempts: 1,
    };
    let mut world = World::start(Arc::clone(record), &plan)?;
    let demand = Demand {
        callers: CALLERS,
        spread: STREAM_TIME,
        usage: USAGE,
    };
    let callers = Callers::start(&world, record, demand);
    let started = Instant::now();
    for crash in 0..CRASHES {
        std::thread::sleep((INTERVAL * (crash + 1)).saturating_sub(started.elapsed()));
        if !has_trouble {
            continue;
        }
        let number = crash as usize % plan.models.len();
        record.note(&format!(
            "crash engine={}",
            world.engines[number].engine.setup.id
        ));
        signal(&world.apart[number], SIGKILL);
        let _ = world.apart[number].wait();
        world.engines[number]
            .is_alive
            .store(false, Ordering::SeqCst);
        std::thread::sleep(AWAY);
        world.start_again(number)?;
        record.note(&format!(
            "back engine={}",
            world.engines[number].engine.setup.id
        ));
    }
    std::thread::sleep((INTERVAL * (CRASHES + 1)).saturating_sub(started.elapsed()));
    let streams = callers.end();
    let (wrong, whole) = check(&streams, EVENTS, record);
    if whole < 200 {
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
