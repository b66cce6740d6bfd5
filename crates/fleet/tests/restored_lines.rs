//! Log lines of a registry that came back from an older copy.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use tokio::sync::watch;
use wagtailreel_fleet::{BootTime, Change, FollowConfig, NamedWeights, Sink, Topic, follow};
use wagtailreel_standins::RegistryStandin;

/// Fields of a log record.
#[derive(Clone, Debug, Default)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Logger that records all events.
struct Events(Mutex<Vec<Fields>>);

impl Log for Events {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Fields::default();
        record.key_values().visit(&mut line).unwrap();
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
    }

    fn flush(&self) {}
}

static EVENTS: Events = Events(Mutex::new(Vec::new()));

/// Returns the values of `fields` in each line of `event`.
fn lines(event: &str, fields: &[&str]) -> Vec<Vec<String>> {
    let lines = EVENTS.0.lock().unwrap_or_else(PoisonError::into_inner);
    let of_event = lines
        .iter()
        .filter(|line| line.0.get("event").is_some_and(|it| it == event));
    let values = of_event.map(|line| fields.iter().map(|it| line.0[*it].clone()).collect());
    values.collect()
}

/// Records the number of settings that are newer than those of the registry.
#[derive(Debug, Default)]
struct KeptSink(watch::Sender<Vec<usize>>);

impl Sink for KeptSink {
    fn apply(&self, _change: Change) {}

    fn confirmed(&self, _topic: Topic, _as_of: BootTime) {}

    fn settings_kept(&self, count: usize) {
        self.0.send_modify(|counts| counts.push(count));
    }
}

impl KeptSink {
    async fn until(&self, count: usize) {
        let mut counts = self.0.subscribe();
        let wait = counts.wait_for(|counts| counts.last() == Some(&count));
        let waited = tokio::time::timeout(Duration::from_secs(5), wait).await;
        waited.expect("the count in time").unwrap();
    }
}

/// Guards against a restoration, and settings that it lost, of which no line tells, or one at every read.
#[tokio::test]
async fn restoration_logged() {
    log::set_logger(&EVENTS).unwrap();
    log::set_max_level(LevelFilter::Info);
    let registry = RegistryStandin::default();
    let named = |version| NamedWeights {
        model: "epitaph".to_owned(),
        version,
    };
    registry.weights(named(4));
    registry.weights(named(5));
    let sink = Arc::new(KeptSink::default());
    let cfg = FollowConfig {
        topic: Topic::Settings,
        wait: Duration::from_millis(50),
        read_interval: Duration::from_millis(10),
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_secs(1),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    };
    let task = tokio::spawn(follow(registry.clone(), Arc::clone(&sink), cfg));
    sink.until(0).await;
    registry.restore(1);
    sink.until(1).await;
    registry.weights(named(5));
    sink.until(0).await;
    task.abort();
    let restored = lines(
        "6004",
        &["topic", "era_before", "era", "offset_before", "offset"],
    );
    assert_eq!(restored, vec![vec!["settings", "0", "1", "2", "1"]]);
    let kept = lines("6005", &["key", "version", "in_registry"]);
    assert_eq!(kept, vec![vec!["weights/epitaph", "5", "4"]]);
    assert_eq!(lines("6001", &[]), Vec::<Vec<String>>::new(), "no outage");
}
