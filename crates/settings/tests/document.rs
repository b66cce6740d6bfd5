//! The check of a service's document.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use insta::assert_snapshot;
use rstest::rstest;
use wagtailreel_core::{Document, Objectives, ServiceKind, VmSelection};
use wagtailreel_settings::{MAX_DOCUMENT_BYTES, Problem, check_document, check_document_for};

const GOOD: &str = "\
service: wagtail-scribes
model: {name: epitaphs, version: 1.10}
adapters:
  - {name: kichwa, version: '2'}
where:
  - data_centre: quito-hall
    vms: {named: [qh-u1, qh-u2]}
    ready: 2
  - data_centre: cuenca-hall
    vms: all
    ready: 1
priority: high
spread: {weigh: origin-bytes, policy: balanced, rate: 1000000}
limits:
  mason-1: {requests_per_second: 2.5, burst: 10}
default_limit: {requests_per_second: 1, burst: 2}
objectives: {answered: 0.995, first_token_ms: 400}
";

fn shown(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

#[test]
fn whole_document() {
    let document = check_document(GOOD).unwrap();
    assert_eq!(document.kind, ServiceKind::Engine);
    // Written as 1.10 and meant as 1.10, though YAML takes it for the number 1.1.
    assert_eq!(document.parts()[0].to_string(), "epitaphs@1.10");
    assert_eq!(document.places[1].vms, VmSelection::All);
    assert_snapshot!(serde_json::to_string_pretty(&document).unwrap());
}

#[test]
fn serde_agrees() {
    let checked = check_document(GOOD).unwrap();
    let typed: Document = serde_saphyr::from_str(GOOD).unwrap();
    assert_eq!(checked, typed);
}

#[test]
fn least_document() {
    let yaml = "\
service: ledger-back
kind: plain
where: [{data_centre: zu-depot-c, vms: all, ready: 1}]
";
    let document = check_document(yaml).unwrap();
    let typed: Document = serde_saphyr::from_str(yaml).unwrap();
    assert_eq!(document, typed);
    assert_eq!(document.objectives, Objectives::default());
}

#[test]
fn other_service() {
    assert!(check_document_for("wagtail-scribes", GOOD).is_ok());
    let problems = check_document_for("proof-desk", GOOD).unwrap_err();
    assert_eq!(
        shown(&problems),
        "line 1:10 `service`: the document is for `wagtail-scribes`, but it was sent for \
         `proof-desk`: correct the name, or send it for the other service"
    );
}

#[test]
fn all_mistakes() {
    let yaml = "\
service: Wagtail
kind: engine
modell: {name: epitaphs, version: 1}
adapters:
  - {name: kichwa, version: 2}
  - {name: kichwa, version: 2}
  - {name: ../kichwa, version: 2}
where:
  - data_centre: quito-hall
    vms: {named: [qh-u1, qh-u1]}
    ready: 3
  - data_centre: quito-hall
    vms: some
    ready: 0
  - data_centre: cuenca-hall
    vms: {named: []}
    redy: 1
priority: urgent
spread: {weigh: money, rate: 0}
limits:
  Mason: {requests_per_second: 0, burst: 0}
  mason-2: {requests_per_second: .5}
default_limit: 5
objectives:
  answered: 99.9
  first_token: 400
  in_force_s: 5
  time_to_live_ms: 300s
";
    let problems = check_document(yaml).unwrap_err();
    assert_snapshot!(shown(&problems));
    assert_snapshot!(serde_json::to_string(&problems[0]).unwrap());
}

#[rstest]
#[case::no_model("model: {name: epitaphs, version: 1.10}\n", "", "model")]
#[case::model_of_plain("model:", "kind: plain\nmodel:", "model")]
#[case::ready_zero("ready: 2", "ready: 0", "where[0].ready")]
#[case::ready_more("ready: 2", "ready: 3", "where[0].ready")]
#[case::vm_twice("qh-u2", "qh-u1", "where[0].vms.named[1]")]
#[case::place_twice("cuenca-hall", "quito-hall", "where[1].data_centre")]
#[case::no_rate("rate: 1000000", "rate: 0", "spread.rate")]
#[case::limit_zero(
    "per_second: 2.5",
    "per_second: 0",
    "limits.mason-1.requests_per_second"
)]
#[case::limit_below(
    "per_second: 2.5",
    "per_second: -1",
    "limits.mason-1.requests_per_second"
)]
#[case::limit_nan(
    "per_second: 2.5",
    "per_second: nan",
    "limits.mason-1.requests_per_second"
)]
#[case::limit_huge(
    "per_second: 2.5",
    "per_second: 1e300",
    "limits.mason-1.requests_per_second"
)]
#[case::no_burst("burst: 2}", "burst: 0}", "default_limit.burst")]
#[case::all_answered("0.995", "1", "objectives.answered")]
#[case::none_answered("0.995", "0", "objectives.answered")]
#[case::no_time(
    "first_token_ms: 400",
    "first_token_ms: 0",
    "objectives.first_token_ms"
)]
#[case::wrong_unit("first_token_ms: 400", "first_token_s: 1", "objectives.first_token_s")]
#[case::nowhere("where:", "where: []\nplaces:", "where")]
#[case::long_name(
    "mason-1",
    "m0123456789012345678901234567890123456789012345678901234567890123",
    "limits.m0123456789012345678901234567890123456789012345678901234567890123"
)]
fn one_mistake(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let yaml = GOOD.replace(from, to);
    assert_ne!(yaml, GOOD);
    let problems = check_document(&yaml).unwrap_err();
    let found = problems.iter().any(|problem| problem.place == place);
    assert!(found, "{}", shown(&problems));
}

#[test]
fn plain_with_adapters() {
    let yaml = GOOD.replace("model: {name: epitaphs, version: 1.10}", "kind: plain");
    let problems = check_document(&yaml).unwrap_err();
    assert_eq!(problems.len(), 1);
    assert_eq!(problems[0].place, "adapters");
}

#[test]
fn too_long() {
    let comment = "#".repeat(MAX_DOCUMENT_BYTES - GOOD.len());
    assert!(check_document(&format!("{GOOD}{comment}")).is_ok());
    let problems = check_document(&format!("{GOOD}{comment}#")).unwrap_err();
    assert_eq!(
        shown(&problems),
        "the file: the document has 65537 bytes: keep it to 65536"
    );
}

#[rstest]
#[case::infinite("a: .inf")]
#[case::list("- 1")]
#[case::deep(&"[".repeat(1000))]
#[case::word("hello")]
#[case::nul("a: \0")]
fn not_a_document(#[case] yaml: &str) {
    assert!(check_document(yaml).is_err());
}
