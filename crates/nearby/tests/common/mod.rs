//! Entries that read through each other, without anything else of an entry.
#![allow(dead_code, reason = "each test program uses a part")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use wagtailreel_fleet::BootTime;
use wagtailreel_nearby::{Mirror, Nearby, NearbyConfig, Neighbours, router};
use wagtailreel_standins::RegistryStandin;
pub(crate) use wagtailreel_standins::ready_upstream as upstream;

/// Time between two reads of the upstreams.
pub(crate) const PACE: Duration = Duration::from_millis(300);

/// An entry's view of the registry, and what it gives to neighbours.
pub(crate) struct Entry {
    pub(crate) addr: SocketAddr,
    pub(crate) store: RegistryStandin,
    pub(crate) mirror: Arc<Mirror>,
    pub(crate) neighbours: Arc<Neighbours>,
    pub(crate) registry: Nearby<RegistryStandin>,
    serving: JoinHandle<()>,
}

impl Entry {
    /// Starts an entry that knows of no other.
    pub(crate) async fn start() -> Self {
        Self::at("127.0.0.1:0", RegistryStandin::default()).await
    }

    /// Starts an entry that stands after `first` and has been told of it.
    pub(crate) async fn beside(first: &Self) -> Self {
        let second = Self::at("127.0.0.2:0", RegistryStandin::default()).await;
        second.hear(first);
        second
    }

    /// Starts an entry on `addr` with a registry of its own.
    pub(crate) async fn at(addr: &str, store: RegistryStandin) -> Self {
        let listener = TcpListener::bind(addr).await.unwrap();
        let addr = listener.local_addr().unwrap();
        let mirror = Arc::new(Mirror::default());
        let neighbours = Arc::new(Neighbours::new(addr));
        let registry = Nearby::new(
            store.clone(),
            NearbyConfig::new(Duration::from_secs(2), PACE),
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

    /// Tells this entry that `other` is there.
    pub(crate) fn hear(&self, other: &Self) {
        self.neighbours.hear(&[other.addr], BootTime::now());
    }

    /// Stops giving copies, without a word.
    pub(crate) async fn fall_silent(&mut self) {
        self.serving.abort();
        let _ = (&mut self.serving).await;
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.serving.abort();
    }
}
