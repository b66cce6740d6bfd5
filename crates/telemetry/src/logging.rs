//! The one log format: a JSON object a line on standard error.

use std::collections::BTreeMap;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error as KvError, Key, Value, VisitSource};

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
    let process = process.to_owned();
    let env = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(env)
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
