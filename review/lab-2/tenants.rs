//! The operator takes the keys of the only tenant away by a version without the tenant.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::client::Client;
use crate::record::Record;
use crate::world::{FRAMED, KEY, Plan, World, config};
use crate::{Outcome, Verdict};

const REVOKE: Duration = Duration::from_millis(5000);
const DEADLINE: Duration = Duration::from_millis(4000);
const PLAY_TIME: Duration = Duration::from_secs(16);
const REVOKED_AT: Duration = Duration::from_secs(4);
/// A key that no configuration holds.
const FOREIGN_KEY: &str = "zzzzzzzzzzzzzzzzzzzz";
const OTHER_KEY: &str = "bvk9m68k7b2ex5wa5xwy";

pub fn play(record: &Arc<Record>, has_trouble: bool) -> Outcome {
    let plan = Plan {
        entries: 2,
        models: vec![FRAMED],
        plain: 3,
        work: Duration::from_millis(60),
        order_attempts: 1,
    };
    let world = World::start(Arc::clone(record), &plan)?;
    let mut clients: Vec<Client> = (1..=2).map(|it| Client::new(world.callers(it))).collect();
    let started = Instant::now();
    let mut revoked_at = None;
    let mut calls = Vec::new();
    let mut number = 0;
    while started.elapsed() < PLAY_TIME {
        if revoked_at.is_none() && started.elapsed() >= REVOKED_AT {
            // Without the disruption the new version keeps the tenant and one of its keys, and takes the other.
            let next = if has_trouble {
                config(2, world.port, 1, &[KEY]).replace(&tenant(KEY), "")
            } else {
                config(2, world.port, 1, &[OTHER_KEY])
            };
            record.note(&format!("put op/config {next}"));
            world.store.put("keyed.op", "config", &next);
            revoked_at = Some(Instant::now());
            record.note("acknowledged: the key is taken away");
        }
        for (client, entry) in clients.iter_mut().zip(1..) {
            for key in [KEY, FOREIGN_KEY] {
                number += 1;
                let attempt = format!("{:016x}", 0x9000_0000_u32 + number);
                let headers = format!("Attempt-Id: {attempt}\r\nCredential: {key}\r\n");
                let since = revoked_at.map(|at| at.elapsed());
                let answer = client.call("POST", "/order/cut", &headers, "slab", DEADLINE);
                record.note(&format!(
                    "answer entry={entry} attempt={attempt} key={key} sent-after-ms={:?} status={}",
                    since.map(|it| it.as_millis()),
                    answer.status
                ));
                calls.push((attempt, key, since, answer.status));
            }
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let before = calls
        .iter()
        .filter(|(_, key, since, status)| *key == KEY && since.is_none() && *status == 200);
    if before.count() < 10 {
        return Err("the key didn't work before it was taken away".to_owned());
    }
    let has_run = |attempt: &str| !record.runs_of(attempt).is_empty();
    let late = |since: &Option<Duration>| since.is_some_and(|it| it > REVOKE);
    let revoked = calls
        .iter()
        .filter(|(id, key, since, _)| *key == KEY && late(since) && has_run(id))
        .count();
    let foreign = calls
        .iter()
        .filter(|(id, key, ..)| *key == FOREIGN_KEY && has_run(id))
        .count();
    let text = format!(
        "calls={} CONFIG run-with-revoked-key={revoked} ROUTE run-with-unknown-key={foreign}",
        calls.len()
    );
    Ok(if revoked + foreign > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Returns the only tenant as the configuration has it.
fn tenant(key: &str) -> String {
    format!("{{\"name\":\"bozi300\",\"apiKeys\":[\"{key}\"],\"priority\":1}}")
}
