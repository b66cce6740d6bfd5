//! A registry that is away, or that serves some processes only.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{Entry, following, keep_told, upstream};
use rstest::rstest;
use wagtailreel_standins::RegistryStandin;

/// Entries of one data centre, each with a registry of its own or all with one.
async fn entries(stores: Vec<RegistryStandin>) -> Vec<Entry> {
    let mut entries = Vec::new();
    for (store, host) in stores.into_iter().zip(1_u8..) {
        entries.push(Entry::at(&format!("127.0.0.{host}:0"), store).await);
    }
    entries
}

fn addrs(entries: &[Entry]) -> Vec<SocketAddr> {
    entries.iter().map(|entry| entry.addr).collect()
}

/// Of many entries only the first ones go on asking a registry that is away; all hear of its return.
#[rstest]
#[tokio::test]
async fn registry_away() {
    let store = RegistryStandin::default();
    let entries = entries(vec![store.clone(); 12]).await;
    let all = addrs(&entries);
    let keeping: Vec<_> = entries
        .iter()
        .map(|it| keep_told(it, all.clone()))
        .collect();
    let followed: Vec<_> = entries.iter().map(following).collect();
    store.upstream(upstream("a"));
    for (told, _) in &followed {
        told.until_known("a").await;
    }
    store.set_away(true);
    let before = store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = store.calls() - before;
    store.upstream(upstream("b"));
    store.set_away(false);
    let back = Instant::now();
    for (told, _) in &followed {
        told.until_known("b").await;
    }
    let took = back.elapsed();
    // Two entries ask each 50 ms, with their questions 70 times; the others once each 2 to 3 s.
    assert!(calls < 12 * 2 + 2 * 80, "{calls} calls");
    assert!(took < Duration::from_millis(1500), "{took:?}");
    for task in keeping
        .into_iter()
        .chain(followed.into_iter().map(|it| it.1))
    {
        task.abort();
    }
}

/// An entry whose first neighbours are all cut off from the registry still reads it.
#[rstest]
#[tokio::test]
async fn first_ones_cut_off() {
    let (cut, store) = (RegistryStandin::default(), RegistryStandin::default());
    let mut stores = vec![cut.clone(); 6];
    stores.extend(vec![store.clone(); 2]);
    let entries = entries(stores).await;
    let all = addrs(&entries);
    let keeping: Vec<_> = entries
        .iter()
        .map(|it| keep_told(it, all.clone()))
        .collect();
    let followed: Vec<_> = entries.iter().map(following).collect();
    cut.upstream(upstream("a"));
    store.upstream(upstream("a"));
    for (told, _) in &followed {
        told.until_known("a").await;
    }
    cut.set_away(true);
    store.upstream(upstream("b"));
    let fell = Instant::now();
    for (told, _) in &followed[6..] {
        told.until_known("b").await;
    }
    let took = fell.elapsed();
    assert!(took < Duration::from_millis(1800), "{took:?}");
    for task in keeping
        .into_iter()
        .chain(followed.into_iter().map(|it| it.1))
    {
        task.abort();
    }
}
