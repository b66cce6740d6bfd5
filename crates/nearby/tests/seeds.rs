//! Starting processes read from the seeds in their settings.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{Entry, upstream};
use rstest::rstest;
use wagtailreel_fleet::{BootTime, Change, ClientLimits, Directory, Registry as _, Topic};
use wagtailreel_nearby::{Neighbours, Seeds, SharedRegistry, SharedRegistryConfig};
use wagtailreel_standins::RegistryStandin;

const TIMEOUT: Duration = Duration::from_secs(2);

fn directory() -> Directory {
    let limits = ClientLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Duration::from_secs(2),
        idle_timeout: Duration::from_secs(9),
    };
    Directory::new(7, limits)
}

/// A process that has just started and knows no neighbours.
struct StartingProcess {
    store: RegistryStandin,
    registry: SharedRegistry<RegistryStandin>,
}

impl StartingProcess {
    /// Makes a process whose settings name `seeds`, on the port of `entry`.
    fn new(entry: &Entry, seeds: &[IpAddr]) -> Self {
        let own = SocketAddr::from(([127, 0, 0, 9], entry.addr.port()));
        let store = RegistryStandin::default();
        store.config(directory());
        let cfg = SharedRegistryConfig::for_non_reader(Duration::from_secs(4));
        let registry =
            SharedRegistry::new(store.clone(), cfg, Arc::new(Neighbours::for_non_reader()))
                .with_seeds(Seeds::new(own, seeds));
        Self { store, registry }
    }

    async fn config(&self) -> Change {
        config_at(&self.registry).await
    }
}

async fn config_at(registry: &SharedRegistry<RegistryStandin>) -> Change {
    let newest = registry.newest(Topic::Settings, TIMEOUT).await;
    newest.unwrap().items.into_iter().next().unwrap().change
}

fn expected() -> Change {
    Change::Config(Box::new(directory()))
}

/// Settings and upstreams are read at once from a seed that has read them, although no agent has named it.
#[rstest]
#[tokio::test]
async fn known_seed() {
    let entry = Entry::start().await;
    entry.store.config(directory());
    config_at(&entry.registry).await;
    let upstreams = entry.registry.newest(Topic::Upstreams, TIMEOUT).await;
    let gone = IpAddr::from([127, 0, 0, 8]);
    let starting_process = StartingProcess::new(&entry, &[gone, entry.addr.ip()]);
    assert_eq!(starting_process.config().await, expected());
    let read = starting_process
        .registry
        .newest(Topic::Upstreams, TIMEOUT)
        .await;
    assert_eq!(read.unwrap().items.len(), upstreams.unwrap().items.len());
    assert_eq!(starting_process.store.calls(), 0, "by the seed");
}

/// A seed that starts at the same time is queried until it has read the settings.
#[rstest]
#[tokio::test]
async fn late_seed() {
    let entry = Entry::start().await;
    entry.store.config(directory());
    let starting_process = StartingProcess::new(&entry, &[entry.addr.ip()]);
    let read = async {
        while !entry.mirror.was_queried_within(TIMEOUT) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        config_at(&entry.registry).await
    };
    let (config, _) = tokio::join!(starting_process.config(), read);
    assert_eq!(config, expected());
    assert_eq!(starting_process.store.calls(), 0, "by the seed");
}

/// Guards against processes that start together and each read all upstreams for themselves.
#[rstest]
#[tokio::test]
async fn upstreams_of_late_seed() {
    let entry = Entry::start().await;
    entry.store.upstream(upstream("u-1"));
    let starting_process = StartingProcess::new(&entry, &[entry.addr.ip()]);
    let until_asked = async {
        while !entry.mirror.was_queried_within(TIMEOUT) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let read = async {
        let was_asked = tokio::time::timeout(TIMEOUT, until_asked).await;
        was_asked.expect("the seed is queried");
        entry.registry.newest(Topic::Upstreams, TIMEOUT).await
    };
    let asked = starting_process.registry.newest(Topic::Upstreams, TIMEOUT);
    let (asked, read) = tokio::join!(asked, read);
    assert_eq!(asked.unwrap().items, read.unwrap().items);
    assert_eq!(starting_process.store.calls(), 0, "by the seed");
}

/// Guards against a seed that waits for others while they wait for it.
#[rstest]
#[case::settings(Topic::Settings)]
#[case::upstreams(Topic::Upstreams)]
#[tokio::test]
async fn seed_reads_at_once(#[case] topic: Topic) {
    let store = RegistryStandin::default();
    let cfg = SharedRegistryConfig::for_non_reader(Duration::from_secs(4));
    let registry =
        SharedRegistry::new(store, cfg, Arc::new(Neighbours::for_non_reader())).with_is_seed(true);
    let began = Instant::now();
    registry.newest(topic, TIMEOUT).await.unwrap();
    assert!(began.elapsed() < cfg.start_wait / 2, "a seed does not wait");
}

/// Guards against copies for a whole data centre that cross a narrow link because a remote seed has read the
/// topic first. On the loopback the seed that is connected to first answers first and counts as the nearest.
#[rstest]
#[tokio::test]
async fn nearest_seed_starts_later() {
    let remote = Entry::start().await;
    let local = SocketAddr::from(([127, 0, 0, 2], remote.addr.port()));
    remote.store.upstream(upstream("u-far"));
    remote
        .registry
        .newest(Topic::Upstreams, TIMEOUT)
        .await
        .unwrap();
    let starting_process = StartingProcess::new(&remote, &[local.ip(), remote.addr.ip()]);
    let starting = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let entry = Entry::at(&local.to_string(), RegistryStandin::default()).await;
        entry.store.upstream(upstream("u-near"));
        let read = entry.registry.newest(Topic::Upstreams, TIMEOUT).await;
        (entry, read.unwrap().items)
    };
    let asking = starting_process.registry.newest(Topic::Upstreams, TIMEOUT);
    let (asked, (_entry, local_items)) = tokio::join!(asking, starting);
    assert_eq!(asked.unwrap().items, local_items);
}

/// Without a running seed the starting process reads the registry itself.
#[rstest]
#[tokio::test]
async fn gone_seeds() {
    let entry = Entry::start().await;
    let starting_process = StartingProcess::new(&entry, &[IpAddr::from([127, 0, 0, 8])]);
    assert_eq!(starting_process.config().await, expected());
    assert_eq!(starting_process.store.calls(), 1);
}

/// Entries that agents name replace the seed.
#[rstest]
fn seed_until_named() {
    let now = BootTime::now();
    let addr = |host| SocketAddr::from(([10, 0, 0, host], 7700));
    let neighbours = Neighbours::for_non_reader();
    neighbours.set_seed(addr(1));
    assert_eq!(neighbours.candidates(now), [addr(1)]);
    neighbours.note_entries(&[addr(2)], now);
    assert_eq!(neighbours.candidates(now), [addr(2)]);
    neighbours.set_seed(addr(1));
    assert_eq!(
        neighbours.candidates(now),
        [addr(2)],
        "a seed is ignored after entries are named"
    );
}

/// A process that is a seed has no seeds: two that start together would wait for each other.
#[rstest]
fn own_seed() {
    let own = SocketAddr::from(([10, 0, 0, 1], 7700));
    let others = [IpAddr::from([10, 0, 0, 1]), IpAddr::from([10, 0, 0, 2])];
    assert_eq!(Seeds::new(own, &others), Seeds::default());
    assert_ne!(Seeds::new(own, &others[1..]), Seeds::default());
}
