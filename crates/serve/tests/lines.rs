//! A connection that is still open when the process exits is logged too.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

#[allow(dead_code, reason = "shared by the tests of this crate")]
mod common;

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use common::{Caller, DelayedHandler, GET, server};
use log::kv::{Error, Key, Value, VisitSource};
use log::{LevelFilter, Log, Metadata, Record};
use wagtailreel_serve::Phase;

/// Fields of a log record.
#[derive(Clone, Debug, Default)]
struct Fields(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Logger that records the connection-ended events.
struct EndEvents(Mutex<Vec<Fields>>);

impl Log for EndEvents {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Fields::default();
        record.key_values().visit(&mut line).unwrap();
        if line.0.get("event").is_some_and(|event| event == "6301") {
            let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(line);
        }
    }

    fn flush(&self) {}
}

static END_EVENTS: EndEvents = EndEvents(Mutex::new(Vec::new()));

/// One connection has a request in progress; the other was refused and is kept open by its caller.
#[test]
fn process_exit() {
    log::set_logger(&END_EVENTS).unwrap();
    log::set_max_level(LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let callers = runtime.block_on(async {
        let server = server(DelayedHandler::new(Duration::from_secs(60))).await;
        let mut busy = Caller::connect(server.addr).await;
        busy.send(GET);
        busy.head().await;
        let mut refused = Caller::connect(server.addr).await;
        server.accepted(2).await;
        refused.send(&GET[..10]);
        server.settle().await;
        server.server.enter(Phase::Ending);
        assert_eq!(refused.head().await.status, 503);
        refused.ended().await;
        refused.send(&GET[10..]);
        server.settle().await;
        (busy, refused)
    });
    drop(runtime);
    drop(callers);
    let lines = END_EVENTS.0.lock().unwrap().clone();
    let found = |why: &str| {
        let mut found = lines.iter().map(|line| &line.0);
        let line = found.find(|line| line["why"] == why);
        line.unwrap_or_else(|| panic!("no event with {why}: {lines:?}"))
    };
    let (cut, refused) = (found("cut"), found("begun"));
    assert_eq!(cut["open"], "1", "{cut:?}");
    assert_eq!(refused["open"], "0", "{refused:?}");
    assert_eq!(
        refused["crossed"],
        (GET.len() - 10).to_string(),
        "{refused:?}"
    );
}
