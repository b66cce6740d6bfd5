//! Requests whose upstream is silent for a moment and then goes on, at each step of the answer, beside a change
//! of the configuration and without another upstream. Each gets its complete answer.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::{Answer, call};
use common::edits::{Edit, directory, routes};
use common::upstream::{Act, TestUpstream, body_of, chunk, events, stream_head};
use common::{TestDialect, entry, register, registered, until_readiness, until_status};
use futures::future::join_all;
use rstest::rstest;
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{Change, Directory};
use wagtailreel_standins::RegistryStandin;

/// Time for which the upstream is silent: longer than the stall timeout of 1 s and the longest time of a head.
const SILENCE_MS: u64 = 1300;

/// Concurrent streams at silent upstreams: more than the retry budget allows to repeat.
const CALLERS: usize = 48;

/// Requests that fill an upstream of a plain service with one slot, with those that wait for it.
const PLACES: usize = 2;

/// Where in its answer the upstream is silent.
#[derive(Clone, Copy, Debug)]
enum Point {
    BeforeHead,
    InHead,
    BeforeFirstEvent,
    InEvent,
    BetweenEvents,
    BeforeEnd,
}

impl Point {
    /// Returns the act of an upstream that is silent here in a stream of three events.
    fn stream(self) -> Act {
        let head = stream_head("r1");
        let all = events(1, 3) + "0\r\n\r\n";
        let (before, after) = match self {
            Self::BeforeHead => (String::new(), head + &all),
            Self::InHead => (head[..20].to_owned(), head[20..].to_owned() + &all),
            Self::BeforeFirstEvent => (head, all),
            Self::InEvent => {
                let (half, rest) = ("id: 2\nda", "ta: piece 2\n\n");
                let before = head + &events(1, 1) + &chunk(half);
                (before, chunk(rest) + &events(3, 3) + "0\r\n\r\n")
            }
            Self::BetweenEvents => (head + &events(1, 1), events(2, 3) + "0\r\n\r\n"),
            Self::BeforeEnd => (head + &events(1, 3), "0\r\n\r\n".to_owned()),
        };
        Act::Silence(before, SILENCE_MS, after)
    }
}

/// Returns the act of an upstream that is silent in a plain answer after `sent` bytes.
fn plain(sent: usize) -> Act {
    let text = "HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok";
    Act::Silence(text[..sent].to_owned(), SILENCE_MS, text[sent..].to_owned())
}

async fn start(registry: &RegistryStandin, directory: Directory) -> DirectEntry<TestDialect> {
    registry.config(directory);
    let entry = entry(registry, Duration::from_secs(4)).await;
    until_readiness(&entry, 200).await;
    entry
}

/// Sends `path` to the only upstream, which follows `act`, and applies `edit` while it is silent.
async fn answer_beside(act: Act, method: &'static str, path: &'static str, edit: Edit) -> Answer {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[act]).await;
    register(&registry, "a", upstream.addr);
    let entry = start(&registry, directory(1, Edit::Nothing)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, method, path).await });
    upstream.until_silent().await;
    registry.config(directory(2, edit));
    until_status(callers, "/v2/", 503).await;
    let answer = waiting.await.unwrap();
    assert_eq!(upstream.aborted(), 0, "the upstream was given up");
    answer
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, body_of(1, 3));
}

/// A stream is not given up at its only upstream because that is silent for a moment.
#[rstest]
#[tokio::test]
async fn only_upstream(
    #[values(
        Point::BeforeHead,
        Point::InHead,
        Point::BeforeFirstEvent,
        Point::InEvent,
        Point::BetweenEvents,
        Point::BeforeEnd
    )]
    point: Point,
    #[values(
        Edit::Nothing,
        Edit::IdleTime,
        Edit::Timeout,
        Edit::RouteMoved,
        Edit::RouteRemoved,
        Edit::KeyRevoked,
        Edit::ServiceRemoved
    )]
    edit: Edit,
) {
    let answer = answer_beside(point.stream(), "GET", "/stream/1", edit).await;
    assert_whole(&answer);
}

/// A plain request waits for its silent upstream, before the head and within the body.
#[rstest]
#[tokio::test]
async fn plain_answer(
    #[values(0, 48)] sent: usize,
    #[values(("GET", "/read/1"), ("POST", "/order/1"))] req: (&'static str, &'static str),
    #[values(
        Edit::Nothing,
        Edit::IdleTime,
        Edit::Timeout,
        Edit::RouteMoved,
        Edit::RouteRemoved,
        Edit::KeyRevoked,
        Edit::ServiceRemoved
    )]
    edit: Edit,
) {
    let answer = answer_beside(plain(sent), req.0, req.1, edit).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
}

/// An upstream that is silent within a head is not taken for one that sends a head without end.
#[rstest]
#[tokio::test]
async fn plain_half_head(
    #[values(("GET", "/read/1"), ("POST", "/order/1"))] req: (&'static str, &'static str),
    #[values(8, 20, 44)] sent: usize,
) {
    let answer = answer_beside(plain(sent), req.0, req.1, Edit::Nothing).await;
    assert_eq!((answer.status, answer.body.as_str()), (200, "ok"));
}

/// A body that is too long to be buffered, and so can't be taken over, is waited for.
#[tokio::test]
async fn long_body() {
    let body = "x".repeat(512 * 1024);
    let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
    let (first, rest) = body.split_at(400 * 1024);
    let act = Act::Silence(head + first, SILENCE_MS, rest.to_owned());
    let answer = answer_beside(act, "GET", "/read/1", Edit::Nothing).await;
    assert_eq!(answer.status, 200);
    assert!(answer.is_whole, "{} bytes", answer.body.len());
}

/// Why no other upstream takes the stream.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// All slots of the other one are taken.
    Full,
    /// The other one refuses.
    Refuses,
    /// The other one breaks off before its answer.
    Breaks,
    /// The other one is silent for longer.
    SilentLonger,
    /// The route allows one attempt.
    OneAttempt,
}

/// A stream is not given up before another upstream has taken it.
#[rstest]
#[tokio::test]
async fn untaken_stream(
    #[values(
        Point::BeforeHead,
        Point::InHead,
        Point::BeforeFirstEvent,
        Point::InEvent,
        Point::BetweenEvents,
        Point::BeforeEnd
    )]
    point: Point,
    #[values(
        Obstacle::Full,
        Obstacle::Refuses,
        Obstacle::Breaks,
        Obstacle::SilentLonger,
        Obstacle::OneAttempt
    )]
    obstacle: Obstacle,
) {
    let registry = RegistryStandin::default();
    let upstream = TestUpstream::start(&[point.stream()]).await;
    let act = match obstacle {
        Obstacle::Full | Obstacle::SilentLonger => Act::NoAnswer,
        Obstacle::Refuses => Act::NotRun,
        Obstacle::Breaks => Act::Close,
        Obstacle::OneAttempt => Act::Events(1, 3),
    };
    let other = TestUpstream::start(&vec![act; PLACES]).await;
    let mut routes = routes();
    if let Obstacle::OneAttempt = obstacle {
        routes.iter_mut().for_each(|route| route.max_attempts = 1);
    }
    let directory = directory(1, Edit::Nothing).with_routes(routes);
    let other_record = wagtailreel_fleet::Upstream {
        slots: 1,
        ..registered("b", other.addr)
    };
    let other_record = Change::Upstream(Box::new(other_record));
    let entry = start(&registry, directory).await;
    let callers = entry.callers();
    if let Obstacle::Full = obstacle {
        registry.upstream(other_record.clone());
        for _ in 0..PLACES {
            tokio::spawn(async move { until_status(callers, "/read/1", 200).await });
        }
        other.until_seen(PLACES).await;
    }
    register(&registry, "a", upstream.addr);
    let waiting = tokio::spawn(async move { until_status(callers, "/stream/1", 200).await });
    upstream.until_silent().await;
    registry.upstream(other_record);
    let answer = waiting.await.unwrap();
    assert_whole(&answer);
    assert_eq!(upstream.aborted(), 0, "the upstream was given up");
    assert_eq!(upstream.seen().len(), 1);
}

/// A stream whose upstream sends nothing more, or breaks off while another one is asked, is resumed there, also if
/// that is silent for a moment.
#[rstest]
#[tokio::test]
async fn resumed_stream(
    #[values(
        Act::EventsThenStall(1, 1),
        Act::Silence(stream_head("r1") + &events(1, 1), SILENCE_MS, "X\r\n".to_owned())
    )]
    act: Act,
    #[values(0, SILENCE_MS)] silence_ms: u64,
) {
    let registry = RegistryStandin::default();
    let rest = stream_head("r1") + &events(2, 3) + "0\r\n\r\n";
    let next = Act::Silence(String::new(), silence_ms, rest);
    let first = TestUpstream::start(&[act]).await;
    let other = TestUpstream::start(&[next]).await;
    register(&registry, "a", first.addr);
    let entry = start(&registry, directory(1, Edit::Nothing)).await;
    let callers = entry.callers();
    let waiting = tokio::spawn(async move { call(callers, "GET", "/stream/1").await });
    first.until_seen(1).await;
    register(&registry, "b", other.addr);
    let answer = waiting.await.unwrap();
    assert_whole(&answer);
    assert_eq!((first.seen().len(), other.seen().len()), (1, 1));
}

/// Streams that stall together spend the retry budget. Those that are not repeated go on.
#[tokio::test]
async fn spent_budget() {
    let registry = RegistryStandin::default();
    let acts = vec![Point::BeforeFirstEvent.stream(); 2 * CALLERS];
    let upstreams = [
        TestUpstream::start(&acts).await,
        TestUpstream::start(&acts).await,
    ];
    for (id, upstream) in ["a", "b"].into_iter().zip(&upstreams) {
        let slots = u32::try_from(2 * CALLERS).unwrap();
        let record = wagtailreel_fleet::Upstream {
            slots,
            ..registered(id, upstream.addr)
        };
        registry.upstream(Change::Upstream(Box::new(record)));
    }
    let entry = start(&registry, directory(1, Edit::Nothing)).await;
    let callers = entry.callers();
    let answers = (0..CALLERS).map(|_| call(callers, "GET", "/stream/1"));
    for answer in join_all(answers).await {
        assert_whole(&answer);
    }
}
