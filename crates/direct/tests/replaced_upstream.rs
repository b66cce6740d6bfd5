//! Streams that stall at their upstream while another one is asked, and what both do meanwhile.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{Answer, call};
use common::upstream::{Act, TestUpstream, body_of, events, stream_head};
use common::weights::{WRITTEN, name};
use common::{
    TestDialect, directory, engine_record, entry, register, route, until_readiness, until_status,
};
use futures::future::join_all;
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{Directory, RouteKind};
use wagtailreel_standins::RegistryStandin;

const END: &str = "0\r\n\r\n";

/// Time for which an upstream is silent: longer than the stall timeout of 1 s before a head.
const SILENCE_MS: u64 = 1300;

/// Concurrent streams: more than the retry budget allows to repeat.
const CALLERS: usize = 48;

/// Reads after the streams. With a spent retry budget they earn less than two retries.
const READS: usize = 8;

/// Time within which a lost upstream has been probed.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

async fn start(registry: &RegistryStandin, directory: Directory) -> DirectEntry<TestDialect> {
    registry.config(directory);
    let entry = entry(registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    entry
}

fn with_attempts(max_attempts: u32) -> Directory {
    let base = directory(1);
    let mut routes = base.routes().to_vec();
    for route in &mut routes {
        route.max_attempts = max_attempts;
    }
    base.with_routes(routes)
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, body_of(1, 3));
}

/// Returns an answer with `status`, after the silence.
fn late_answer(status: u16, header: &str) -> Act {
    let text = format!("HTTP/1.1 {status} X\r\n{header}content-length: 0\r\n\r\n");
    Act::Silence(String::new(), SILENCE_MS, text)
}

/// Sends a stream to an upstream that follows `first`, beside which one that follows `other` comes up.
async fn answer_of_two(first: Act, other: Act) -> Answer {
    answer_with_attempts(first, other, 2).await
}

/// As [`answer_of_two`], with as many attempts at most.
async fn answer_with_attempts(first: Act, other: Act, max_attempts: u32) -> Answer {
    let registry = RegistryStandin::default();
    let first = TestUpstream::start(&[first]).await;
    let other = TestUpstream::start(&[other.clone(), other]).await;
    register(&registry, "a", first.addr);
    let entry = start(&registry, with_attempts(max_attempts)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", "/stream/1").await });
    first.until_seen(1).await;
    register(&registry, "b", other.addr);
    waiting.await.unwrap()
}

/// A refusal of the stalled upstream does not end the other one's attempt.
#[rstest]
#[tokio::test]
async fn refused_late(#[values(429, 421, 408, 503)] status: u16) {
    let refusal = late_answer(status, "x-not-run: 1\r\n");
    let answer = answer_of_two(refusal, Act::DelayedEvents(600, 1, 3)).await;
    assert_whole(&answer);
}

/// A request that both upstreams refuse as not run is not reported as one that may have run.
#[tokio::test]
async fn refused_twice() {
    let refusal = late_answer(429, "x-not-run: 1\r\n");
    let other = Act::DelayedAnswerWith(600, 429, "x-not-run: 1\r\n");
    let answer = answer_of_two(refusal, other).await;
    assert_eq!(answer.status, 503, "{answer:?}");
}

/// A server error is passed on if the other upstream does not answer.
#[tokio::test]
async fn error_late() {
    let other = Act::DelayedAnswerWith(600, 429, "x-not-run: 1\r\n");
    let answer = answer_of_two(late_answer(500, ""), other).await;
    assert_eq!(answer.status, 500, "{answer:?}");
}

/// A stream is not lost to an upstream that breaks off after the head of its answer.
#[rstest]
#[tokio::test]
async fn head_alone(#[values(0, 1)] events_before: u64, #[values(2, 3)] max_attempts: u32) {
    let (before, rest) = match events_before {
        0 => (String::new(), stream_head("r1") + &events(1, 3)),
        _ => (stream_head("r1") + &events(1, 1), events(2, 3)),
    };
    let first = Act::Silence(before, SILENCE_MS, rest + END);
    let other = Act::Steps(vec![(stream_head("r1"), 150)]);
    let answer = answer_with_attempts(first, other, max_attempts).await;
    assert_whole(&answer);
}

/// Looking for another upstream is no attempt: a stream that went on is still resumed once it breaks off.
#[tokio::test]
async fn unsent_attempt() {
    let registry = RegistryStandin::default();
    let first = TestUpstream::start(&[Act::Steps(vec![
        (stream_head("r1") + &events(1, 1), SILENCE_MS),
        (events(2, 2), 600),
    ])])
    .await;
    let other = TestUpstream::start(&[Act::Events(3, 3)]).await;
    register(&registry, "a", first.addr);
    let entry = start(&registry, directory(1)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", "/stream/1").await });
    first.until_steps(2).await;
    register(&registry, "b", other.addr);
    assert_whole(&waiting.await.unwrap());
}

/// Streams that stall at their only upstream leave the retry budget to others.
#[tokio::test]
async fn unsent_budget() {
    let registry = RegistryStandin::default();
    let before = stream_head("r1") + &events(1, 1);
    let act = Act::Silence(before, SILENCE_MS, events(2, 3) + END);
    let first = TestUpstream::start(&vec![act; CALLERS]).await;
    let other = TestUpstream::start(&vec![Act::Close; CALLERS]).await;
    register(&registry, "a", first.addr);
    let entry = start(&registry, directory(1)).await;
    let callers = entry.callers();
    let streams = (0..CALLERS).map(|_| call(callers, "GET", "/stream/1"));
    for answer in join_all(streams).await {
        assert_whole(&answer);
    }
    register(&registry, "b", other.addr);
    // Once the entry knows an upstream that was registered later, it knows this one.
    let writer = TestUpstream::start(&[]).await;
    registry.upstream(engine_record("c", &writer, 1));
    until_status(callers, "/written/1", 200).await;
    for _ in 0..READS {
        let answer = call(callers, "GET", "/read/1").await;
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(!other.seen().is_empty(), "no read had to be repeated");
}

/// A replacement that stalls as well makes no more attempts than the route allows.
#[tokio::test]
async fn nested_attempts() {
    let registry = RegistryStandin::default();
    let first = TestUpstream::start(&[Act::Steps(vec![
        (stream_head("r1") + &events(1, 1), 2600),
        (events(2, 2), 400),
    ])])
    .await;
    let second = TestUpstream::start(&[Act::NoAnswer]).await;
    let third = TestUpstream::start(&[Act::NoAnswer]).await;
    let fourth = TestUpstream::start(&[Act::Events(3, 3)]).await;
    register(&registry, "a", first.addr);
    let entry = start(&registry, with_attempts(3)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", "/stream/1").await });
    first.until_silent().await;
    register(&registry, "b", second.addr);
    second.until_seen(1).await;
    register(&registry, "c", third.addr);
    third.until_seen(1).await;
    first.until_steps(2).await;
    register(&registry, "d", fourth.addr);
    waiting.await.unwrap();
    let seen = [&first, &second, &third, &fourth].map(|it| it.seen().len());
    assert_eq!(seen, [1, 1, 1, 0]);
}

/// A stream leaves an upstream with outdated weights at their bound, also while another one is asked.
#[tokio::test]
async fn outdated_weights() {
    let registry = RegistryStandin::default();
    let old = TestUpstream::start(&[Act::Events(1, 1), Act::NoAnswer]).await;
    let other = TestUpstream::start(&[Act::NoAnswer]).await;
    let stream = RouteKind::Stream {
        resumable: true,
        gap: Some(Duration::from_millis(100)),
    };
    let mut written = route(WRITTEN, stream);
    written.services = vec![("writers".to_owned(), 1)];
    written.max_attempts = 4;
    registry.config(directory(1).with_routes(vec![written]));
    let entry = entry(&registry, Duration::from_secs(4)).await;
    registry.upstream(engine_record("old", &old, 1));
    let callers = entry.callers();
    until_status(callers, WRITTEN, 200).await;
    let waiting = tokio::spawn(async move { call(callers, "GET", WRITTEN).await });
    old.until_seen(2).await;
    registry.upstream(engine_record("other", &other, 1));
    other.until_seen(1).await;
    name(&registry, 2);
    old.until_request_aborted().await;
    assert!(!waiting.is_finished(), "the stream ended before");
}

/// An upstream that breaks off while another one is asked is probed, as it may have crashed.
#[tokio::test]
async fn broken_beside() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let registry = RegistryStandin::default();
    let other = TestUpstream::start(&[Act::DelayedEvents(600, 1, 3)]).await;
    register(&registry, "a", listener.local_addr().unwrap());
    let entry = start(&registry, directory(1)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", "/stream/1").await });
    let (mut first, _) = listener.accept().await.unwrap();
    let begin = stream_head("r1") + &events(1, 1);
    first.write_all(begin.as_bytes()).await.unwrap();
    register(&registry, "b", other.addr);
    other.until_seen(1).await;
    drop(first);
    let probed = tokio::time::timeout(PROBE_TIMEOUT, listener.accept()).await;
    assert_whole(&waiting.await.unwrap());
    assert!(probed.is_ok(), "the upstream was not probed");
}
