//! A connection that ends with its process has a line too.
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

/// A line's pairs.
#[derive(Clone, Debug, Default)]
struct Line(BTreeMap<String, String>);

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), value.to_string());
        Ok(())
    }
}

/// Keeps the lines of connections that ended.
struct Kept(Mutex<Vec<Line>>);

impl Log for Kept {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut line = Line::default();
        record.key_values().visit(&mut line).unwrap();
        if line.0.get("event").is_some_and(|event| event == "6301") {
            let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(line);
        }
    }

    fn flush(&self) {}
}

static KEPT: Kept = Kept(Mutex::new(Vec::new()));

/// One has a request under way, the other was refused and is held open by its caller.
#[test]
fn with_the_process() {
    log::set_logger(&KEPT).unwrap();
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
        let mut begun = Caller::connect(server.addr).await;
        server.accepted(2).await;
        begun.send(&GET[..10]);
        server.settle().await;
        server.server.enter(Phase::Ending);
        assert_eq!(begun.head().await.status, 503);
        begun.ended().await;
        begun.send(&GET[10..]);
        server.settle().await;
        (busy, begun)
    });
    drop(runtime);
    drop(callers);
    let lines = KEPT.0.lock().unwrap().clone();
    let found = |why: &str| {
        let mut found = lines.iter().map(|line| &line.0);
        let line = found.find(|line| line["why"] == why);
        line.unwrap_or_else(|| panic!("no line with {why}: {lines:?}"))
    };
    let (cut, begun) = (found("cut"), found("begun"));
    assert_eq!(cut["open"], "1", "{cut:?}");
    assert_eq!(begun["open"], "0", "{begun:?}");
    assert_eq!(begun["crossed"], (GET.len() - 10).to_string(), "{begun:?}");
}
