//! Settings of an agent: the documented example and mistakes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;
use wagtailreel_core::ServiceKind;
use wagtailreel_settings::AgentSettings;

fn documented() -> &'static str {
    let page = include_str!("../../../docs/settings.md");
    let block = page.split("```").nth(3).unwrap();
    block.strip_prefix("yaml\n").unwrap()
}

fn mistakes(yaml: &str) -> String {
    AgentSettings::from_yaml(yaml).unwrap_err().to_string()
}

#[test]
fn documented_example() {
    let settings = AgentSettings::from_yaml(documented()).unwrap();
    assert_eq!(settings.upstream.kind, ServiceKind::Engine);
    assert!(settings.upstream.checks_fencing);
    assert_eq!(settings.weights.memory, 268_435_456);
    assert_eq!(settings.weights.ingress, None);
    assert_eq!(settings.report, Duration::from_millis(200));
}

#[test]
fn plain_upstream() {
    let yaml = documented()
        .replace("kind: engine ", "kind: plain ")
        .replace("  origin: http://127.0.0.1:9003", "")
        .replace("  checks_fencing: true", "");
    let settings = AgentSettings::from_yaml(&yaml).unwrap();
    assert_eq!(settings.upstream.kind, ServiceKind::Plain);
    assert_eq!(settings.platform.origin, None);
    assert!(!settings.upstream.checks_fencing);
}

#[test]
fn rates_taken() {
    let yaml = documented().replace("ingress: 0 ", "ingress: 1000 ");
    let settings = AgentSettings::from_yaml(&yaml).unwrap();
    assert_eq!(settings.weights.ingress, Some(1000));
    assert_eq!(settings.weights.egress, None);
}

#[rstest]
#[case::no_origin("  origin: http://127.0.0.1:9003", "", "platform.origin")]
#[case::no_fencing("  checks_fencing: true", "", "upstream.checks_fencing")]
#[case::fencing_unclear(
    "checks_fencing: true",
    "checks_fencing: yes",
    "upstream.checks_fencing"
)]
#[case::no_memory("memory: 268435456", "memory: 0", "weights.memory")]
#[case::no_capacity("capacity: 64", "capacity: 0", "upstream.capacity")]
#[case::no_bundle("bundles: 2", "bundles: 0", "upstream.bundles")]
#[case::other_kind("kind: engine", "kind: motor", "upstream.kind")]
#[case::same_address("control: 127.0.0.1:8101", "control: 127.0.0.1:8100", "listen.control")]
#[case::rare_reports("report_ms: 200", "report_ms: 5000", "report_ms")]
#[case::wrong_unit("report_ms: 200", "report_s: 1", "report_s")]
fn one_mistake(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let yaml = documented().replace(from, to);
    assert_ne!(yaml, documented());
    let errors = AgentSettings::from_yaml(&yaml).unwrap_err();
    assert_eq!(errors.problems.len(), 1, "{errors}");
    assert_eq!(errors.problems[0].place, place, "{errors}");
}

#[test]
fn all_mistakes() {
    let yaml = "\
vm: -qh-u1
data_centre: [quito-hall]
service: wagtail_scribes
listen:
  data: 127.0.0.1
  control: 127.0.0.1:8101
  admin: 127.0.0.1:8102
platform:
upstream:
  kind: engine
  url: http://localhost:8200
  capacity: many
weights:
  memory: 256MiB
  ingress_mb: 4
report_ms: 1
";
    assert_snapshot!(mistakes(yaml));
}
