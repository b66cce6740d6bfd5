//! The load tool sees every fault that an entry can have.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

mod fake_entry;

use std::net::SocketAddr;

use fake_entry::Fault;
use rstest::rstest;
use tokio_util::sync::CancellationToken;
use wagtailreel_bench::load::{LoadReport, Plan, Schedule, run_load};
use wagtailreel_core::Digest;
use wagtailreel_standins::{EngineConfig, EngineStandin};

fn plan(targets: &[SocketAddr]) -> Plan {
    let text = format!(
        "targets: {targets:?}
seed: 3
steps: [{{duration_s: 0.3, rate: 300}}]
customers: [{{name: a, key: ka, weight: 3}}, {{name: b, key: kb}}]
services: [{{name: s}}]
priorities: {{low: 1, high: 2}}
orders: {{share: 0.2, twice: 0.5}}
prompts: {{pool: 7, prefixes: 2}}
max_tokens: {{least: 3, most: 9}}
deadline_ms: 10000
"
    );
    serde_saphyr::from_str(&text).unwrap()
}

async fn run(fault: Fault) -> LoadReport {
    let targets = [
        fake_entry::start(fault).await,
        fake_entry::start(fault).await,
    ];
    let stop = CancellationToken::new();
    run_load(plan(&targets), stop).await.unwrap()
}

#[rstest]
#[case(Fault::None, "answered")]
#[case(Fault::Refused, "not-run/limit")]
#[case(Fault::Unknown, "unknown/cut")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn right_outcomes(#[case] fault: Fault, #[case] ending: &str) {
    let report = run(fault).await;
    assert!(report.holds(), "{}", report.to_text());
    assert!(report.total.sent > 20);
    assert_eq!(report.total.ended(ending), report.total.sent);
    let by_customer: u64 = report.customers.values().map(|it| it.sent).sum();
    let by_priority: u64 = report.priorities.values().map(|it| it.sent).sum();
    assert_eq!(
        (by_customer, by_priority),
        (report.total.sent, report.total.sent)
    );
}

#[rstest]
#[case(Fault::Short, "asked")]
#[case(Fault::Hidden, "tokens came,")]
#[case(Fault::Foreign, "not this request's own")]
#[case(Fault::Mixed, "not this request's own")]
#[case(Fault::Cut, "without a closing event")]
#[case(Fault::Raw, "no token, end or error")]
#[case(Fault::TwoEnds, "after the closing event")]
#[case(Fault::RefusedMutely, "without when to come back")]
#[case(Fault::NoOutcome, "no outcome, status 500")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn faults_seen(#[case] fault: Fault, #[case] words: &str) {
    let report = run(fault).await;
    assert_eq!(
        report.problem_count,
        report.total.sent,
        "{}",
        report.to_text()
    );
    assert!(report.problems[0].contains(words), "{}", report.problems[0]);
}

/// Runs with the fakes' own statistics counted against the outcomes.
async fn counted(fault: Fault) -> LoadReport {
    let targets = [
        fake_entry::start(fault).await,
        fake_entry::start(fault).await,
    ];
    let mut plan = plan(&targets);
    plan.engines = targets.iter().map(|it| format!("http://{it}")).collect();
    let stop = CancellationToken::new();
    run_load(plan, stop).await.unwrap()
}

#[rstest]
#[case(Fault::Refused, "", 0)]
#[case(Fault::RefusedButRun, "told not run, but it was run", 1)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runs_counted(#[case] fault: Fault, #[case] words: &str, #[case] each: u64) {
    let report = counted(fault).await;
    let said = |it: &&String| it.contains("told not run");
    assert!(
        report
            .problems
            .iter()
            .filter(said)
            .all(|it| it.contains(words))
    );
    assert!(
        report.problem_count >= each * report.total.sent,
        "{}",
        report.to_text()
    );
    assert!(each > 0 || report.holds(), "{}", report.to_text());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn orders_counted() {
    // The fakes run an order whenever it comes, so that each pair is one problem.
    let report = counted(Fault::None).await;
    assert!(report.problem_count > 0);
    assert!(
        report
            .problems
            .iter()
            .all(|it| it.starts_with("order ") && it.ends_with(" ran 2 times"))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn engine_itself() {
    let any = "127.0.0.1:0".parse().unwrap();
    let cfg = EngineConfig {
        slots: 1000,
        ..EngineConfig::default()
    };
    let engine = EngineStandin::start(cfg, any).unwrap();
    let bundle = Digest::of(b"weights");
    engine.hold(bundle);
    let mut plan = plan(&[engine.addr()]);
    plan.engines = vec![format!("http://{}", engine.addr())];
    plan.engine_bundle = Some(bundle);
    plan.orders.share = 0.0;
    let stop = CancellationToken::new();
    let report = run_load(plan, stop).await.unwrap();
    assert!(report.holds(), "{}", report.to_text());
    assert_eq!(report.total.ended("answered"), engine.stats().started);
    assert_eq!(report.total.tokens, engine.stats().tokens);
}

#[test]
fn same_schedule() {
    let targets = [
        "127.0.0.1:1".parse().unwrap(),
        "127.0.0.1:2".parse().unwrap(),
    ];
    let plan = plan(&targets);
    let draw = || {
        Schedule::new(&plan, "r", 1000)
            .map(|it| format!("{it:?}"))
            .collect::<Vec<_>>()
    };
    assert_eq!(draw(), draw());
    let twice = Schedule::new(&plan, "r", 1000)
        .filter_map(|it| it.ask.order)
        .collect::<Vec<_>>();
    let mut once = twice.clone();
    once.dedup();
    assert!(once.len() < twice.len() && twice.len() < draw().len());
}

#[rstest]
#[case("rate: 300", "rate: 0", "steps")]
#[case("share: 0.2", "share: 2", "orders.share")]
#[case("least: 3", "least: 30", "max_tokens")]
fn wrong_plans(#[case] from: &str, #[case] to: &str, #[case] at: &str) {
    let good = serde_saphyr::to_string(&plan(&["127.0.0.1:1".parse().unwrap()])).unwrap();
    let bad = good.replace(&from.replace("300", "300.0"), to);
    assert_ne!(good, bad, "{good}");
    let plan: Plan = serde_saphyr::from_str(&bad).unwrap();
    assert!(plan.check().unwrap_err().to_string().starts_with(at));
}
