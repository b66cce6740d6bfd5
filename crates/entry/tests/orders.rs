//! Orders that run at most once.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::agent::Action;
use common::caller::Request;
use common::{Bench, SERVICE, until, unused_addr};
use rstest::rstest;
use wagtailreel_adapters::HttpClient;
use wagtailreel_core::NotRunReason;
use wagtailreel_entry::EntryProcess;

fn key(text: &str) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    format!("{}.{text}", now.as_secs())
}

fn order(bench: &Bench, entry: usize, key: &str) -> Request {
    Request::generate(bench.callers(entry), 2).with("wagtailreel-order", key)
}

/// Waits until every entry can read the stream of orders, by sending an order to each. Returns the
/// number of runs.
async fn warm_up(bench: &Bench) -> usize {
    for entry in 0..bench.entries.len() {
        until("an order is accepted", || async {
            let key = key(&format!("warm-{entry}-{}", bench.runs().len()));
            order(bench, entry, &key).send().await.status == 200
        })
        .await;
    }
    bench.runs().len()
}

#[tokio::test(flavor = "multi_thread")]
async fn claimed_once() {
    let bench = Bench::start(SERVICE, 2, &["u1", "u2"]).await;
    let before = warm_up(&bench).await;
    for round in 0..10 {
        let key = key(&format!("slab-{round}"));
        let sent = (0..6).map(|number| tokio::spawn(order(&bench, number % 2, &key).send()));
        let mut statuses = Vec::new();
        for answer in sent.collect::<Vec<_>>() {
            let answer = answer.await.unwrap();
            if answer.status != 200 {
                assert_eq!(answer.verdict(), "409 not-run claimed");
            }
            statuses.push(answer.status);
        }
        assert_eq!(statuses.iter().filter(|status| **status == 200).count(), 1);
    }
    assert_eq!(bench.runs().len(), before + 10);
    bench.stop().await;
}

/// Orders that arrive while an append is in flight share the next append.
#[tokio::test(flavor = "multi_thread")]
async fn group_commit() {
    let bench = Bench::start(SERVICE, 1, &["u1", "u2"]).await;
    warm_up(&bench).await;
    let appends = bench.log.stats().appends;
    bench.log.faults().update(|faults| {
        faults.common.slow = Duration::from_millis(100);
    });
    let sent =
        (0..12).map(|number| tokio::spawn(order(&bench, 0, &key(&format!("n{number}"))).send()));
    for answer in sent.collect::<Vec<_>>() {
        assert_eq!(answer.await.unwrap().status, 200);
    }
    let appends = bench.log.stats().appends - appends;
    assert!(appends <= 6, "{appends} appends for 12 orders");
    bench.stop().await;
}

/// Starts a proxy of the log. While `is_faulty`, the proxy loses answers to appends and delays reads, so
/// that an entry sees the lost answer before it reads its claim.
async fn faulty_log(log: SocketAddr, is_faulty: Arc<AtomicBool>) -> SocketAddr {
    let client = HttpClient::new();
    let forward = move |req: axum::extract::Request| async move {
        let (mut head, body) = req.into_parts();
        let body = axum::body::to_bytes(body, 1 << 20).await.unwrap();
        let is_append = head.method == http::Method::POST;
        head.uri = format!("http://{log}{}", head.uri).parse().unwrap();
        let req = http::Request::from_parts(head, wagtailreel_adapters::Body::from(body));
        let response = client.request(req).await.unwrap();
        if !is_faulty.load(Ordering::Relaxed) {
            return response.map(axum::body::Body::new);
        }
        if is_append {
            let lost = http::StatusCode::INTERNAL_SERVER_ERROR;
            return axum::response::IntoResponse::into_response(lost);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
        response.map(axum::body::Body::new)
    };
    let listener = tokio::net::TcpListener::bind(unused_addr()).await.unwrap();
    let addr = listener.local_addr().unwrap();
    let router = axum::Router::new().fallback(forward);
    tokio::spawn(async move { axum::serve(listener, router).await });
    addr
}

/// Claims whose answers are lost are read back, and appending them again does not run an order twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_append() {
    let mut bench = Bench::empty();
    let is_faulty = Arc::new(AtomicBool::new(false));
    let log = faulty_log(bench.log.addr(), Arc::clone(&is_faulty)).await;
    let mut settings = bench.settings();
    settings.platform.log = format!("http://{log}");
    bench
        .entries
        .push(EntryProcess::start(settings).await.unwrap());
    bench.add_agent("u1", SERVICE).await;
    bench.submit(SERVICE).await;
    bench.settle(SERVICE).await;
    let before = warm_up(&bench).await;
    is_faulty.store(true, Ordering::Relaxed);
    let key = key("slab");
    let (one, other) = tokio::join!(order(&bench, 0, &key).send(), order(&bench, 0, &key).send(),);
    let mut verdicts = [one.verdict(), other.verdict()];
    verdicts.sort();
    assert_eq!(verdicts, ["200  ", "409 not-run claimed"]);
    assert_eq!(bench.runs().len(), before + 1);
    is_faulty.store(false, Ordering::Relaxed);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_away() {
    let bench = Bench::start(SERVICE, 1, &["u1", "u2"]).await;
    let before = warm_up(&bench).await;
    bench
        .log
        .faults()
        .update(|faults| faults.common.down = true);
    let refused = order(&bench, 0, &key("slab")).send().await;
    assert_eq!(refused.verdict(), "503 not-run log-away");
    assert!(refused.header("retry-after").parse::<u64>().unwrap() >= 1);
    assert_eq!(bench.runs().len(), before);
    let plain = Request::generate(bench.callers(0), 2).send().await;
    assert_eq!(plain.status, 200, "requests without a key go on");
    bench.log.faults().clear();
    let key = key("slab-2");
    until("the log is readable again", || async {
        order(&bench, 0, &key).send().await.status == 200
    })
    .await;
    assert_eq!(bench.runs().len(), before + 2);
    bench.stop().await;
}

/// The entry sends an order again only if the agent confirms that it did not run.
#[rstest]
#[case::known_not_run("not-run", 2, "200  ")]
#[case::maybe_run("started", 1, "502 unknown answer-lost")]
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer(#[case] state: &'static str, #[case] runs: usize, #[case] verdict: &str) {
    let bench = Bench::start(SERVICE, 1, &["u1", "u2"]).await;
    let before = warm_up(&bench).await;
    for agent in &bench.agents {
        agent.set_cancel_state(state);
    }
    bench.script([Action::Drop]);
    let key = key("slab");
    let answer = order(&bench, 0, &key).send().await;
    assert_eq!(answer.verdict(), verdict);
    assert_eq!(bench.runs().len(), before + runs);
    let again = order(&bench, 0, &key).send().await;
    assert_eq!(again.verdict(), "409 not-run claimed");
    bench.stop().await;
}

/// An order whose stream was cut is not sent to another agent.
#[tokio::test(flavor = "multi_thread")]
async fn cut_order_not_resent() {
    let bench = Bench::start(SERVICE, 1, &["u1", "u2"]).await;
    let before = warm_up(&bench).await;
    bench.script([Action::Cut(1)]);
    let answer = order(&bench, 0, &key("slab")).send().await;
    let last = answer.session().lines().last().unwrap().to_owned();
    assert_eq!(last, "error {\"outcome\":\"unknown\",\"reason\":\"cut\"}");
    assert_eq!(bench.runs().len(), before + 1);
    bench.stop().await;
}

/// The key of an order that was not run is released, so that the order may be sent again.
#[tokio::test(flavor = "multi_thread")]
async fn released_key() {
    let bench = Bench::start(SERVICE, 2, &["u1", "u2"]).await;
    let before = warm_up(&bench).await;
    bench.script([
        Action::Refuse(NotRunReason::Full),
        Action::Refuse(NotRunReason::Full),
    ]);
    let key = key("slab");
    let refused = order(&bench, 0, &key).send().await;
    assert_eq!(refused.verdict(), "429 not-run full");
    until("the key is free at the other entry", || async {
        let again = order(&bench, 1, &key).send().await;
        assert!(matches!(again.status, 200 | 409), "{}", again.verdict());
        again.status == 200
    })
    .await;
    assert_eq!(bench.runs().len(), before + 3);
    bench.stop().await;
}
