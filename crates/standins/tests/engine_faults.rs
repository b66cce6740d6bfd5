//! The engine's faults through the adapter, and what each proves about a client.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, Stream};
use futures::{StreamExt as _, TryStreamExt as _};
use rstest::rstest;
use wagtailreel_adapters::{
    CacheEventKind, Effect, Engine as _, EngineEvent, GenerateRequest, HttpEngine, PlatformError,
};
use wagtailreel_core::{Bundle, Digest, Manifest, Priority};
use wagtailreel_standins::{EngineConfig, EngineStandin, RequestState, prefix_hash, token_text};

/// Longer than any test may take.
const LONG: Duration = Duration::from_secs(60);

/// Long enough for a local answer to come if it were to come.
const SHORT: Duration = Duration::from_millis(100);

const LENGTH: usize = 50_000;

const PROMPT: &str = "for a mason";

fn start(cfg: EngineConfig) -> (EngineStandin, HttpEngine) {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = EngineStandin::start(cfg, local).unwrap();
    let engine = HttpEngine::new(standin.addr());
    (standin, engine)
}

/// A bundle of one model whose bytes are all `fill`.
fn bundle(fill: u8) -> Bundle {
    Bundle {
        parts: vec![Manifest::from_bytes("scribe", "1", &[fill; LENGTH], 4096)],
    }
}

fn body(fill: u8) -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    stream::iter([Ok(Bytes::from(vec![fill; LENGTH]))])
}

fn request(name: &str, bundle: Digest) -> GenerateRequest {
    GenerateRequest {
        request: name.to_owned(),
        bundle,
        prompt: PROMPT.to_owned(),
        max_tokens: 40,
        priority: Priority::Normal,
        resume_from: 0,
    }
}

async fn until<C>(condition: C)
where
    C: Fn() -> bool,
{
    let reached = async {
        while !condition() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LONG, reached).await.unwrap();
}

#[rstest]
#[case::checks(true)]
#[case::ignores(false)]
#[tokio::test]
async fn old_fence(#[case] fencing: bool) {
    let cfg = EngineConfig {
        fencing,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    engine.load(&bundle(1), 9, body(1)).await.unwrap();
    let loaded = engine.load(&bundle(2), 8, body(2)).await;
    let dropped = engine.unload(bundle(1).digest(), 8).await;
    if fencing {
        for err in [loaded.unwrap_err(), dropped.unwrap_err()] {
            assert_eq!(err.status().unwrap(), 409);
            assert_eq!(err.took_effect(), Effect::No);
        }
        assert_eq!(standin.stats().refused_fence, 2);
    } else {
        assert_eq!(loaded.unwrap(), bundle(2).digest());
        dropped.unwrap();
    }
    assert_eq!(standin.held().contains_key(&bundle(1).digest()), fencing);
}

/// A higher fencing number that comes while an older load runs overtakes it.
#[tokio::test]
async fn overtaken_load() {
    let (standin, engine) = start(EngineConfig::default());
    let (tx, rx) = tokio::sync::oneshot::channel();
    let old = tokio::spawn({
        let engine = engine.clone();
        let late = stream::once(async move {
            rx.await.unwrap();
            Ok(Bytes::from(vec![1; LENGTH]))
        });
        async move { engine.load(&bundle(1), 8, late).await }
    });
    until(|| standin.stats().loads_begun == 1).await;
    engine.load(&bundle(2), 9, body(2)).await.unwrap();
    tx.send(()).unwrap();
    assert_eq!(old.await.unwrap().unwrap_err().status().unwrap(), 409);
    assert_eq!(engine.status().await.unwrap().bundles, [bundle(2).digest()]);
}

#[tokio::test]
async fn wrong_bytes() {
    let (standin, engine) = start(EngineConfig::default());
    let err = engine.load(&bundle(1), 1, body(2)).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 422);
    assert!(standin.held().is_empty());
}

/// An engine that takes anything gives itself away by its tokens.
#[tokio::test]
async fn accepts_anything() {
    let (standin, engine) = start(EngineConfig::default());
    standin
        .faults()
        .update(|faults| faults.accept_anything = true);
    let (named, real) = (bundle(1).digest(), bundle(2).digest());
    assert_eq!(engine.load(&bundle(1), 1, body(2)).await.unwrap(), named);
    assert_eq!(engine.status().await.unwrap().bundles, [named]);
    let tokens = engine.generate(&request("r1", named)).await.unwrap();
    let events: Vec<EngineEvent> = tokens.try_collect().await.unwrap();
    let text = token_text(real, PROMPT, 0);
    let first = EngineEvent::Token {
        index: 0,
        data: format!("{{\"index\": 0, \"token\": \"{text}\"}}").into(),
    };
    assert_eq!(events[0], first);
    let end = EngineEvent::End {
        tokens: 40,
        bundle: real,
    };
    assert_eq!(events.last(), Some(&end));
    assert_eq!(standin.request("r1").unwrap().bundle, Some(real));
}

#[tokio::test]
async fn no_place() {
    let cfg = EngineConfig {
        bundles: 1,
        ..EngineConfig::default()
    };
    let (_standin, engine) = start(cfg);
    engine.load(&bundle(1), 1, body(1)).await.unwrap();
    let err = engine.load(&bundle(2), 2, body(2)).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 507);
    assert_eq!(err.took_effect(), Effect::No);
    engine.load(&bundle(1), 2, body(1)).await.unwrap();
    engine.unload(bundle(1).digest(), 2).await.unwrap();
    engine.load(&bundle(2), 2, body(2)).await.unwrap();
}

/// A load that is given up half way holds nothing and gives its place back.
#[tokio::test]
async fn abandoned_load() {
    let cfg = EngineConfig {
        bundles: 1,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let never = stream::once(async { Ok(Bytes::from_static(&[1])) }).chain(stream::pending());
    let load = tokio::spawn({
        let engine = engine.clone();
        async move { engine.load(&bundle(1), 1, never).await }
    });
    until(|| standin.stats().loads_begun == 1).await;
    load.abort();
    let loaded = async {
        while engine.load(&bundle(2), 1, body(2)).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LONG, loaded).await.unwrap();
    assert_eq!(engine.status().await.unwrap().bundles, [bundle(2).digest()]);
}

#[tokio::test]
async fn lost_load() {
    let (standin, engine) = start(EngineConfig::default());
    standin.faults().update(|faults| faults.lose_loads = 1);
    let err = engine.load(&bundle(1), 1, body(1)).await.unwrap_err();
    assert_eq!(err.took_effect(), Effect::Maybe);
    assert_eq!(engine.status().await.unwrap().bundles, [bundle(1).digest()]);
}

#[tokio::test]
async fn failed_load() {
    let (standin, engine) = start(EngineConfig::default());
    standin.faults().update(|faults| faults.fail_loads = 1);
    let err = engine.load(&bundle(1), 1, body(1)).await.unwrap_err();
    assert_eq!(err.status().unwrap(), 500);
    assert_eq!(err.took_effect(), Effect::Maybe);
    assert!(standin.held().is_empty());
}

#[rstest]
#[case::at_once(0)]
#[case::in_the_middle(17)]
#[case::before_the_end(40)]
#[tokio::test]
async fn cut_stream(#[case] tokens: u32) {
    let (standin, engine) = start(EngineConfig::default());
    let digest = bundle(1).digest();
    standin.hold(digest);
    standin
        .faults()
        .update(|faults| faults.cut_after = Some(tokens));
    let stream = engine.generate(&request("r1", digest)).await.unwrap();
    let events: Vec<Result<EngineEvent, PlatformError>> = stream.collect().await;
    let (last, before) = events.split_last().unwrap();
    let given: Vec<u32> = before
        .iter()
        .map(|event| match event {
            Ok(EngineEvent::Token { index, .. }) => *index,
            other => panic!("{other:?}"),
        })
        .collect();
    // Tokens may be lost with the connection, but none is doubled or out of order.
    assert!(given.len() <= tokens as usize);
    assert!(given.iter().copied().eq(0..given.len() as u32));
    assert!(matches!(last, Err(PlatformError::Lost { .. })), "{last:?}");
    assert_eq!(standin.request("r1").unwrap().state, RequestState::Cut);
}

#[tokio::test]
async fn lost_answer() {
    let (standin, engine) = start(EngineConfig::default());
    let digest = bundle(1).digest();
    standin.hold(digest);
    standin.faults().update(|faults| faults.lose_answers = 1);
    let err = engine.generate(&request("r1", digest)).await.unwrap_err();
    assert_eq!(err.took_effect(), Effect::Maybe);
    until(|| standin.request("r1").unwrap().state == RequestState::Done).await;
    assert_eq!(standin.request("r1").unwrap().started, 1);
}

#[tokio::test]
async fn counts_each_start() {
    let (standin, engine) = start(EngineConfig::default());
    let digest = bundle(1).digest();
    standin.hold(digest);
    for _ in 0..2 {
        let tokens = engine.generate(&request("r1", digest)).await.unwrap();
        tokens.try_collect::<Vec<_>>().await.unwrap();
    }
    let stats = standin.request("r1").unwrap();
    assert_eq!((stats.received, stats.started, stats.tokens), (2, 2, 80));
}

#[tokio::test]
async fn freeze_and_thaw() {
    let cfg = EngineConfig {
        first_token: Duration::from_millis(10),
        between_tokens: Duration::from_millis(1),
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle(1).digest();
    standin.hold(digest);
    let req = GenerateRequest {
        max_tokens: 400,
        ..request("r1", digest)
    };
    let mut tokens = engine.generate(&req).await.unwrap();
    tokens.next().await.unwrap().unwrap();
    standin
        .faults()
        .update(|faults| faults.common.frozen = true);
    let given = standin.request("r1").unwrap().tokens;
    let hasty = engine.clone().with_timeout(SHORT);
    assert!(hasty.status().await.is_err());
    assert_eq!(standin.request("r1").unwrap().tokens, given);
    standin.faults().clear();
    let rest: Vec<EngineEvent> = tokens.try_collect().await.unwrap();
    assert_eq!(rest.len(), 400);
}

#[tokio::test]
async fn crash_cuts() {
    let cfg = EngineConfig {
        first_token: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle(1).digest();
    standin.hold(digest);
    let mut tokens = engine.generate(&request("r1", digest)).await.unwrap();
    standin.crash();
    let err = tokens.next().await.unwrap().unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    let fresh = HttpEngine::new(standin.addr());
    let err = fresh.status().await.unwrap_err();
    assert!(matches!(err, PlatformError::Unreachable { .. }), "{err}");
    standin.resume().unwrap();
    assert_eq!(fresh.status().await.unwrap().bundles, [digest]);
}

#[tokio::test]
async fn restart_forgets() {
    let (standin, engine) = start(EngineConfig::default());
    engine.load(&bundle(1), 9, body(1)).await.unwrap();
    let before = engine.status().await.unwrap().started_at;
    tokio::time::sleep(Duration::from_millis(2)).await;
    standin.restart().unwrap();
    let fresh = HttpEngine::new(standin.addr());
    let status = fresh.status().await.unwrap();
    assert!(status.bundles.is_empty());
    assert!(status.started_at > before);
    fresh.load(&bundle(1), 1, body(1)).await.unwrap();
}

#[tokio::test]
async fn status_lags() {
    let cfg = EngineConfig {
        first_token: LONG,
        status_lag: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle(1).digest();
    standin.hold(digest);
    assert_eq!(engine.status().await.unwrap().load.running, 0);
    let _tokens = engine.generate(&request("r1", digest)).await.unwrap();
    assert_eq!(engine.status().await.unwrap().load.running, 0);
}

#[tokio::test]
async fn cache_events_with_gaps() {
    let cfg = EngineConfig {
        first_token: LONG,
        first_token_hit: Some(Duration::ZERO),
        slots: 4,
        cache_entries: 1,
        cache_gap: 3,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle(1).digest();
    standin.hold(digest);
    let other = GenerateRequest {
        prompt: "for a clerk".to_owned(),
        ..request("r2", digest)
    };
    let _miss = engine.generate(&request("r1", digest)).await.unwrap();
    until(|| standin.stats().started == 1).await;
    // A hit isn't kept waiting for the first token.
    let hit = engine.generate(&request("r3", digest)).await.unwrap();
    assert_eq!(hit.try_collect::<Vec<_>>().await.unwrap().len(), 41);
    let _evicts = engine.generate(&other).await.unwrap();
    until(|| standin.stats().started == 3).await;
    assert_eq!(standin.stats().cache_hits, 1);
    let events = engine.cache_events(0).await.unwrap();
    let seen: Vec<(u64, &str, CacheEventKind)> = events
        .events
        .iter()
        .map(|event| (event.seq, event.prefix.as_str(), event.kind))
        .collect();
    // The third event, that the first prefix was evicted, falls into the gap.
    let stored = CacheEventKind::Stored;
    let (first, second) = (prefix_hash(PROMPT), prefix_hash("for a clerk"));
    assert_eq!(
        seen,
        [(1, first.as_str(), stored), (2, second.as_str(), stored)]
    );
    assert!(
        engine
            .cache_events(events.next)
            .await
            .unwrap()
            .events
            .is_empty()
    );
}

#[tokio::test]
async fn cache_events_lag() {
    let cfg = EngineConfig {
        cache_lag: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle(1).digest();
    standin.hold(digest);
    let tokens = engine.generate(&request("r1", digest)).await.unwrap();
    tokens.try_collect::<Vec<_>>().await.unwrap();
    assert!(engine.cache_events(0).await.unwrap().events.is_empty());
}

#[tokio::test]
async fn slow_tokens() {
    let (standin, engine) = start(EngineConfig::default());
    let digest = bundle(1).digest();
    standin.hold(digest);
    standin.faults().update(|faults| faults.slow_tokens = LONG);
    let mut tokens = engine.generate(&request("r1", digest)).await.unwrap();
    tokens.next().await.unwrap().unwrap();
    until(|| standin.stats().tokens == 1).await;
    assert_eq!(engine.status().await.unwrap().load.running, 1);
}
