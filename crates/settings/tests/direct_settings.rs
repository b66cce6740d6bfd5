//! Settings of fleets whose upstreams name themselves.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::IpAddr;
use std::time::Duration;

use rstest::rstest;
use wagtailreel_settings::{AdmissionMode, DirectEntrySettings, StagingAgentSettings};

const ENTRY: &str = r#"
upstreams: direct
vm: "edge-1"
data_centre: hall
regions:
  - { data_centre: "hall", region: "sierra" }
  - { data_centre: "quay", region: "costa" }
listen:
  callers: "10.1.0.1:8005"
  status: "10.1.0.1:8002"
  agents: "10.1.0.1:7700"
registry: "10.9.0.1:8007"
agent_port: 7700
bounds:
  keys_ms: 5000
  weights_ms:
  grace_ms: 8000
  retry_ratio: 0.2
"#;

const AGENT: &str = r#"
upstreams: direct
vm: side-1
data_centre: hall
regions: [{ data_centre: hall, region: sierra }]
service: writers
engine: "10.1.0.2:8001"
listen: "10.1.0.2:7700"
registry: "10.9.0.1:8007"
link_mbps: 9.4
"#;

#[rstest]
fn entry_settings() {
    let settings = DirectEntrySettings::from_yaml(ENTRY).unwrap();
    assert_eq!(settings.regions["quay"], "costa");
    assert_eq!(settings.threads, 1);
    let bounds = settings.bounds;
    assert!(bounds.keys < Duration::from_secs(5), "with a margin");
    assert!(
        bounds.weights < bounds.weights_last,
        "sending ends before beginning does"
    );
    assert!(
        bounds.weights_last < Duration::from_secs(8),
        "an empty value means the default"
    );
    assert!(bounds.grace < Duration::from_secs(8));
    assert!(bounds.retry_ratio < 0.2);
}

/// The bound on cold upstreams has defaults, and no value of it lets them get less than their warm-up rate.
#[rstest]
#[case::missing("", (1.5, 5.0))]
#[case::given("  warmup_overage: 2\n  warmup_slack: 0\n", (2.0, 0.0))]
fn warmup_bounds(#[case] lines: &str, #[case] expected: (f64, f64)) {
    let bounds = DirectEntrySettings::from_yaml(&format!("{ENTRY}{lines}"))
        .unwrap()
        .bounds;
    assert_eq!((bounds.warmup_overage, bounds.warmup_slack), expected);
}

#[rstest]
fn agent_settings() {
    let settings = StagingAgentSettings::from_yaml(AGENT).unwrap();
    assert!((settings.link - 9.4e6).abs() < 1.0);
    assert_eq!(settings.service, "writers");
}

#[rstest]
#[case::none("", &[])]
#[case::empty("seeds:\n", &[])]
#[case::two("seeds: [\"10.1.0.9:8000\", \"10.2.0.9:8000\"]\n", &["10.1.0.9", "10.2.0.9"])]
fn named_seeds(#[case] line: &str, #[case] seeds: &[&str]) {
    let expected: Vec<IpAddr> = seeds.iter().map(|it| it.parse().unwrap()).collect();
    let agent = StagingAgentSettings::from_yaml(&format!("{AGENT}{line}")).unwrap();
    assert_eq!(agent.seeds, expected);
    let entry = DirectEntrySettings::from_yaml(&format!("{ENTRY}{line}")).unwrap();
    assert_eq!(entry.seeds, expected);
}

/// Without the setting, earlier deployments are served as before.
#[rstest]
#[case::none("", AdmissionMode::ByRank)]
#[case::always("admission: always\n", AdmissionMode::Always)]
fn admission(#[case] line: &str, #[case] mode: AdmissionMode) {
    let settings = DirectEntrySettings::from_yaml(&format!("{ENTRY}{line}")).unwrap();
    assert_eq!(settings.admission, mode);
}

#[rstest]
fn bad_seed() {
    let text = format!("{AGENT}seeds: [\"10.1.0.9\"]\n");
    let err = StagingAgentSettings::from_yaml(&text).unwrap_err();
    assert!(err.to_string().contains("seeds"), "{err}");
}

#[rstest]
#[case::direct(ENTRY, true)]
#[case::in_quotes("upstreams: \"direct\"\n", true)]
#[case::other_fleet("vm: edge-1\n", false)]
#[case::deeper_key("platform:\n  upstreams: direct\n", false)]
fn kind_of_fleet(#[case] text: &str, #[case] is_direct: bool) {
    assert_eq!(DirectEntrySettings::is_meant(text), is_direct);
}

#[rstest]
#[case::no_port("agent_port: 7700", "agent_port: 0", "agent_port")]
#[case::unknown_key("agent_port: 7700", "agent_port: 7700\nagentport: 1", "agentport")]
#[case::same_address("10.1.0.1:8002", "10.1.0.1:8005", "listen.callers")]
#[case::bad_address("10.9.0.1:8007", "store", "registry")]
#[case::share_above_one("retry_ratio: 0.2", "retry_ratio: 2", "retry_ratio")]
#[case::overage_below_one("retry_ratio: 0.2", "warmup_overage: 0.5", "warmup_overage")]
#[case::negative_slack("retry_ratio: 0.2", "warmup_slack: -1", "warmup_slack")]
#[case::unknown_mode("agent_port: 7700", "agent_port: 7700\nadmission: never", "admission")]
#[case::unit_in_value("keys_ms: 5000", "keys_ms: 5s", "keys_ms")]
fn mistakes(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let err = DirectEntrySettings::from_yaml(&ENTRY.replace(from, to)).unwrap_err();
    assert!(err.to_string().contains(place), "{err}");
}

#[rstest]
fn missing_link() {
    let text = AGENT.replace("link_mbps: 9.4\n", "");
    let err = StagingAgentSettings::from_yaml(&text).unwrap_err();
    assert!(err.to_string().contains("link_mbps"), "{err}");
}

/// Engines retain prompts only where the settings say so, and for how long.
#[rstest]
fn prompt_cache() {
    let settings = DirectEntrySettings::from_yaml(ENTRY).unwrap();
    assert_eq!(settings.prompt_cache, None);
    let with = format!("{ENTRY}prompt_cache:\n  retention_ms: 20000\n");
    let settings = DirectEntrySettings::from_yaml(&with).unwrap();
    let cache = settings.prompt_cache.unwrap();
    assert_eq!(cache.retention, Duration::from_secs(20));
    assert!(cache.prefixes > 0);
    let without_time = format!("{ENTRY}prompt_cache:\n  prefixes: 10\n");
    assert!(DirectEntrySettings::from_yaml(&without_time).is_err());
}
