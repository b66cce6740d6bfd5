//! Entries reduced to their registry client and mirror, which read through each other.
#![allow(dead_code, reason = "each test program uses a part")]

pub(crate) mod records;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wagtailreel_fleet::{BootTime, Change, FollowConfig, Sink, Topic, follow};
use wagtailreel_nearby::{Mirror, Neighbours, SharedRegistry, SharedRegistryConfig, router};
use wagtailreel_standins::RegistryStandin;
#[allow(unused_imports, reason = "each test program uses a part")]
pub(crate) use wagtailreel_standins::ready_upstream as upstream;

/// Time between two reads of the upstreams.
pub(crate) const READ_INTERVAL: Duration = Duration::from_millis(300);

/// Records the upstreams that one entry has read.
#[derive(Debug, Default)]
pub(crate) struct RecordingSink {
    known: watch::Sender<Vec<String>>,
    as_of: watch::Sender<Option<BootTime>>,
}

impl RecordingSink {
    /// Waits until the upstream `id` is known.
    pub(crate) async fn until_known(&self, id: &str) {
        let mut known = self.known.subscribe();
        let is_there = |known: &Vec<String>| known.iter().any(|it| it == id);
        let wait = known.wait_for(is_there);
        tokio::time::timeout(Duration::from_secs(10), wait)
            .await
            .unwrap()
            .unwrap();
    }
}

impl Sink for RecordingSink {
    fn apply(&self, change: Change) {
        if let Change::Upstream(upstream) = change {
            self.known.send_modify(|known| known.push(upstream.id));
        }
    }

    fn confirmed(&self, _topic: Topic, as_of: BootTime) {
        self.as_of.send_replace(Some(as_of));
    }
}

/// Follows the upstreams as `entry` does.
pub(crate) fn following(entry: &Entry) -> (Arc<RecordingSink>, JoinHandle<()>) {
    let sink = Arc::new(RecordingSink::default());
    let cfg = FollowConfig {
        topic: Topic::Upstreams,
        wait: Duration::ZERO,
        read_interval: READ_INTERVAL,
        relayed_read_interval: Duration::ZERO,
        timeout: Duration::from_millis(500),
        max_backoff: Duration::from_millis(50),
        lapse_hold: Duration::ZERO,
        lapse_after: Duration::ZERO,
    };
    let task = tokio::spawn(follow(entry.registry.clone(), Arc::clone(&sink), cfg));
    (sink, task)
}

/// Reports `others` to `entry` every 100 ms, as agents do.
pub(crate) fn report_regularly(entry: &Entry, others: Vec<SocketAddr>) -> JoinHandle<()> {
    let neighbours = Arc::clone(&entry.neighbours);
    tokio::spawn(async move {
        loop {
            neighbours.note_entries(&others, BootTime::now());
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    })
}

/// An entry's registry client, and the mirror that it serves to neighbours.
pub(crate) struct Entry {
    pub(crate) addr: SocketAddr,
    pub(crate) store: RegistryStandin,
    pub(crate) mirror: Arc<Mirror>,
    pub(crate) neighbours: Arc<Neighbours>,
    pub(crate) registry: SharedRegistry<RegistryStandin>,
    serving: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry that knows no other.
    pub(crate) async fn start() -> Self {
        Self::at("127.0.0.1:0", RegistryStandin::default()).await
    }

    /// Starts an entry that ranks after `first` and knows it.
    pub(crate) async fn with_neighbour(first: &Self) -> Self {
        let second = Self::at("127.0.0.2:0", RegistryStandin::default()).await;
        second.note_entry(first);
        second
    }

    /// Starts an entry on `addr` with a registry of its own.
    pub(crate) async fn at(addr: &str, store: RegistryStandin) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mirror = Arc::new(Mirror::default());
        let neighbours = Arc::new(Neighbours::new(addr));
        let registry = SharedRegistry::new(
            store.clone(),
            SharedRegistryConfig::new(Duration::from_secs(2), READ_INTERVAL),
            Arc::clone(&neighbours),
        )
        .with_mirror(Arc::clone(&mirror));
        let routes = router(Arc::clone(&mirror));
        let serving = tokio::spawn(async move {
            axum::serve(listener, routes).await.unwrap();
        });
        Self {
            addr,
            store,
            mirror,
            neighbours,
            registry,
            serving,
        }
    }

    /// Reports `other` to this entry once.
    pub(crate) fn note_entry(&self, other: &Self) {
        self.neighbours.note_entries(&[other.addr], BootTime::now());
    }

    /// Stops serving copies.
    pub(crate) async fn stop_serving(&mut self) {
        self.serving.abort();
        let _ = (&mut self.serving).await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.serving.abort();
    }
}
