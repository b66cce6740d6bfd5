//! A registry that comes back from an older copy and gives out offsets again.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wagtailreel_fleet::{BootTime, Change, FollowConfig, Sink, Topic, UpstreamState, follow};
use wagtailreel_standins::{RegistryStandin, ready_upstream as upstream};

/// Time in which a change must be known.
const BOUND: Duration = Duration::from_secs(3);

/// Records all changes in order.
#[derive(Debug, Default)]
struct RecordingSink {
    changes: watch::Sender<Vec<Change>>,
}

impl RecordingSink {
    async fn until<F>(&self, is_wanted: F)
    where
        F: Fn(&Change) -> bool,
    {
        let mut changes = self.changes.subscribe();
        let wait = changes.wait_for(|all| all.iter().any(&is_wanted));
        let known = tokio::time::timeout(BOUND, wait).await;
        known.expect("the change is known in time").unwrap();
    }
}

impl Sink for RecordingSink {
    fn apply(&self, change: Change) {
        self.changes.send_modify(|all| all.push(change));
    }

    fn confirmed(&self, _topic: Topic, _as_of: BootTime) {}
}

fn following(registry: &RegistryStandin) -> (Arc<RecordingSink>, JoinHandle<()>) {
    let sink = Arc::new(RecordingSink::default());
    let cfg = FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::from_millis(50),
        read_interval: Duration::from_millis(20),
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_secs(1),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::from_secs(2),
        lapse_after: Duration::ZERO,
    };
    let task = tokio::spawn(follow(registry.clone(), Arc::clone(&sink), cfg));
    (sink, task)
}

fn is_named(change: &Change, id: &str) -> bool {
    matches!(change, Change::Upstream(it) if it.id == id)
}

fn draining(id: &str) -> Change {
    let Change::Upstream(mut upstream) = upstream(id) else {
        unreachable!("the record of an upstream");
    };
    upstream.state = UpstreamState::Draining;
    Change::Upstream(upstream)
}

/// Starts to follow a registry with ten records, the last of which is known, and makes it refuse calls.
async fn read_then_away(registry: &RegistryStandin) -> (Arc<RecordingSink>, JoinHandle<()>) {
    registry.upstream(upstream("b"));
    for _ in 0..8 {
        registry.upstream(upstream("a"));
    }
    registry.upstream(upstream("last"));
    let (sink, task) = following(registry);
    sink.until(|it| is_named(it, "last")).await;
    registry.set_away(true);
    registry.until_refused(Topic::Upstreams).await;
    (sink, task)
}

/// Guards against new records that count as older since their offsets were given out before.
#[rstest]
#[tokio::test]
async fn leaving_at_lower_offset() {
    let registry = RegistryStandin::default();
    let (sink, task) = read_then_away(&registry).await;
    registry.restore(8);
    registry.upstream(draining("a"));
    registry.set_away(false);
    sink.until(|it| *it == draining("a")).await;
    task.abort();
}

/// Guards against records that are never read since the log has grown past the next offset meanwhile.
#[rstest]
#[tokio::test]
async fn grown_past_next() {
    let registry = RegistryStandin::default();
    let (sink, task) = read_then_away(&registry).await;
    registry.restore(8);
    registry.upstream(upstream("c"));
    for _ in 0..10 {
        registry.upstream(upstream("a"));
    }
    registry.set_away(false);
    sink.until(|it| is_named(it, "c")).await;
    task.abort();
}
