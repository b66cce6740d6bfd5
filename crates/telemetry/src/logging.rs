//! The log format of all processes: one JSON object per line.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::Target;
use log::kv::{Error as KvError, Key, Value, VisitSource};

use crate::stdout::{LogGuard, LogWriter};

/// Collects a record's pairs in the order of their keys.
#[derive(Default)]
struct Pairs(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Starts logging to standard error. `RUST_LOG` sets the level; the default is `info`.
///
/// `process` is the process name in each line. A second call has no effect.
pub fn init_logging(process: &str) {
    start(process, None);
}

/// Starts logging to `target`, or to standard error if there is none.
fn start(process: &str, target: Option<Target>) {
    let process = process.to_owned();
    let env = env_logger::Env::default().default_filter_or("info");
    let mut builder = env_logger::Builder::from_env(env);
    if let Some(target) = target {
        builder.target(target);
    }
    let started = builder
        .format(move |buf, record| {
            let mut pairs = Pairs::default();
            // If the pairs can't be read, the message is still logged.
            let _ = record.key_values().visit(&mut pairs);
            let at = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let line = serde_json::json!({
                "at": at.as_secs_f64(),
                "level": record.level().as_str(),
                "process": process,
                "target": record.target(),
                "message": record.args().to_string(),
                "fields": pairs.0,
            });
            writeln!(buf, "{line}")
        })
        .try_init();
    if started.is_err() {
        log::debug!("logging is already initialized");
    }
}

/// Starts logging to standard output in the same format, without blocking the process.
///
/// Lines over the rate limit, and lines that do not fit into the queue, are dropped and counted. Keep the
/// guard until the process has done its work: on drop it waits until the last lines are written.
///
/// # Errors
///
/// Returns the system's error if the writer thread can't be started.
pub fn init_stdout_logging(process: &str) -> std::io::Result<LogGuard> {
    let (lines, guard) = LogWriter::start(std::io::stdout())?;
    start(process, Some(Target::Pipe(Box::new(lines))));
    Ok(guard)
}
