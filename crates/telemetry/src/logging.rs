//! The one log format: a JSON object a line.

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

/// Starts logging to standard error; `RUST_LOG` sets the level, `info` without it.
///
/// `process` is the name that each line carries. A second call changes nothing.
pub fn init_logging(process: &str) {
    start(process, None);
}

/// Starts logging to `target`, or to standard error.
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
            // A record whose pairs can't be read is still worth its message.
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
        log::debug!("logging was started before");
    }
}

/// Starts logging to standard output, in the same format, without ever holding up the process:
/// lines beyond a budget, or beyond what standard output takes, are left out and counted.
///
/// The guard is to be kept until the process has done its work; it writes the last lines.
///
/// # Errors
///
/// Returns what the system says if the thread that writes can't be started.
pub fn init_stdout_logging(process: &str) -> std::io::Result<LogGuard> {
    let (lines, guard) = LogWriter::start(std::io::stdout())?;
    start(process, Some(Target::Pipe(Box::new(lines))));
    Ok(guard)
}
