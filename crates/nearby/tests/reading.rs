//! Reads of the registry through a neighbour, and without one.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Entry, following, report_regularly, upstream};
use rstest::rstest;
use wagtailreel_fleet::{BootTime, Change, ClientLimits, Directory, Registry as _, Topic};
use wagtailreel_standins::RegistryStandin;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Two entries learn of a change by the calls of one of them.
#[rstest]
#[tokio::test]
async fn one_reader() {
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::at("127.0.0.2:0", RegistryStandin::default()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    store.upstream(upstream("a"));
    one.until_known("a").await;
    let (two, b) = following(&second);
    two.until_known("a").await;
    store.upstream(upstream("b"));
    one.until_known("b").await;
    two.until_known("b").await;
    assert_eq!(second.store.calls(), 0);
    for task in [reporting, a, b] {
        task.abort();
    }
}

/// An entry whose neighbour stops answering reads the registry itself at once.
#[rstest]
#[tokio::test]
async fn silent_neighbour() {
    let store = RegistryStandin::default();
    let mut first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::at("127.0.0.2:0", store.clone()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    let (two, b) = following(&second);
    store.upstream(upstream("a"));
    one.until_known("a").await;
    two.until_known("a").await;
    first.stop_serving().await;
    let stopped_at = std::time::Instant::now();
    store.upstream(upstream("b"));
    two.until_known("b").await;
    let took = stopped_at.elapsed();
    assert!(took < Duration::from_millis(1500), "{took:?}");
    for task in [reporting, a, b] {
        task.abort();
    }
}

/// An entry whose neighbour is cut off from the registry reads it itself before a bound of 2 s.
#[rstest]
#[tokio::test]
async fn neighbour_cut_off() {
    let store = RegistryStandin::default();
    let cut = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", cut.clone()).await;
    let second = Entry::at("127.0.0.2:0", store.clone()).await;
    let reporting = report_regularly(&second, vec![first.addr]);
    let (one, a) = following(&first);
    let (two, b) = following(&second);
    cut.upstream(upstream("a"));
    store.upstream(upstream("a"));
    one.until_known("a").await;
    two.until_known("a").await;
    cut.set_away(true);
    let stopped_at = std::time::Instant::now();
    store.upstream(upstream("b"));
    two.until_known("b").await;
    let took = stopped_at.elapsed();
    assert!(took < Duration::from_millis(1800), "{took:?}");
    for task in [reporting, a, b] {
        task.abort();
    }
}

/// Records from a neighbour never count as newer than the neighbour's own read of them.
#[rstest]
#[tokio::test]
async fn relayed_age() {
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::with_neighbour(&first).await;
    let read_by = BootTime::now();
    first
        .registry
        .newest(Topic::Settings, TIMEOUT)
        .await
        .unwrap();
    let read_at = BootTime::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    second.note_entry(&first);
    let newest = second.registry.newest(Topic::Settings, TIMEOUT);
    let newest = newest.await.unwrap();
    assert!(newest.is_relayed);
    assert!(newest.as_of <= read_at, "{:?} {read_at:?}", newest.as_of);
    let slack = Duration::from_millis(200);
    assert!(newest.as_of.plus(slack) >= read_by, "not much older either");
}

/// A configuration that a neighbour relayed is unchanged.
#[rstest]
#[tokio::test]
async fn whole_configuration() {
    let store = RegistryStandin::default();
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::with_neighbour(&first).await;
    let limits = ClientLimits {
        header_bytes: 8192,
        body_bytes: 100_000,
        header_timeout: Duration::from_micros(1_500_500),
        idle_timeout: Duration::from_secs(9),
    };
    let directory = Directory::new(7, limits);
    store.config(directory.clone());
    first
        .registry
        .newest(Topic::Settings, TIMEOUT)
        .await
        .unwrap();
    second.note_entry(&first);
    let newest = second.registry.newest(Topic::Settings, TIMEOUT);
    let newest = newest.await.unwrap();
    assert!(newest.is_relayed);
    let change = newest.items.into_iter().next().unwrap().change;
    assert_eq!(change, Change::Config(Box::new(directory)));
}

/// Of entries that start together, only one loads the configuration over their region's link.
#[rstest]
#[tokio::test]
async fn start_together() {
    let store = RegistryStandin::default();
    store.set_delay(Duration::from_millis(300));
    let first = Entry::at("127.0.0.1:0", store.clone()).await;
    let second = Entry::at("127.0.0.2:0", RegistryStandin::default()).await;
    let late = Arc::clone(&second.neighbours);
    let addr = first.addr;
    let naming = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        late.note_entries(&[addr], BootTime::now());
    });
    let (one, two) = tokio::join!(
        first.registry.newest(Topic::Settings, TIMEOUT),
        second.registry.newest(Topic::Settings, TIMEOUT),
    );
    naming.await.unwrap();
    assert!(!one.unwrap().is_relayed);
    assert!(two.unwrap().is_relayed);
    assert_eq!(second.store.calls(), 0);
}
