//! An entry starts without the platform, and its shutdown does not cut off requests in flight.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::time::Duration;

use common::agent::Action;
use common::caller::{Answer, Request};
use common::{Bench, SERVICE, document, until};
use http_body_util::BodyExt as _;
use wagtailreel_entry::EntryProcess;

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown() {
    let mut bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let (callers, admin) = (bench.callers(0), bench.admin(0));
    bench.script([Action::Hold]);
    let mut response = Request::generate(callers, 4).open().await;
    let first = response.body_mut().frame().await.unwrap().unwrap();
    let entry = bench.entries.remove(0);
    let shutdown = tokio::spawn(entry.shutdown());
    until("the entry reports that it is leaving", || async {
        let ready = Request::get(admin, "/readyz").send().await;
        ready.status == 503 && ready.text() == "leaving"
    })
    .await;
    let late = Request::generate(callers, 4).send().await;
    assert_eq!(late.verdict(), "503 not-run leaving");
    until("the listener is closed", || async {
        tokio::net::TcpStream::connect(callers).await.is_err()
    })
    .await;
    // A shutdown that does not wait for the stream would have finished by then.
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(!shutdown.is_finished());
    bench.agents[0].release();
    let mut answer = Answer::read(response).await;
    shutdown.await.unwrap();
    let first = first.into_data().unwrap();
    answer.body.splice(0..0, first);
    assert!(answer.is_whole);
    assert!(answer.session().lines().last().unwrap().starts_with("end "));
    assert_eq!(bench.runs().len(), 1);
}

/// If the log and the list of VMs are unreachable, a new entry serves with the configuration of its peers.
#[tokio::test(flavor = "multi_thread")]
async fn starts_from_peer() {
    let mut bench = Bench::start(SERVICE, 1, &["u1"]).await;
    bench.log.crash();
    bench.vms.crash();
    let mut settings = bench.settings();
    settings.seeds = vec![bench.entries[0].addrs().control];
    bench
        .entries
        .push(EntryProcess::start(settings).await.unwrap());
    let entries = bench.entries.iter().enumerate();
    let entries = entries.map(|(number, entry)| (format!("e{number}"), entry.addrs().control));
    bench.agents[0].control.set_entries(entries.collect());
    bench.settle(SERVICE).await;
    let answer = Request::generate(bench.callers(1), 2).send().await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    bench.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn over_limit() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let limits = "limits: {mason: {requests_per_second: 0.5, burst: 3}}\n";
    let yaml = format!("{}{limits}", document(SERVICE));
    let answer = bench.submit_yaml(0, SERVICE, 1, "limits", &yaml).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let mut verdicts = Vec::new();
    for _ in 0..6 {
        let answer = Request::generate(bench.callers(0), 1).send().await;
        if answer.status == 429 {
            assert!(
                answer
                    .header("wagtailreel-retry-after-ms")
                    .parse::<u64>()
                    .unwrap()
                    >= 100
            );
        }
        verdicts.push(answer.verdict());
    }
    let over = verdicts
        .iter()
        .filter(|verdict| *verdict == "429 not-run limit");
    assert!(over.count() >= 2, "{verdicts:?}");
    assert_eq!(verdicts[0], "200  ");
    bench.stop().await;
}
