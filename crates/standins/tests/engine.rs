//! The engine's protocol through the adapter: weights, answers, cancelling, status.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::stream::{self, Stream};
use futures::{StreamExt as _, TryStreamExt as _};
use wagtailreel_adapters::{
    CancelState, Engine as _, EngineEvent, GenerateRequest, HttpEngine, PlatformError,
};
use wagtailreel_core::{Bundle, Digest, Manifest, Priority};
use wagtailreel_standins::{EngineConfig, EngineStandin, RequestState, token_text};

/// Longer than any test may take.
const LONG: Duration = Duration::from_secs(60);

const MODEL: &[u8] = &[1; 100_000];
const ADAPTER: &[u8] = &[2; 5_000];

fn start(cfg: EngineConfig) -> (EngineStandin, HttpEngine) {
    let local = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin = EngineStandin::start(cfg, local).unwrap();
    let engine = HttpEngine::new(standin.addr());
    (standin, engine)
}

fn bundle() -> Bundle {
    let part = |name: &str, data| Manifest::from_bytes(name, "1", data, 4096);
    Bundle {
        parts: vec![part("scribe", MODEL), part("kichwa", ADAPTER)],
    }
}

/// All bytes of the bundle, in frames that don't end where the parts do.
fn body() -> impl Stream<Item = Result<Bytes, io::Error>> + Send + 'static {
    let bytes = [MODEL, ADAPTER].concat();
    let frames: Vec<_> = bytes.chunks(7_001).map(Bytes::copy_from_slice).collect();
    stream::iter(frames.into_iter().map(Ok))
}

fn request(name: &str, bundle: Digest, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        request: name.to_owned(),
        bundle,
        prompt: "for a mason".to_owned(),
        max_tokens,
        priority: Priority::Normal,
        resume_from: 0,
    }
}

/// One token with its data to the letter.
fn token(bundle: Digest, index: u32) -> EngineEvent {
    let text = token_text(bundle, "for a mason", index);
    let data = format!("{{\"index\": {index}, \"token\": \"{text}\"}}");
    EngineEvent::Token {
        index,
        data: data.into(),
    }
}

/// The whole answer that `bundle` gives from `start` on.
fn answer(bundle: Digest, start: u32, tokens: u32) -> Vec<EngineEvent> {
    let end = EngineEvent::End { tokens, bundle };
    (start..tokens)
        .map(|index| token(bundle, index))
        .chain([end])
        .collect()
}

/// Waits for a request to be in a state.
async fn until_state(standin: &EngineStandin, request: &str, state: RequestState) {
    let reached = async {
        while standin.request(request).map(|stats| stats.state) != Some(state) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(LONG, reached).await.unwrap();
}

#[tokio::test]
async fn load_and_generate() {
    let (standin, engine) = start(EngineConfig::default());
    let bundle = bundle();
    let digest = bundle.digest();
    assert_eq!(engine.load(&bundle, 5, body()).await.unwrap(), digest);
    assert_eq!(engine.status().await.unwrap().bundles, [digest]);
    let tokens = engine.generate(&request("r1", digest, 50)).await.unwrap();
    let events: Vec<EngineEvent> = tokens.try_collect().await.unwrap();
    assert_eq!(events, answer(digest, 0, 50));
    let stats = standin.request("r1").unwrap();
    assert_eq!((stats.started, stats.tokens), (1, 50));
    assert_eq!(
        (stats.bundle, stats.state),
        (Some(digest), RequestState::Done)
    );
}

#[tokio::test]
async fn resume_gives_rest() {
    let (standin, engine) = start(EngineConfig::default());
    let digest = bundle().digest();
    standin.hold(digest);
    let req = GenerateRequest {
        resume_from: 30,
        ..request("r1", digest, 50)
    };
    let tokens = engine.generate(&req).await.unwrap();
    let events: Vec<EngineEvent> = tokens.try_collect().await.unwrap();
    assert_eq!(events, answer(digest, 30, 50));
}

#[tokio::test]
async fn unknown_bundle() {
    let (standin, engine) = start(EngineConfig::default());
    let err = engine
        .generate(&request("r1", bundle().digest(), 1))
        .await
        .unwrap_err();
    assert_eq!(err.status().unwrap(), 404);
    assert_eq!(standin.request("r1"), None);
}

#[tokio::test]
async fn unload_cuts() {
    let cfg = EngineConfig {
        first_token: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle().digest();
    standin.hold(digest);
    let mut tokens = engine.generate(&request("r1", digest, 5)).await.unwrap();
    until_state(&standin, "r1", RequestState::Running).await;
    engine.unload(digest, 1).await.unwrap();
    let err = tokens.next().await.unwrap().unwrap_err();
    assert!(matches!(err, PlatformError::Lost { .. }), "{err}");
    assert!(engine.status().await.unwrap().bundles.is_empty());
}

#[tokio::test]
async fn cancel_states() {
    let cfg = EngineConfig {
        slots: 1,
        first_token: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle().digest();
    standin.hold(digest);
    assert_eq!(engine.cancel("r1").await.unwrap(), CancelState::Unknown);
    let mut running = engine.generate(&request("r1", digest, 5)).await.unwrap();
    until_state(&standin, "r1", RequestState::Running).await;
    let _waiting = engine.generate(&request("r2", digest, 5)).await.unwrap();
    assert_eq!(engine.status().await.unwrap().load.waiting, 1);
    assert_eq!(engine.cancel("r2").await.unwrap(), CancelState::Cancelled);
    assert_eq!(engine.cancel("r1").await.unwrap(), CancelState::Cancelled);
    // A stream without its end is an error, however it was closed.
    assert!(running.next().await.unwrap().is_err());
    assert_eq!(engine.cancel("r1").await.unwrap(), CancelState::Done);
    assert_eq!(standin.request("r2").unwrap().started, 0);
}

#[tokio::test]
async fn full_engine_refuses() {
    let cfg = EngineConfig {
        slots: 1,
        queue: 1,
        first_token: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle().digest();
    standin.hold(digest);
    let first = engine.generate(&request("r1", digest, 5)).await.unwrap();
    let _second = engine.generate(&request("r2", digest, 5)).await.unwrap();
    let err = engine
        .generate(&request("r3", digest, 5))
        .await
        .unwrap_err();
    assert_eq!(err.status().unwrap(), 429);
    assert_eq!(standin.request("r3"), None);
    // A reader that leaves gives its slot to the one that waits.
    drop(first);
    until_state(&standin, "r2", RequestState::Running).await;
    assert_eq!(standin.request("r1").unwrap().state, RequestState::Cut);
}

#[tokio::test]
async fn priority_goes_first() {
    let cfg = EngineConfig {
        slots: 1,
        first_token: LONG,
        ..EngineConfig::default()
    };
    let (standin, engine) = start(cfg);
    let digest = bundle().digest();
    standin.hold(digest);
    let first = engine.generate(&request("r1", digest, 5)).await.unwrap();
    until_state(&standin, "r1", RequestState::Running).await;
    let _normal = engine.generate(&request("r2", digest, 5)).await.unwrap();
    let high = GenerateRequest {
        priority: Priority::High,
        ..request("r3", digest, 5)
    };
    let _high = engine.generate(&high).await.unwrap();
    drop(first);
    until_state(&standin, "r3", RequestState::Running).await;
    assert_eq!(standin.request("r2").unwrap().state, RequestState::Waiting);
}
