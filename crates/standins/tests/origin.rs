//! The origin: its protocol, its link and its faults, through the adapter.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::join_all;
use wagtailreel_adapters::{HttpOrigin, Origin as _, PlatformError};
use wagtailreel_core::{Digest, Manifest, ModelRef};
use wagtailreel_standins::{OriginConfig, OriginModel, OriginStandin};

const CHUNK: usize = 10_000;

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn model(version: &str) -> OriginModel {
    OriginModel::new("scribe", version, 95_000, CHUNK)
}

fn start(rate: u64) -> (OriginStandin, HttpOrigin, ModelRef) {
    let cfg = OriginConfig {
        models: vec![model("1")],
        rate,
        seed: 7,
    };
    let standin = OriginStandin::start(cfg, local()).unwrap();
    let origin = HttpOrigin::new(standin.addr());
    (standin, origin, model("1").part())
}

/// Fetches each chunk and says which digests fit.
async fn fetch_all(origin: &HttpOrigin, part: &ModelRef, manifest: &Manifest) -> Vec<bool> {
    let mut fits = Vec::new();
    let mut start = 0;
    for chunk in &manifest.chunks {
        let bytes = origin.range(part, start, chunk.length).await.unwrap();
        fits.push(Digest::of(&bytes) == chunk.digest);
        start += chunk.length;
    }
    fits
}

#[tokio::test]
async fn manifest_and_ranges() {
    let (standin, origin, part) = start(0);
    let manifest = origin.manifest(&part).await.unwrap();
    assert_eq!((manifest.chunks.len(), manifest.length()), (10, 95_000));
    let fits = fetch_all(&origin, &part, &manifest).await;
    assert!(fits.iter().all(|fits| *fits));
    let whole = origin.range(&part, 0, 95_000).await.unwrap();
    assert_eq!(Digest::of(&whole), manifest.digest);
    let stats = standin.stats();
    assert_eq!((stats.bytes, stats.parts["scribe@1"]), (190_000, 190_000));
}

#[tokio::test]
async fn unknown_part() {
    let (_standin, origin, _) = start(0);
    let err = origin.manifest(&model("9").part()).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 404);
}

#[tokio::test]
async fn range_beyond_end() {
    let (_standin, origin, part) = start(0);
    let err = origin.range(&part, 90_000, 5_001).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 416);
}

#[tokio::test]
async fn versions_share_prefix() {
    let (standin, _, _) = start(0);
    let first = model("2").with_shared_prefix(0.5);
    let second = model("3").with_seed(1).with_shared_prefix(0.5);
    let first = standin.add(&first).unwrap();
    let second = standin.add(&second).unwrap();
    let equal: Vec<bool> = first
        .chunks
        .iter()
        .zip(&second.chunks)
        .map(|(first, second)| first.digest == second.digest)
        .collect();
    assert_eq!(equal, [[true; 5], [false; 5]].concat());
    assert_ne!(first.digest, second.digest);
}

#[tokio::test]
async fn corrupt_ranges() {
    let (standin, origin, part) = start(0);
    let manifest = origin.manifest(&part).await.unwrap();
    standin.faults().update(|faults| faults.corrupt_share = 0.5);
    let fits = fetch_all(&origin, &part, &manifest).await;
    let wrong = fits.iter().filter(|fits| !**fits).count() as u64;
    assert_eq!(wrong, standin.stats().corrupted);
    assert!((1..10).contains(&wrong), "{wrong} of 10 by this seed");
}

#[tokio::test]
async fn refused_ranges() {
    let (standin, origin, part) = start(0);
    standin.faults().update(|faults| {
        faults.refuse_share = 1.0;
        faults.retry_after = Duration::from_millis(1500);
    });
    let err = origin.range(&part, 0, 100).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 429);
    assert_eq!(err.retry_after(), Some(Duration::from_secs(2)));
}

#[tokio::test]
async fn stalled_reader() {
    let (standin, origin, part) = start(0);
    standin.faults().update(|faults| {
        faults.stall_readers = vec![local().ip()];
        faults.stall = Duration::from_secs(60);
    });
    let impatient = origin.clone().with_stall_timeout(Duration::from_secs(1));
    let err = impatient.range(&part, 0, 95_000).await.unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert_eq!(standin.stats().stalled, 1);
}

#[tokio::test]
async fn crash_cuts_range() {
    let (standin, origin, part) = start(20_000);
    let reader = tokio::spawn(async move { origin.range(&part, 0, 95_000).await });
    while standin.stats().bytes == 0 {
        tokio::task::yield_now().await;
    }
    standin.crash();
    let err = reader.await.unwrap().unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
}

/// The link's rate is a bound from below on the time, whatever the machine does.
#[tokio::test]
async fn readers_share_rate() {
    let (standin, origin, part) = start(1_000_000);
    let begin = Instant::now();
    let readers = (0..4).map(|_| origin.range(&part, 0, 95_000));
    for read in join_all(readers).await {
        assert_eq!(read.unwrap().len(), 95_000);
    }
    // 380 kB at 1 MB/s, of which the link may catch up on 10 ms.
    assert!(begin.elapsed() >= Duration::from_millis(365));
    assert_eq!(standin.stats().bytes, 380_000);
}

/// A short range beside a long one doesn't wait until the long one has passed.
#[tokio::test]
async fn readers_take_turns() {
    let (standin, origin, part) = start(200_000);
    let long = tokio::spawn({
        let (origin, part) = (origin.clone(), part.clone());
        async move { origin.range(&part, 0, 95_000).await }
    });
    while standin.stats().bytes == 0 {
        tokio::task::yield_now().await;
    }
    origin.range(&part, 0, 10_000).await.unwrap();
    assert!(!long.is_finished());
    assert_eq!(long.await.unwrap().unwrap().len(), 95_000);
}
