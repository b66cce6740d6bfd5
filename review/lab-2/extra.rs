//! A faulty engine sends a second answer behind a complete one: a refusal, which names no request. It arrives
//! late, where the answer to the next request on its connection is expected.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::client::{Answer, Client};
use crate::record::Record;
use crate::world::{DESK, FRAMED, KEY, Plan, World};
use crate::{Outcome, Verdict};

/// Times, counted from the start of traffic, at which an engine is at fault, and for how long.
const FAULTS_AT: [u64; 4] = [4, 14, 24, 34];
const FAULT_TIME: Duration = Duration::from_millis(5000);
/// Share of the answers of the faulty engine that have a second answer behind them.
const SHARE: f64 = 0.03;
const PLAY_TIME: Duration = Duration::from_secs(44);
const CALLERS: u32 = 16;
/// Time between two requests of one caller.
const INTERVAL: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(4000);

struct Order {
    attempt: String,
    answer: Answer,
}

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        entries: 2,
        models: vec![FRAMED],
        plain: 3,
        work: Duration::from_millis(60),
        order_attempts: 2,
    };
    let world = World::start(Arc::clone(record), &plan)?;
    let ends = Arc::new(AtomicBool::new(false));
    let orders: Arc<Mutex<Vec<Order>>> = Arc::default();
    let numbers = Arc::new(AtomicU32::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let mut client = Client::new(world.callers((caller % 2) as u8 + 1));
            let (ends, orders) = (Arc::clone(&ends), Arc::clone(&orders));
            let (numbers, record) = (Arc::clone(&numbers), Arc::clone(record));
            std::thread::spawn(move || {
                std::thread::sleep(INTERVAL * caller / CALLERS);
                while !ends.load(Ordering::SeqCst) {
                    let began = Instant::now();
                    let number = numbers.fetch_add(1, Ordering::SeqCst);
                    // Two of three requests are orders, which may run once at most.
                    let is_order = number % 3 != 0;
                    let attempt = format!("{:016x}", 0x6000_0000 + number);
                    let headers = format!("Attempt-Id: {attempt}\r\nCredential: {KEY}\r\n");
                    let answer = if is_order {
                        client.call("POST", "/order/cut", &headers, "slab", DEADLINE)
                    } else {
                        client.call("GET", "/price/day", &headers, "", DEADLINE)
                    };
                    record.note(&format!(
                        "answer attempt={attempt} order={is_order} status={} complete={} ms={} {}",
                        answer.status, answer.is_complete, answer.took_ms, answer.error
                    ));
                    if is_order {
                        orders.lock().unwrap().push(Order { attempt, answer });
                    }
                    std::thread::sleep(INTERVAL.saturating_sub(began.elapsed()));
                }
            })
        })
        .collect();
    let started = Instant::now();
    let desks: Vec<_> = world
        .engines
        .iter()
        .filter(|it| !it.engine.setup.is_model)
        .collect();
    for (at, desk) in FAULTS_AT.iter().zip(desks.iter().cycle()) {
        std::thread::sleep(Duration::from_secs(*at).saturating_sub(started.elapsed()));
        if has_trouble {
            record.note(&format!(
                "fault begins service={DESK} engine={}",
                desk.engine.setup.id
            ));
            desk.engine.faults.lock().unwrap().extra_refusal = SHARE;
        }
        std::thread::sleep(FAULT_TIME);
        desk.engine.faults.lock().unwrap().extra_refusal = 0.0;
        record.note("fault ends");
    }
    std::thread::sleep(PLAY_TIME.saturating_sub(started.elapsed()));
    ends.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    // An engine may still work on what was sent.
    std::thread::sleep(Duration::from_millis(300));
    let orders = orders.lock().unwrap();
    let answered = orders.iter().filter(|it| it.answer.status == 200).count();
    if answered < 100 {
        return Err(format!(
            "only {answered} of {} orders were answered",
            orders.len()
        ));
    }
    let (mut twice, mut refused) = (0, 0);
    for order in orders.iter() {
        let runs = record.runs_of(&order.attempt);
        let engines: Vec<_> = runs
            .iter()
            .map(|it| format!("{} at {}", it.engine, it.at_ms))
            .collect();
        let status = order.answer.status;
        if runs.len() > 1 {
            twice += 1;
            record.note(&format!(
                "TWICE attempt={} status={status} runs: {}",
                order.attempt,
                engines.join(", ")
            ));
        }
        if !runs.is_empty() && [408, 421, 429, 503].contains(&status) {
            refused += 1;
            record.note(&format!(
                "REFUSED attempt={} status={status} runs: {}",
                order.attempt,
                engines.join(", ")
            ));
        }
    }
    let text = format!(
        "orders={} twice={twice} refused-and-run={refused}",
        orders.len()
    );
    Ok(if twice + refused > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
