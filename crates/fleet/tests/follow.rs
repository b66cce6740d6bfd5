//! The task that follows a topic.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::{Notify, watch};
use wagtailreel_core::Offset;
use wagtailreel_fleet::{
    BootTime, Change, FollowConfig, Page, Registry, RegistryError, Sink, Snapshot, Topic, follow,
};
use wagtailreel_standins::{RegistryStandin, ready_upstream as upstream};

/// What was applied and confirmed.
#[derive(Debug, Default)]
struct Told {
    gone: watch::Sender<Vec<String>>,
    known: watch::Sender<u32>,
    last: watch::Sender<String>,
}

impl Sink for Told {
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

/// A removal whose time to be doubted is over is applied then, however long the pace is.
#[tokio::test]
async fn doubted_removal() {
    let registry = RegistryStandin::default();
    let told = Arc::new(Told::default());
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
    let mut known = told.known.subscribe();
    let mut gone = told.gone.subscribe();
    let following = tokio::spawn(follow(registry.clone(), Arc::clone(&told), cfg));
    known.wait_for(|known| *known == 1).await.unwrap();
    registry.set_away(true);
    // The task has to see the outage before it is over.
    registry.until_refused(Topic::Upstreams).await;
    registry.upstream(Change::Gone("a".to_owned()));
    registry.upstream(upstream("b"));
    registry.set_away(false);
    known.wait_for(|known| *known == 2).await.unwrap();
    let back = std::time::Instant::now();
    gone.wait_for(|gone| !gone.is_empty()).await.unwrap();
    let took = back.elapsed();
    assert!(took < Duration::from_millis(800), "{took:?}");
    following.abort();
}

/// Of a burst of records a reader takes the newest, not all of them: on a narrow link each reader
/// that takes all keeps the others from reading anything.
#[tokio::test]
async fn record_burst() {
    let registry = RegistryStandin::default();
    registry.set_page_len(2);
    let told = Arc::new(Told::default());
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
    let mut known = told.known.subscribe();
    let following = tokio::spawn(follow(registry.clone(), Arc::clone(&told), cfg));
    known.wait_for(|known| *known == 1).await.unwrap();
    for _ in 0..100 {
        registry.upstream(upstream("a"));
    }
    registry.upstream(upstream("last"));
    let mut last = told.last.subscribe();
    last.wait_for(|last| last == "last").await.unwrap();
    assert!(registry.handed() < 10, "{} handed out", registry.handed());
    following.abort();
}

/// Wishes for one read as soon as it has read for the first time.
#[derive(Debug, Default)]
struct Wishing {
    confirmed: watch::Sender<Vec<BootTime>>,
    wish: Notify,
}

impl Sink for Wishing {
    fn apply(&self, _change: Change) {}

    fn confirmed(&self, _topic: Topic, as_of: BootTime) {
        self.confirmed
            .send_modify(|confirmed| confirmed.push(as_of));
    }

    async fn read_now_requested(&self, _topic: Topic) {
        self.wish.notified().await;
    }
}

/// A read that is wished for waits neither for the pace nor for news; nor does the next, if it fails.
#[rstest]
#[case::answered(false)]
#[case::failed(true)]
#[tokio::test]
async fn wished_read(#[case] fails: bool) {
    let registry = RegistryStandin::default();
    let sink = Arc::new(Wishing::default());
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
    let wished = BootTime::now();
    sink.wish.notify_one();
    if fails {
        registry.until_refused(Topic::Settings).await;
        registry.set_away(false);
    }
    let again = confirmed.wait_for(|all| all.len() == 2);
    let again = tokio::time::timeout(Duration::from_millis(2500), again).await;
    let as_of = again.expect("held").unwrap()[1];
    assert!(as_of >= wished, "of before the wish");
    following.abort();
}

/// Takes note of how long each read may be held, and how long it may take in all.
#[derive(Clone, Debug)]
struct Patient {
    inner: RegistryStandin,
    reads: watch::Sender<Vec<(Duration, Duration)>>,
}

impl Registry for Patient {
    async fn newest(&self, topic: Topic, timeout: Duration) -> Result<Snapshot, RegistryError> {
        self.inner.newest(topic, timeout).await
    }

    async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        let read = (wait, wait + timeout);
        self.reads.send_modify(|reads| reads.push(read));
        self.inner.read(topic, from, wait, timeout).await
    }
}

/// A read that is wished for may take as long as one that is held: a registry that answers late would be read
/// no more.
#[tokio::test]
async fn patience_of_wished_read() {
    let reads = watch::Sender::default();
    let registry = Patient {
        inner: RegistryStandin::default(),
        reads: reads.clone(),
    };
    let sink = Arc::new(Wishing::default());
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
    sink.wish.notify_one();
    let following = tokio::spawn(follow(registry, sink, cfg));
    let mut reads = reads.subscribe();
    let reads = reads.wait_for(|reads| !reads.is_empty()).await.unwrap();
    assert_eq!(reads[0], (Duration::ZERO, wait + timeout));
    following.abort();
}
