//! Lists of digests come spoilt from the origin, as all machines come back from a loss of power.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::model::{ENTRIES, Ended, Fleet, Stream};
use crate::record::Record;

/// Machines of engines.
const SIDES: u8 = 3;
/// `recoveryS` of the bounds.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long all machines are without power.
const DOWN: Duration = Duration::from_millis(900);
/// All machines start within 0.3 s of each other.
const START_SPREAD: Duration = Duration::from_millis(280);
/// When the first machine of an engine starts.
const FIRST_SIDE: Duration = Duration::from_millis(130);
/// How long requests are counted before the fault, and after the recovery.
const COUNTED: Duration = Duration::from_secs(10);

/// Lists of digests that are spoilt, if as many are asked for: 2 of the about 100 answers that the origin gives in
/// the run after the fault. The site file has a share of 0.04.
const SPOILT_LISTS: u32 = 2;

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::start(dir, record, SIDES)?;
    let clients = fleet.start_clients(record);
    let begun = Instant::now();
    thread::sleep(COUNTED);
    let before = Share::of(&clients.sent(begun, Instant::now()));
    record.say(&format!("before the fault {before}"));

    // The final fault comes right after a configuration was acknowledged.
    fleet.configure(2);
    for engine in &fleet.engines {
        engine.power_off();
    }
    for process in &mut fleet.processes {
        process.kill();
    }
    record.say("all machines have lost their power");
    let (answers, _) = fleet.origin.answers();
    if has_trouble {
        fleet.origin.spoil_next(SPOILT_LISTS);
    }
    thread::sleep(DOWN);
    for engine in &fleet.engines {
        engine.power_on();
    }
    // Any order is possible: first the machines of the entries, then that of one engine, and last the others.
    let started = Instant::now();
    for (number, process) in fleet.processes.iter_mut().enumerate() {
        let due = match number.checked_sub(usize::from(ENTRIES)) {
            None => Duration::ZERO,
            Some(0) => FIRST_SIDE,
            Some(_) => START_SPREAD,
        };
        thread::sleep(due.saturating_sub(started.elapsed()));
        process.restart()?;
    }
    let back = Instant::now();
    record.say("all machines are back");
    thread::sleep(RECOVERY + COUNTED);
    let after = Share::of(&clients.sent(back + RECOVERY, Instant::now()));
    clients.stop();
    let held: Vec<_> = fleet.engines.iter().map(|engine| engine.version()).collect();
    record.say(&format!(
        "later than {} s after the machines were back {after}; the origin has spoilt {} of {} answers \
         since the fault; versions that the engines hold: {held:?}; runs: {:?}",
        RECOVERY.as_secs(),
        fleet.origin.answers().1,
        fleet.origin.answers().0 - answers,
        fleet.engines.iter().map(|engine| engine.runs()).collect::<Vec<_>>(),
    ));
    if before.served * 4 < before.sent || before.sent < 20 {
        return Err(io::Error::other("too little was served before the fault"));
    }
    Ok(after.served * 4 < after.sent)
}

struct Share {
    served: usize,
    sent: usize,
}

impl Share {
    fn of(ended: &[Ended]) -> Self {
        Self {
            served: ended.iter().filter(|it| it.stream == Stream::Whole).count(),
            sent: ended.len(),
        }
    }
}

impl std::fmt::Display for Share {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {} requests are served", self.served, self.sent)
    }
}
