//! Givers and origins that lie, refuse, stall and die.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::Path;
use axum::routing::get;
use bytes::Bytes;
use common::{CHUNK, Vm, entry, introduce, model, origin, serve};
use futures::StreamExt as _;
use tokio_stream::wrappers::IntervalStream;
use wagtailreel_adapters::{HttpOrigin, Origin, PlatformError};
use wagtailreel_core::{Bundle, Digest, Manifest, ModelRef, VmEntry, WeightsPhase};
use wagtailreel_spread::ChunkSet;
use wagtailreel_standins::OriginStandin;

/// How often each chunk was asked for.
type Asked = Arc<Mutex<BTreeMap<String, u32>>>;

/// What a false peer does when it is asked for a chunk.
#[derive(Clone, Copy)]
enum Trick {
    /// Gives other bytes of the same length.
    Lies,
    /// Gives more and more bytes without an end.
    Overflows,
    /// Gives nothing and doesn't end.
    Stalls,
}

/// An origin whose manifests have another digest for the whole, and that notes when it is drawn
/// from.
#[derive(Clone)]
struct Spy {
    inner: HttpOrigin,
    is_wrong: bool,
    drawn: Arc<Mutex<Vec<Instant>>>,
}

impl Spy {
    fn new(origin: &OriginStandin) -> Self {
        Self {
            inner: HttpOrigin::new(origin.addr()),
            is_wrong: false,
            drawn: Arc::default(),
        }
    }
}

impl Origin for Spy {
    async fn manifest(&self, part: &ModelRef) -> Result<Manifest, PlatformError> {
        let mut manifest = self.inner.manifest(part).await?;
        if self.is_wrong {
            manifest.digest = Digest::of(b"another");
        }
        Ok(manifest)
    }

    async fn range(
        &self,
        part: &ModelRef,
        start: u64,
        length: u64,
    ) -> Result<Bytes, PlatformError> {
        self.drawn.lock().unwrap().push(Instant::now());
        self.inner.range(part, start, length).await
    }
}

/// Returns a body of many bytes a second without an end.
fn endless() -> axum::body::Body {
    let pieces = tokio::time::interval(Duration::from_millis(5));
    let pieces = IntervalStream::new(pieces).map(|_| Ok::<_, Infallible>(vec![7; CHUNK / 4]));
    axum::body::Body::from_stream(pieces)
}

/// Starts a false peer that says it has the first `chunks` chunks of a bundle of `total`.
async fn false_peer(trick: Trick, chunks: u32, total: u32) -> (VmEntry, Asked) {
    let mut set = ChunkSet::new(total);
    for chunk in 0..chunks {
        set.insert(chunk);
    }
    let have = format!(
        r#"{{"version": 5, "chunks": {total}, "have": "{}"}}"#,
        set.to_hex()
    );
    let asked = Asked::default();
    let seen = asked.clone();
    let give = move |Path(digest): Path<String>| {
        *seen.lock().unwrap().entry(digest).or_default() += 1;
        async move {
            match trick {
                Trick::Lies => axum::body::Body::from(vec![7; CHUNK]),
                Trick::Overflows => endless(),
                Trick::Stalls => std::future::pending().await,
            }
        }
    };
    let router = Router::new()
        .route("/weights/{bundle}/have", get(async move || have))
        .route("/chunks/{digest}", get(give));
    let (addr, _server) = serve(router).await;
    (entry("vm-false", "quito-hall", addr), asked)
}

/// A VM gets all its chunks although a peer plays a trick with the first three.
async fn outlast(trick: Trick) -> (Vm, Asked) {
    let scribe = model("1", 6);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start("vm-1", &origin).await;
    let (peer, asked) = false_peer(trick, 3, 6).await;
    vm.transfer.set_peers(vec![vm.entry.clone(), peer]);
    vm.want(3, scribe.part());
    vm.staged(3).await;
    assert_eq!(vm.read(3).await, origin.bytes(&scribe.part()).unwrap());
    (vm, asked)
}

/// What a liar gave is thrown away, and it isn't asked for the same again.
#[tokio::test]
async fn lying_peer() {
    let (vm, asked) = outlast(Trick::Lies).await;
    let asked = asked.lock().unwrap();
    assert!(!asked.is_empty());
    assert!(asked.values().all(|times| *times == 1), "{asked:?}");
    let corrupt = vm.metric("corrupt_chunks_total", "same-data-centre");
    assert_eq!(corrupt, asked.len() as u64);
}

/// A peer whose chunk doesn't end is cut off after the chunk's length.
#[tokio::test]
async fn overflowing_peer() {
    let (vm, asked) = outlast(Trick::Overflows).await;
    let asked = asked.lock().unwrap();
    assert!(!asked.is_empty());
    let corrupt = vm.metric("corrupt_chunks_total", "same-data-centre");
    assert_eq!(corrupt, asked.len() as u64);
}

#[tokio::test]
async fn stalling_peer() {
    let (_vm, asked) = outlast(Trick::Stalls).await;
    assert!(!asked.lock().unwrap().is_empty());
}

#[tokio::test]
async fn corrupt_origin() {
    let scribe = model("1", 12);
    let origin = origin(&[&scribe], 0);
    origin.faults().update(|faults| faults.corrupt_share = 0.3);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    vm.staged(3).await;
    assert_eq!(vm.read(3).await, origin.bytes(&scribe.part()).unwrap());
    let corrupted = origin.stats().corrupted;
    assert!(corrupted > 0, "the seed corrupts nothing");
    assert_eq!(vm.metric("corrupt_chunks_total", "origin"), corrupted);
}

/// Chunks that are right one by one don't make up for a whole that isn't.
#[tokio::test]
async fn wrong_whole() {
    let scribe = model("1", 4);
    let origin = origin(&[&scribe], 0);
    let mut spy = Spy::new(&origin);
    spy.is_wrong = true;
    let vm = Vm::start_on("vm-1", spy, |_| {}).await;
    vm.want(3, scribe.part());
    let failed = vm.phase(3, WeightsPhase::Failed).await;
    assert!(
        failed
            .trouble
            .unwrap()
            .contains("publish the weights again")
    );
    assert!(vm.transfer.body(3).is_none());
    let dropped = vm.wait(|progress| progress.bytes == 0).await;
    assert_eq!(dropped.epochs[&3].have, 0);
}

/// The manifest is had once the origin is back, and the trouble is told meanwhile.
#[tokio::test]
async fn origin_down() {
    let scribe = model("1", 4);
    let origin = origin(&[&scribe], 0);
    origin.faults().update(|faults| faults.common.down = true);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    let is_told = |progress: &wagtailreel_transfer::Progress| {
        let epoch = progress.epochs.get(&3);
        epoch.is_some_and(|epoch| epoch.trouble.is_some())
    };
    let told = vm.wait(is_told).await;
    assert_eq!(told.epochs[&3].phase, WeightsPhase::Fetching);
    origin.faults().clear();
    assert_eq!(vm.staged(3).await.trouble, None);
}

#[tokio::test]
async fn origin_crash() {
    let scribe = model("1", 20);
    let origin = origin(&[&scribe], 400_000);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    vm.wait(|progress| progress.bytes > 0).await;
    origin.crash();
    let is_told = |progress: &wagtailreel_transfer::Progress| progress.epochs[&3].trouble.is_some();
    vm.wait(is_told).await;
    origin.resume().unwrap();
    assert_eq!(vm.staged(3).await.trouble, None);
    assert_eq!(vm.read(3).await, origin.bytes(&scribe.part()).unwrap());
}

/// No draw comes before the time that a refusal asked for, however many were refused together.
#[tokio::test]
async fn retry_after() {
    let scribe = model("1", 6);
    let origin = origin(&[&scribe], 0);
    origin.faults().update(|faults| {
        faults.refuse_share = 1.0;
        faults.retry_after = Duration::from_secs(1);
    });
    let spy = Spy::new(&origin);
    let vm = Vm::start_on("vm-1", spy.clone(), |_| {}).await;
    vm.want(3, scribe.part());
    let is_told = |progress: &wagtailreel_transfer::Progress| {
        let epoch = progress.epochs.get(&3);
        epoch.is_some_and(|epoch| epoch.trouble.is_some())
    };
    vm.wait(is_told).await;
    origin.faults().clear();
    vm.staged(3).await;
    let drawn = spy.drawn.lock().unwrap();
    let refused = usize::try_from(origin.stats().refused).unwrap();
    assert!((1..=2).contains(&refused), "{refused} refusals");
    assert!(drawn[refused].duration_since(drawn[0]) >= Duration::from_secs(1));
}

/// VMs that lose their giver in the middle of chunks finish all the same.
#[tokio::test]
async fn peer_killed() {
    let scribe = model("1", 20);
    let origin = origin(&[&scribe], 0);
    let mut vms = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3"] {
        vms.push(Vm::start_with(vm, &origin, |cfg| cfg.egress = 200_000).await);
    }
    vms[0].want(3, scribe.part());
    vms[0].staged(3).await;
    introduce(&vms);
    for vm in &vms[1..] {
        vm.want(3, scribe.part());
    }
    let given = vms[1].wait(|progress| progress.bytes > 0).await;
    vms[0].kill();
    assert_eq!(given.epochs[&3].phase, WeightsPhase::Fetching);
    let drawn = origin.stats().bytes;
    for vm in &vms[1..] {
        vm.staged(3).await;
        assert_eq!(vm.read(3).await, origin.bytes(&scribe.part()).unwrap());
    }
    assert!(
        origin.stats().bytes > drawn,
        "the giver was not needed any more"
    );
}

/// The bundle's digest is what peers are asked by; a false one must not be mixed up with it.
#[tokio::test]
async fn other_bundle() {
    let scribe = model("1", 6);
    let origin = origin(&[&scribe], 0);
    let manifest = origin.manifest(&scribe.part()).unwrap();
    let vm = Vm::start("vm-1", &origin).await;
    let (peer, asked) = false_peer(Trick::Lies, 3, 7).await;
    vm.transfer.set_peers(vec![peer]);
    vm.want(3, scribe.part());
    let staged = vm.staged(3).await;
    assert!(asked.lock().unwrap().is_empty());
    let parts = vec![manifest];
    assert_eq!(*staged.bundle.unwrap(), Bundle { parts });
}
