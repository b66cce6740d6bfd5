//! A registry that is unreachable, for all processes or for some.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Entry, RecordingSink, following, report_regularly, upstream};
use rstest::rstest;
use tokio::task::JoinHandle;
use wagtailreel_fleet::{Registry as _, Topic};
use wagtailreel_standins::RegistryStandin;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Entries of one data centre that know each other, and the sinks with what they read.
struct DataCentre {
    sinks: Vec<Arc<RecordingSink>>,
    tasks: Vec<JoinHandle<()>>,
    _entries: Vec<Entry>,
}

impl DataCentre {
    /// Starts one entry for each of `stores`.
    async fn start(stores: Vec<RegistryStandin>) -> Self {
        let mut entries = Vec::new();
        for (store, host) in stores.into_iter().zip(1_u8..) {
            entries.push(Entry::at(&format!("127.0.0.{host}:0"), store).await);
        }
        let all: Vec<SocketAddr> = entries.iter().map(|entry| entry.addr).collect();
        let reporting = entries.iter().map(|it| report_regularly(it, all.clone()));
        let mut tasks: Vec<JoinHandle<()>> = reporting.collect();
        let (sinks, following): (Vec<_>, Vec<_>) = entries.iter().map(following).unzip();
        tasks.extend(following);
        Self {
            sinks,
            tasks,
            _entries: entries,
        }
    }
}

impl Drop for DataCentre {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn until_known(sinks: &[Arc<RecordingSink>], id: &str) {
    for sink in sinks {
        sink.until_known(id).await;
    }
}

/// Of many entries only the first keep calling an unreachable registry; all notice its recovery.
#[rstest]
#[tokio::test]
async fn registry_away() {
    let store = RegistryStandin::default();
    let entries = DataCentre::start(vec![store.clone(); 12]).await;
    store.upstream(upstream("a"));
    until_known(&entries.sinks, "a").await;
    store.set_away(true);
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = store.calls() - before;
    store.upstream(upstream("b"));
    store.set_away(false);
    let recovered_at = Instant::now();
    until_known(&entries.sinks, "b").await;
    let took = recovered_at.elapsed();
    // Two entries call every 50 ms, which makes 70 calls with their queries to neighbours in between. The
    // others call once every 2 to 3 s.
    assert!(calls < 12 * 2 + 2 * 80, "{calls} calls");
    assert!(took < Duration::from_millis(1500), "{took:?}");
}

/// An entry whose first neighbours are all cut off from the registry still reads it.
#[rstest]
#[tokio::test]
async fn first_ones_cut_off() {
    let (cut, store) = (RegistryStandin::default(), RegistryStandin::default());
    let mut stores = vec![cut.clone(); 6];
    stores.extend(vec![store.clone(); 2]);
    let entries = DataCentre::start(stores).await;
    cut.upstream(upstream("a"));
    store.upstream(upstream("a"));
    until_known(&entries.sinks, "a").await;
    cut.set_away(true);
    store.upstream(upstream("b"));
    let stopped_at = Instant::now();
    until_known(&entries.sinks[6..], "b").await;
    let took = stopped_at.elapsed();
    assert!(took < Duration::from_millis(1800), "{took:?}");
}

/// An entry whose two preceding neighbours have only old records.
struct BehindOthers {
    third: Entry,
    reporting: JoinHandle<()>,
    _others: [Entry; 2],
}

impl BehindOthers {
    async fn start() -> Self {
        let cut = RegistryStandin::default();
        let first = Entry::at("127.0.0.1:0", cut.clone()).await;
        let second = Entry::at("127.0.0.2:0", cut).await;
        for topic in [Topic::Settings, Topic::Upstreams] {
            for entry in [&first, &second] {
                entry.registry.newest(topic, TIMEOUT).await.unwrap();
            }
        }
        // Wait until their records are old.
        tokio::time::sleep(Duration::from_millis(1200)).await;
        let third = Entry::at("127.0.0.3:0", RegistryStandin::default()).await;
        let reporting = report_regularly(&third, vec![first.addr, second.addr]);
        Self {
            third,
            reporting,
            _others: [first, second],
        }
    }

    /// Makes a read of the settings by the entry fail.
    async fn fail_settings(&self) {
        let Entry {
            registry, store, ..
        } = &self.third;
        store.set_away(true);
        let settings = registry.newest(Topic::Settings, TIMEOUT).await;
        assert!(settings.is_err(), "{settings:?}");
        store.set_away(false);
    }
}

impl Drop for BehindOthers {
    fn drop(&mut self) {
        self.reporting.abort();
    }
}

/// A failed read of the settings does not delay a read of the upstreams. Otherwise the follower of the
/// upstreams would treat the registry as unreachable and hold removals back.
#[rstest]
#[tokio::test]
async fn settings_failed() {
    let behind = BehindOthers::start().await;
    behind.fail_settings().await;
    let registry = &behind.third.registry;
    let upstreams = registry.newest(Topic::Upstreams, TIMEOUT).await;
    assert!(upstreams.is_ok(), "{upstreams:?}");
}

/// After the registry has answered for one topic, the other is read at once.
#[rstest]
#[tokio::test]
async fn other_topic_answered() {
    let behind = BehindOthers::start().await;
    behind.fail_settings().await;
    let registry = &behind.third.registry;
    registry.newest(Topic::Upstreams, TIMEOUT).await.unwrap();
    let settings = registry.newest(Topic::Settings, TIMEOUT).await;
    assert!(settings.is_ok(), "{settings:?}");
}
