//! Engines state the length of their streams, and one of them crashes.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::model::{Fleet, Stream};
use crate::record::Record;

/// Machines of engines. One of six is less than the share of 0.17 of the engines that crash in the site file.
const SIDES: u8 = 6;

/// How long an engine is down after a crash; the site file has up to 6 s.
const DOWN: Duration = Duration::from_millis(3000);

/// Crashes, each of one engine, the next one 2 s after the last is back.
const CRASHES: usize = 6;

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(dir, record, SIDES)?;
    for engine in &fleet.engines {
        engine.states_lengths.store(true, Ordering::Relaxed);
    }
    let clients = fleet.start_clients(record);
    let begun = Instant::now();
    for crash in 0..CRASHES {
        thread::sleep(Duration::from_secs(4));
        let engine = &fleet.engines[crash % fleet.engines.len()];
        if has_trouble {
            engine.crash();
        }
        thread::sleep(DOWN);
        if has_trouble {
            engine.start_again();
        }
    }
    thread::sleep(Duration::from_secs(2));
    let ended = clients.sent(begun, Instant::now());
    clients.stop();
    let count = |is: fn(&Stream) -> bool| ended.iter().filter(|it| is(&it.stream)).count();
    let whole = count(|it| *it == Stream::Whole);
    let other = count(|it| *it == Stream::None);
    let mut spoilt = 0;
    for it in &ended {
        if let Stream::Spoilt(text) = &it.stream {
            spoilt += 1;
            let end = text.len().saturating_sub(60);
            record.say(&format!(
                "{} got a complete answer that ends inside the stream, with {:?}",
                it.id,
                text.get(end..).unwrap_or(text)
            ));
        }
    }
    record.say(&format!(
        "{whole} whole streams, {spoilt} that end as complete before their last piece, {other} without \
         a complete answer"
    ));
    if whole < 20 {
        return Err(io::Error::other("too little was served"));
    }
    Ok(spoilt > 0)
}
