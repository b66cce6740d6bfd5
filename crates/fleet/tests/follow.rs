//! The task that follows a topic.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::{Notify, watch};
use wagtailreel_fleet::{
    BootTime, Change, FollowConfig, Page, Position, Registry, RegistryError, Sink, Snapshot, Topic,
    follow,
};
use wagtailreel_standins::{RegistryStandin, ready_upstream as upstream};

/// Records the changes that were applied.
#[derive(Debug, Default)]
struct RecordingSink {
    gone: watch::Sender<Vec<String>>,
    known: watch::Sender<u32>,
    last: watch::Sender<String>,
}

impl Sink for RecordingSink {
    fn apply(&self, change: Change) {
        match change {
            Change::Gone(id) => self.gone.send_modify(|gone| gone.push(id)),
            Change::Upstream(upstream) => {
                self.known.send_modify(|known| *known += 1);
                self.last.send_replace(upstream.id);
            }
            _ => {}
        }
    }

    fn confirmed(&self, _topic: Topic, _as_of: BootTime) {}
}

/// A held-back removal is applied when it is due, even if the next read comes later.
#[tokio::test]
async fn held_back_removal() {
    let registry = RegistryStandin::default();
    let sink = Arc::new(RecordingSink::default());
    let cfg = FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::ZERO,
        read_interval: Duration::from_millis(1500),
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_secs(1),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::from_millis(100),
        lapse_after: Duration::ZERO,
    };
    registry.upstream(upstream("a"));
    let mut known = sink.known.subscribe();
    let mut gone = sink.gone.subscribe();
    let following = tokio::spawn(follow(registry.clone(), Arc::clone(&sink), cfg));
    known.wait_for(|known| *known == 1).await.unwrap();
    registry.set_away(true);
    // The task has to notice the outage before the registry recovers.
    registry.until_refused(Topic::Upstreams).await;
    registry.upstream(Change::Gone("a".to_owned()));
    registry.upstream(upstream("b"));
    registry.set_away(false);
    known.wait_for(|known| *known == 2).await.unwrap();
    let recovered_at = std::time::Instant::now();
    gone.wait_for(|gone| !gone.is_empty()).await.unwrap();
    let delay = recovered_at.elapsed();
    assert!(delay < Duration::from_millis(800), "{delay:?}");
    following.abort();
}

/// A reader skips to the newest record of each key in a burst. On a narrow link a reader that loads all
/// records blocks the reads of others.
#[tokio::test]
async fn record_burst() {
    let registry = RegistryStandin::default();
    registry.set_page_len(2);
    let sink = Arc::new(RecordingSink::default());
    let cfg = FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::ZERO,
        read_interval: Duration::from_millis(20),
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_secs(1),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    };
    registry.upstream(upstream("a"));
    let mut known = sink.known.subscribe();
    let following = tokio::spawn(follow(registry.clone(), Arc::clone(&sink), cfg));
    known.wait_for(|known| *known == 1).await.unwrap();
    for _ in 0..100 {
        registry.upstream(upstream("a"));
    }
    registry.upstream(upstream("last"));
    let mut last = sink.last.subscribe();
    last.wait_for(|last| last == "last").await.unwrap();
    assert!(registry.handed() < 10, "{} handed out", registry.handed());
    following.abort();
}

/// Requests a read when it is notified.
#[derive(Debug, Default)]
struct RequestingSink {
    confirmed: watch::Sender<Vec<BootTime>>,
    request: Notify,
}

impl Sink for RequestingSink {
    fn apply(&self, _change: Change) {}

    fn confirmed(&self, _topic: Topic, as_of: BootTime) {
        self.confirmed
            .send_modify(|confirmed| confirmed.push(as_of));
    }

    async fn read_now_requested(&self, _topic: Topic) {
        self.request.notified().await;
    }
}

/// A requested read waits neither for the read interval nor for new records. If it fails, the next read does
/// not wait either.
#[rstest]
#[case::answered(false)]
#[case::failed(true)]
#[tokio::test]
async fn requested_read(#[case] fails: bool) {
    let registry = RegistryStandin::default();
    let sink = Arc::new(RequestingSink::default());
    let cfg = FollowConfig {
        topic: Topic::Settings,
        wait: Duration::from_secs(3),
        read_interval: Duration::from_secs(3),
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_secs(1),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    };
    let mut confirmed = sink.confirmed.subscribe();
    let following = tokio::spawn(follow(registry.clone(), Arc::clone(&sink), cfg));
    confirmed.wait_for(|all| all.len() == 1).await.unwrap();
    registry.set_away(fails);
    let requested = BootTime::now();
    sink.request.notify_one();
    if fails {
        registry.until_refused(Topic::Settings).await;
        registry.set_away(false);
    }
    let again = confirmed.wait_for(|all| all.len() == 2);
    let again = tokio::time::timeout(Duration::from_millis(2500), again).await;
    let as_of = again.expect("a read without a wait").unwrap()[1];
    assert!(as_of >= requested, "the answer is older than the request");
    following.abort();
}

/// Records the wait and the total time-out of each read.
#[derive(Clone, Debug)]
struct TimingRegistry {
    inner: RegistryStandin,
    reads: watch::Sender<Vec<(Duration, Duration)>>,
}

impl Registry for TimingRegistry {
    async fn newest(&self, topic: Topic, timeout: Duration) -> Result<Snapshot, RegistryError> {
        self.inner.newest(topic, timeout).await
    }

    async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        let read = (wait, wait + timeout);
        self.reads.send_modify(|reads| reads.push(read));
        self.inner.read(topic, from, wait, timeout).await
    }
}

/// The total time-out of a requested read is that of a read that waits. Otherwise reads from a slow registry
/// would always time out.
#[tokio::test]
async fn timeout_of_requested_read() {
    let reads = watch::Sender::default();
    let registry = TimingRegistry {
        inner: RegistryStandin::default(),
        reads: reads.clone(),
    };
    let sink = Arc::new(RequestingSink::default());
    let (wait, timeout) = (Duration::from_millis(1800), Duration::from_millis(700));
    let cfg = FollowConfig {
        topic: Topic::Settings,
        wait,
        read_interval: Duration::from_secs(60),
        relayed_read_interval: Duration::ZERO,
        timeout,
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    };
    sink.request.notify_one();
    let following = tokio::spawn(follow(registry, sink, cfg));
    let mut reads = reads.subscribe();
    let reads = reads.wait_for(|reads| !reads.is_empty()).await.unwrap();
    assert_eq!(reads[0], (Duration::ZERO, wait + timeout));
    following.abort();
}
