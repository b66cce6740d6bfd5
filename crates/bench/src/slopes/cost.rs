//! What a process has used, from the kernel's accounts.

use std::time::Duration;

use snafu::ResultExt;

use crate::error::{IoSnafu, ParseSnafu, Result};

/// Clock ticks a second in which the kernel gives processor times; fixed on Linux.
const TICKS: f64 = 100.0;

/// Fields of `/proc/PID/stat` after the program's name that come before the user time.
const FIELDS_BEFORE_TIMES: usize = 11;

/// What a process has used.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Processor time, user and system together, in steps of 10 ms.
    pub cpu: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

/// Reads what the process `pid` has used.
///
/// # Errors
///
/// Returns an error if there is no such process or the kernel's text can't be read.
pub fn read_cost(pid: u32) -> Result<Cost> {
    let read = |name: &str| {
        let path = format!("/proc/{pid}/{name}");
        let what = format!("read {path}");
        std::fs::read_to_string(path).context(IoSnafu { what })
    };
    let unread = |what: &str| {
        let detail = "the kernel's text has another form".to_owned();
        ParseSnafu { what, detail }.build()
    };
    let cpu = cpu_of(&read("stat")?).ok_or_else(|| unread("/proc/PID/stat"))?;
    let memory = memory_of(&read("status")?).ok_or_else(|| unread("/proc/PID/status"))?;
    Ok(Cost { cpu, memory })
}

/// Reads user and system time; the program's name before them may contain anything, so that the
/// fields are counted from its closing parenthesis.
fn cpu_of(stat: &str) -> Option<Duration> {
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some(Duration::from_secs_f64((user + system) / TICKS))
}

fn memory_of(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * 1024)
}
