//! Submitting, refusing and reading documents.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::caller::Request;
use common::{Bench, SERVICE, TOKEN, document, until};
use rstest::rstest;

fn path(rest: &str) -> String {
    format!("/admin/v1/services/{SERVICE}{rest}")
}

async fn get(bench: &Bench, rest: &str) -> serde_json::Value {
    let request = Request::get(bench.admin(0), &path(rest)).with_bearer(TOKEN);
    request.send().await.json()
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_edits() {
    let bench = Bench::start(SERVICE, 2, &[]).await;
    let yaml = |priority: &str| format!("{}priority: {priority}\n", document(SERVICE));
    let (low, high) = (yaml("low"), yaml("high"));
    let (one, other) = tokio::join!(
        bench.submit_yaml(0, SERVICE, 1, "low", &low),
        bench.submit_yaml(1, SERVICE, 1, "high", &high),
    );
    let (won, lost) = if one.status == 200 {
        (one, other)
    } else {
        (other, one)
    };
    assert_eq!((won.status, lost.status), (200, 409), "{}", lost.text());
    assert_eq!(lost.json()["revision"], won.json()["revision"]);
    assert_eq!(lost.json()["team"], "scribes");
    for entry in 0..2 {
        until("the winner is in force everywhere", || async {
            bench.rollout(entry, SERVICE).await["revision"] == won.json()["revision"]
        })
        .await;
    }
    bench.stop().await;
}

/// An entry that has not read the base yet waits for it instead of refusing the edit.
#[tokio::test(flavor = "multi_thread")]
async fn base_ahead() {
    let bench = Bench::start(SERVICE, 1, &[]).await;
    let yaml = format!("{}priority: low\n", document(SERVICE));
    let record = bench.log.records("config").remove(0).1;
    let (late, _) = tokio::join!(bench.submit_yaml(0, SERVICE, 2, "late", &yaml), async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let mut second = record;
        second["edit_id"] = "second".into();
        second["base"] = 1.into();
        bench.log.append("config", &second)
    });
    assert_eq!(late.status, 200, "{}", late.text());
    let ahead = bench.submit_yaml(0, SERVICE, 9, "ahead", &yaml).await;
    assert_eq!(ahead.status, 409);
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_append() {
    let bench = Bench::start(SERVICE, 1, &[]).await;
    bench.log.faults().update(|faults| faults.lose_appends = 1);
    let yaml = format!("{}priority: low\n", document(SERVICE));
    let first = bench.submit_yaml(0, SERVICE, 1, "low", &yaml).await;
    assert_eq!(first.status, 200, "{}", first.text());
    let again = bench.submit_yaml(0, SERVICE, 1, "low", &yaml).await;
    assert_eq!(again.json(), first.json());
    assert_eq!(get(&bench, "").await["document"]["priority"], "low");
    assert_eq!(
        get(&bench, "/history").await["edits"]
            .as_array()
            .unwrap()
            .len(),
        2
    );
    let other = bench
        .submit_yaml(0, SERVICE, 1, "low", &document(SERVICE))
        .await;
    assert_eq!(other.status, 409, "another document under the same id");
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn log_down() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    bench
        .log
        .faults()
        .update(|faults| faults.common.down = true);
    let yaml = format!("{}priority: low\n", document(SERVICE));
    let refused = bench.submit_yaml(0, SERVICE, 1, "low", &yaml).await;
    assert_eq!(refused.status, 503);
    assert_eq!(refused.json()["outcome"], "not-run");
    assert_eq!(
        Request::generate(bench.callers(0), 1).send().await.status,
        200
    );
    assert_eq!(get(&bench, "").await["revision"], 1);
    bench.stop().await;
}

/// A log that is shorter after an outage is not applied on top of the configuration in force.
#[tokio::test(flavor = "multi_thread")]
async fn shorter_log() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let low = format!("{}priority: low\n", document(SERVICE));
    assert_eq!(
        bench.submit_yaml(0, SERVICE, 1, "low", &low).await.status,
        200
    );
    bench.log.truncate("config", 1);
    until("the stop is seen", || async {
        let metrics = Request::get(bench.admin(0), "/metrics").send().await;
        metrics.text().contains("\nwagtailreel_config_stopped 1\n")
    })
    .await;
    let edit = bench
        .submit_yaml(0, SERVICE, 2, "next", &document(SERVICE))
        .await;
    assert_eq!(edit.status, 503);
    assert_eq!(get(&bench, "").await["revision"], 2);
    assert_eq!(
        Request::generate(bench.callers(0), 1).send().await.status,
        200
    );
    bench.stop().await;
}

#[rstest]
#[case::no_token(None, SERVICE, 401)]
#[case::wrong_token(Some("guess"), SERVICE, 401)]
#[case::other_service(Some(TOKEN), "order-desk", 403)]
#[case::own_service(Some(TOKEN), SERVICE, 422)]
#[tokio::test(flavor = "multi_thread")]
async fn authorization(#[case] token: Option<&str>, #[case] service: &str, #[case] status: u16) {
    let mut bench = Bench::empty();
    bench.add_entry().await;
    for rest in ["/check", "/document?base=0&edit=first"] {
        let path = format!("/admin/v1/services/{service}{rest}");
        let request = Request::post(bench.admin(0), &path).with_body("service: nothing\n");
        let request = match token {
            Some(token) => request.with_bearer(token),
            None => request,
        };
        let answer = request.send().await;
        assert_eq!(answer.status, status, "{}", answer.text());
        if status == 422 {
            assert!(!answer.json()["problems"].as_array().unwrap().is_empty());
        }
    }
    assert!(bench.log.records("config").is_empty());
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn snapshot_taken() {
    let mut bench = Bench::empty();
    let mut settings = bench.settings();
    settings.config.snapshot_every = 3;
    let entry = wagtailreel_entry::EntryProcess::start(settings)
        .await
        .unwrap();
    bench.entries.push(entry);
    bench.submit(SERVICE).await;
    for revision in 1..4 {
        let priority = if revision % 2 == 0 { "low" } else { "high" };
        let yaml = format!("{}priority: {priority}\n", document(SERVICE));
        let edit = format!("edit-{revision}");
        let answer = bench.submit_yaml(0, SERVICE, revision, &edit, &yaml).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    until("a snapshot is in the log", || async {
        let records = bench.log.records("config");
        records
            .iter()
            .any(|(_, record)| record["type"] == "snapshot")
    })
    .await;
    bench.log.drop_before("config", 5);
    bench.add_entry().await;
    until("a new entry starts from the snapshot", || async {
        bench.rollout(1, SERVICE).await["revision"] == 4
    })
    .await;
    bench.stop().await;
}
