//! Each caller gets the whole answer to its own request, or an error.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::agent::{Action, weights};
use common::caller::{Answer, Request};
use common::{Bench, PLAIN, SERVICE, until};
use insta::assert_snapshot;
use rstest::rstest;
use wagtailreel_core::NotRunReason;

async fn two_agents() -> Bench {
    Bench::start(SERVICE, 1, &["u1", "u2"]).await
}

fn call(bench: &Bench, path: &str) -> Request {
    let path = format!("/v1/services/{PLAIN}/call/{path}");
    Request::post(bench.callers(0), &path).with_bearer(common::KEY)
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answer() {
    let bench = two_agents().await;
    let request = Request::generate(bench.callers(0), 4).with("wagtailreel-request", "mine");
    let answer = request.send().await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("wagtailreel-request"), "mine");
    assert_snapshot!(answer.session());
    let runs = bench.runs();
    assert_eq!(runs.len(), 1);
    assert!(!runs[0].headers.contains(&"authorization".to_owned()));
    assert!(bench.agents.iter().all(|agent| agent.cancels().is_empty()));
    bench.stop().await;
}

/// A stream that is cut off in any way is resumed: the caller gets each token once, and the end only
/// after all tokens.
#[rstest]
#[case::connection_cut(Action::Cut(3), "3")]
#[case::before_token(Action::Cut(0), "")]
#[case::end_missing(Action::EndEarly(5), "5")]
#[case::token_missing(Action::Skip(2), "2")]
#[tokio::test(flavor = "multi_thread")]
async fn resumed_whole(#[case] first: Action, #[case] from: &str) {
    let bench = two_agents().await;
    bench.script([first]);
    let answer = Request::generate(bench.callers(0), 5).send().await;
    let runs = bench.runs();
    let resumed = runs.iter().find(|seen| seen.id.ends_with("-1")).unwrap();
    assert_eq!(resumed.resume_from, from);
    assert_eq!(resumed.pin, weights().to_string());
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].vm, runs[1].vm);
    assert_snapshot!("resumed_whole", answer.session());
    bench.stop().await;
}

/// If the reports of an agent stop during a stream, the entry resumes the stream at another agent.
#[tokio::test(flavor = "multi_thread")]
async fn silent_agent() {
    let bench = two_agents().await;
    bench.script([Action::Hold]);
    let sent = tokio::spawn(Request::generate(bench.callers(0), 5).send());
    until("the request has arrived", || async {
        bench.runs().len() == 1
    })
    .await;
    let vm = bench.runs()[0].vm.clone();
    let silent = bench.agents.iter().find(|agent| agent.listed().vm == vm);
    silent.unwrap().control.stop();
    assert_snapshot!("resumed_whole", sent.await.unwrap().session());
    assert_eq!(bench.runs().len(), 2);
    bench.stop().await;
}

/// An upstream gets no new requests once the list of VMs or its own report marks it as leaving.
#[rstest]
#[case::listed(|bench: &Bench| bench.vms.leave("u1"))]
#[case::reported(|bench: &Bench| bench.agents[0].set_report(|report| report.leaving = true))]
#[tokio::test(flavor = "multi_thread")]
async fn leaving_upstream(#[case] leave: fn(&Bench)) {
    let bench = two_agents().await;
    leave(&bench);
    until("the entry knows that the upstream is leaving", || async {
        let rollout = bench.rollout(0, SERVICE).await;
        rollout["data_centres"]["quito-hall"]["vms"][0]["standing"] == "leaving"
    })
    .await;
    for _ in 0..10 {
        assert_eq!(
            Request::generate(bench.callers(0), 1).send().await.status,
            200
        );
    }
    assert_eq!(bench.agents[0].runs(), []);
    bench.stop().await;
}

/// Requests over the capacity wait in a bounded queue, and requests over its bound are refused at once.
/// A request of high priority displaces one of low priority.
#[tokio::test(flavor = "multi_thread")]
async fn full_service() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    bench.script(vec![Action::Hold; 8]);
    let with_priority = |priority: &str| {
        Request::generate(bench.callers(0), 2)
            .with("wagtailreel-priority", priority)
            .with("wagtailreel-deadline-ms", "20000")
    };
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(with_priority("high").open().await);
    }
    let low = tokio::spawn(with_priority("low").send());
    let until_waiting = |count: u32| {
        let admin = bench.admin(0);
        until("requests wait", move || async move {
            let metrics = Request::get(admin, "/metrics").send().await.text();
            let line = format!("\nwagtailreel_requests_waiting{{service=\"scribes\"}} {count}\n");
            metrics.contains(&line)
        })
    };
    until_waiting(1).await;
    let high = [
        tokio::spawn(with_priority("high").send()),
        tokio::spawn(with_priority("high").send()),
    ];
    let displaced = low.await.unwrap();
    assert_eq!(displaced.verdict(), "429 not-run full");
    until_waiting(2).await;
    assert_eq!(
        with_priority("high").send().await.verdict(),
        "429 not-run full"
    );
    bench.agents[0].release();
    for response in held {
        assert!(Answer::read(response).await.session().contains("end "));
    }
    for waited in high {
        assert_eq!(waited.await.unwrap().status, 200);
    }
    assert_eq!(bench.runs().len(), 10);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_without_replica() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    bench.script([Action::Cut(3)]);
    let answer = Request::generate(bench.callers(0), 5).send().await;
    assert!(answer.is_whole);
    assert_snapshot!(answer.session());
    bench.stop().await;
}

#[rstest]
#[case::full(Action::Refuse(NotRunReason::Full))]
#[case::leaving(Action::Refuse(NotRunReason::Leaving))]
#[case::lost(Action::Drop)]
#[tokio::test(flavor = "multi_thread")]
async fn tried_elsewhere(#[case] first: Action) {
    let bench = two_agents().await;
    bench.script([first]);
    for agent in &bench.agents {
        agent.set_cancel_state("not-run");
    }
    let answer = Request::generate(bench.callers(0), 2).send().await;
    assert_eq!(answer.status, 200);
    assert!(answer.session().contains("\"tokens\":2"));
    let runs = bench.runs();
    assert_eq!(runs.len(), 2);
    assert_ne!(runs[0].vm, runs[1].vm);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_elsewhere() {
    let bench = two_agents().await;
    bench.agents[0].close_data();
    for _ in 0..10 {
        let answer = Request::generate(bench.callers(0), 2).send().await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    assert!(bench.agents[0].runs().is_empty());
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn waits_for_switch() {
    let bench = two_agents().await;
    for agent in &bench.agents {
        agent.set_report(|report| report.open = None);
    }
    until("the entry sees the switch", || async {
        let rollout = bench.rollout(0, SERVICE).await;
        let vms = rollout["data_centres"]["quito-hall"]["vms"].clone();
        vms.as_array()
            .unwrap()
            .iter()
            .all(|vm| vm["open"].is_null())
    })
    .await;
    let sent = tokio::spawn(Request::generate(bench.callers(0), 2).send());
    until("the request is in flight", || async {
        let metrics = Request::get(bench.admin(0), "/metrics").send().await;
        let text = metrics.text();
        text.contains("wagtailreel_requests_in_flight{service=\"scribes\"} 1")
    })
    .await;
    assert!(bench.runs().is_empty());
    bench.agents[1].set_report(|report| report.open = Some(1));
    let answer = sent.await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(bench.runs()[0].vm, "u2");
    bench.stop().await;
}

#[rstest]
#[case::no_key(|bench: &Bench| Request::generate(bench.callers(0), 2).with_bearer_only("wrong"))]
#[case::no_service(|bench: &Bench| {
    Request::post(bench.callers(0), "/v1/services/none/generate").with_bearer(common::KEY)
})]
#[case::no_json(|bench: &Bench| Request::generate(bench.callers(0), 2).with_body("prompt"))]
#[case::no_tokens(|bench: &Bench| Request::generate(bench.callers(0), 0))]
#[case::too_long(|bench: &Bench| {
    Request::generate(bench.callers(0), 2).with_body(&"x".repeat(5000))
})]
#[case::priority(|bench: &Bench| {
    Request::generate(bench.callers(0), 2).with("wagtailreel-priority", "urgent")
})]
#[case::deadline(|bench: &Bench| {
    Request::generate(bench.callers(0), 2).with("wagtailreel-deadline-ms", "0")
})]
#[case::bad_key(|bench: &Bench| {
    Request::generate(bench.callers(0), 2).with("wagtailreel-order", "yesterday")
})]
#[case::old_key(|bench: &Bench| {
    Request::generate(bench.callers(0), 2).with("wagtailreel-order", "1000.slab")
})]
#[tokio::test(flavor = "multi_thread")]
async fn refused_unsent(#[case] request: fn(&Bench) -> Request) {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let answer = request(&bench).send().await;
    assert!((400..=504).contains(&answer.status), "{}", answer.status);
    assert_eq!(answer.header("wagtailreel-outcome"), "not-run");
    assert_eq!(answer.json()["outcome"], "not-run");
    assert!(bench.runs().is_empty());
    let name = std::thread::current().name().map(str::to_owned);
    let case = name.unwrap().rsplit("::").next().unwrap().to_owned();
    let text = format!("{}\n{}", answer.verdict(), answer.json()["error"]);
    assert_snapshot!(format!("refused_{case}"), text);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_gone() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    bench.script([Action::Hold]);
    let response = Request::generate(bench.callers(0), 4).open().await;
    drop(response);
    until("the agent got the cancel", || async {
        bench.agents[0].cancels()
            == bench
                .runs()
                .iter()
                .map(|seen| seen.id.clone())
                .collect::<Vec<_>>()
    })
    .await;
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn plain_call() {
    let bench = Bench::start(PLAIN, 1, &["u1"]).await;
    let answer = call(&bench, "notes/7?grade=%20b")
        .with_body("ink")
        .send()
        .await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "notes/7 ink");
    assert_eq!(answer.header("x-desk"), "yes");
    assert_eq!(answer.header("wagtailreel-outcome"), "answered");
    bench.stop().await;
}

/// A call that may have run is never sent again, and its outcome is reported as unknown.
#[rstest]
#[case::lost(Action::Drop)]
#[case::cut(Action::Cut(0))]
#[case::no_outcome(Action::NoOutcome)]
#[tokio::test(flavor = "multi_thread")]
async fn call_unknown(#[case] first: Action) {
    let bench = Bench::start(PLAIN, 1, &["u1", "u2"]).await;
    bench.script([first]);
    let answer: Answer = call(&bench, "notes/7").with_body("ink").send().await;
    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("wagtailreel-outcome"), "unknown");
    assert_eq!(bench.runs().len(), 1);
    bench.stop().await;
}

/// An answer without an outcome is not accepted. If the cancel returns that the call was not run, the
/// call is sent to another agent.
#[tokio::test(flavor = "multi_thread")]
async fn call_elsewhere() {
    let bench = Bench::start(PLAIN, 1, &["u1", "u2"]).await;
    for agent in &bench.agents {
        agent.set_cancel_state("not-run");
    }
    bench.script([Action::NoOutcome]);
    let answer = call(&bench, "notes/7").with_body("ink").send().await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.text(), "notes/7 ink");
    assert_eq!(bench.runs().len(), 2);
    let cancels = bench.agents.iter().map(|agent| agent.cancels().len());
    assert_eq!(cancels.sum::<usize>(), 1);
    bench.stop().await;
}
