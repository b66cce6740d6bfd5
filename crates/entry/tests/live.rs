//! The times until a document is in force and until its weights are live, as the report computes them.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use common::agent::{FakeAgent, Script};
use common::caller::Request;
use common::{Bench, SERVICE, until};
use wagtailreel_core::{Objectives, VmEntry, VmRole, VmState};
use wagtailreel_entry::EntryProcess;
use wagtailreel_report::{IndicatorKind, Report, Samples, ServiceReport, Windows};

const REMOTE: &str = "cuenca-hall";
const UNKNOWN_SERVICE: &str = "other";

fn document(version: &str, ready: u32) -> String {
    format!(
        "service: {SERVICE}\nmodel: {{name: quill, version: {version}}}\nwhere:\n  - \
         {{data_centre: quito-hall, vms: all, ready: {ready}}}\n  - {{data_centre: {REMOTE}, vms: \
         all, ready: 1}}\n"
    )
}

/// Starts an entry in the remote data centre. No agent of the local data centre reports to it.
async fn start_remote_entry(bench: &Bench) -> EntryProcess {
    let mut settings = bench.settings();
    settings.vm = "ch-e1".to_owned();
    settings.data_centre = REMOTE.to_owned();
    let entry = EntryProcess::start(settings).await.unwrap();
    bench.vms.add(VmEntry {
        vm: "ch-e1".to_owned(),
        data_centre: REMOTE.to_owned(),
        region: "sierra".to_owned(),
        role: VmRole::Entry,
        state: VmState::Live,
        service: None,
        control: entry.addrs().control,
        data: entry.addrs().callers,
    });
    entry
}

/// Scrapes of the first entry.
struct Scrapes {
    samples: Samples,
    at: SystemTime,
}

impl Scrapes {
    fn new() -> Self {
        Self {
            samples: Samples::new(),
            at: SystemTime::now(),
        }
    }

    async fn scrape(&mut self, bench: &Bench) {
        let metrics = Request::get(bench.admin(0), "/metrics").send().await;
        self.at += Duration::from_secs(1);
        self.samples.add(self.at, "qh-e1", &metrics.text()).unwrap();
    }

    fn report_of(&self, service: &str) -> ServiceReport {
        let objectives = BTreeMap::from([(service.to_owned(), Objectives::default())]);
        let report = Report::compute(&self.samples, &objectives, Windows::default());
        report.services[service].clone()
    }

    /// Returns the report's number of changes that are in force, and of those that are live.
    fn changes(&self) -> (f64, f64) {
        let report = self.report_of(SERVICE);
        (report.in_force.changes, report.time_to_live.changes)
    }
}

async fn submit(bench: &Bench, base: u64, edit: &str, yaml: &str) {
    let answer = bench.submit_yaml(0, SERVICE, base, edit, yaml).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
}

#[tokio::test(flavor = "multi_thread")]
async fn live_once() {
    let mut bench = Bench::empty();
    bench.add_entry().await;
    let remote_entry = start_remote_entry(&bench).await;
    bench.add_agent("u1", SERVICE).await;
    bench.add_agent("u2", SERVICE).await;
    let entries = vec![("ch-e1".to_owned(), remote_entry.addrs().control)];
    let remote_agent = FakeAgent::start("v1", SERVICE, entries, Script::default()).await;
    remote_agent.set_report(|report| report.data_centre = REMOTE.to_owned());
    bench.vms.add(remote_agent.listed());
    let mut scrapes = Scrapes::new();
    scrapes.scrape(&bench).await;
    submit(&bench, 0, "first", &document("v1", 2)).await;
    // All agents report that epoch 1 is open: two to this entry, one through the remote entry.
    let scraped = tokio::sync::Mutex::new(scrapes);
    until("the first epoch is live", || async {
        let mut scrapes = scraped.lock().await;
        scrapes.scrape(&bench).await;
        scrapes.changes() == (1.0, 1.0)
    })
    .await;
    submit(&bench, 1, "second", &document("v2", 2)).await;
    bench.agents[0].set_report(|report| report.open = Some(2));
    remote_agent.set_report(|report| report.open = Some(2));
    let opened = |vm: &'static str, data_centre: &'static str| {
        let bench = &bench;
        async move {
            let rollout = bench.rollout(0, SERVICE).await;
            let vms = rollout["data_centres"][data_centre]["vms"].clone();
            let vms = vms.as_array().cloned().unwrap_or_default();
            vms.iter().any(|it| it["vm"] == vm && it["open"] == 2)
        }
    };
    until("one VM of each data centre is open", || async {
        opened("u1", "quito-hall").await && opened("v1", REMOTE).await
    })
    .await;
    let mut scrapes = scraped.lock().await;
    scrapes.scrape(&bench).await;
    assert_eq!(scrapes.changes(), (2.0, 1.0), "one of two is not enough");
    drop(scrapes);
    bench.agents[1].set_report(|report| report.open = Some(2));
    until("the second epoch is live", || async {
        let mut scrapes = scraped.lock().await;
        scrapes.scrape(&bench).await;
        scrapes.changes() == (2.0, 2.0)
    })
    .await;
    // An edit that keeps the weights counts as in force, but starts no measurement until live.
    submit(&bench, 2, "third", &document("v2", 1)).await;
    let mut scrapes = scraped.lock().await;
    scrapes.scrape(&bench).await;
    assert_eq!(scrapes.changes(), (3.0, 2.0));
    let report = scrapes.report_of(SERVICE);
    assert_eq!(report.time_to_live.late, 0.0);
    assert_eq!(scrapes.report_of(UNKNOWN_SERVICE).in_force.changes, 0.0);
}

/// The report counts first tokens per customer, not only per service.
#[tokio::test(flavor = "multi_thread")]
async fn times_by_customer() {
    let bench = Bench::start(SERVICE, 1, &["u1"]).await;
    let mut scrapes = Scrapes::new();
    let send_request = || Request::generate(bench.callers(0), 3).send();
    assert_eq!(send_request().await.status, 200);
    scrapes.scrape(&bench).await;
    assert_eq!(send_request().await.status, 200);
    scrapes.scrape(&bench).await;
    let report = scrapes.report_of(SERVICE);
    let customers: Vec<_> = report.customers.values().collect();
    assert_eq!(customers.len(), 1);
    let first_token = |indicators: &[wagtailreel_report::IndicatorReport]| {
        let found = indicators
            .iter()
            .find(|it| it.kind == IndicatorKind::FirstToken);
        found.unwrap().whole.events
    };
    assert_eq!(first_token(&report.indicators), 1.0);
    assert_eq!(first_token(customers[0]), 1.0);
    bench.stop().await;
}
