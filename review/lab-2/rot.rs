//! A chunk that lies at an engine turns bad while newer weights are handed to it, and the engine falls silent for
//! about a second before it reads the order to load them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::engine::MODEL;
use crate::record::Record;
use crate::world::{FRAMED, KEY, Plan, World};
use crate::{Outcome, Verdict};

/// An engine stores a chunk between two of its passes.
const PUT_TIME: Duration = Duration::from_millis(38);
const SILENCE: Duration = Duration::from_millis(1300);
const NAMED_AT: Duration = Duration::from_secs(2);
const PLAY_TIME: Duration = Duration::from_secs(18);
const DEADLINE: Duration = Duration::from_millis(6000);

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        entries: 2,
        models: vec![FRAMED; 2],
        plain: 1,
        work: Duration::from_millis(60),
        order_attempts: 1,
    };
    let world = World::start(Arc::clone(record), &plan)?;
    let models: Vec<_> = world
        .engines
        .iter()
        .filter(|it| it.engine.setup.is_model)
        .collect();
    for it in &models {
        it.engine.faults.lock().unwrap().put_time = PUT_TIME;
    }
    {
        // One of the two engines; without the disruption it is silent too, which is no trouble.
        let mut faults = models[0].engine.faults.lock().unwrap();
        faults.rots = has_trouble;
        faults.silence = SILENCE;
    }
    let mut clients: Vec<Client> = (1..=2).map(|it| Client::new(world.callers(it))).collect();
    let started = Instant::now();
    let mut is_named = false;
    let (mut number, mut whole) = (0, 0);
    while started.elapsed() < PLAY_TIME {
        if !is_named && started.elapsed() >= NAMED_AT {
            is_named = true;
            let naming = format!("{{\"model\":\"{MODEL}\",\"version\":2}}");
            world
                .store
                .put("keyed.op", &format!("version/{MODEL}"), &naming);
            record.note("acknowledged: version 2 is named");
        }
        for client in &mut clients {
            number += 1;
            let attempt = format!("{:016x}", 0xb000_0000_u32 + number);
            let headers = format!(
                "Attempt-Id: {attempt}\r\nCredential: {KEY}\r\nModel: {MODEL}\r\nToken-Usage: 640,12\r\n\
                 Prompt-Prefix: 5c1e07a2:40,{number:08x}:600\r\n"
            );
            let answer = client.call("POST", "/draft/text", &headers, "prompt", DEADLINE);
            whole += u32::from(answer.is_complete && answer.status == 200);
            record.note(&format!(
                "answer attempt={attempt} status={} complete={} version={} stamp={}",
                answer.status,
                answer.is_complete,
                answer.head.get("weight-versions").unwrap_or(""),
                answer.head.get("response-stamp").unwrap_or("")
            ));
            if answer.status != 200 {
                std::thread::sleep(Duration::from_millis(200));
            }
        }
    }
    let loaded = models
        .iter()
        .all(|it| it.engine.version.load(Ordering::SeqCst) == 2);
    if whole < 20 || !loaded {
        return Err(format!(
            "{whole} of {number} streams were whole; version 2 loaded everywhere: {loaded}"
        ));
    }
    let spoilt = record.spoilt_tokens();
    let text = format!("streams={number} whole={whole} written-with-spoilt-weights={spoilt}");
    Ok(if spoilt > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}
