//! Settings of an entry: the documented example, defaults and mistakes.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use insta::assert_snapshot;
use rstest::rstest;
use wagtailreel_settings::{EntrySettings, hash_token};

const GOOD: &str = "\
vm: qh-e1
data_centre: quito-hall
region: sierra
listen:
  callers: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  control: 127.0.0.1:8082
platform:
  log: http://127.0.0.1:9001
  vms: http://127.0.0.1:9002
teams: []
customers: []
";

/// Returns the example of the settings page, with hashes in place of the two hints.
fn documented() -> String {
    let page = include_str!("../../../docs/settings.md");
    let block = page.split("```").nth(1).unwrap();
    block
        .strip_prefix("yaml\n")
        .unwrap()
        .replace(
            "<blake3 of the token, 64 hex digits>",
            &hash_token("team token").to_string(),
        )
        .replace(
            "<blake3 of the key>",
            &hash_token("customer key").to_string(),
        )
}

fn mistakes(yaml: &str) -> String {
    EntrySettings::from_yaml(yaml).unwrap_err().to_string()
}

#[test]
fn documented_example() {
    let settings = EntrySettings::from_yaml(&documented()).unwrap();
    assert_eq!(
        settings.teams[0].services,
        ["wagtail-scribes", "proof-desk"]
    );
    assert_eq!(settings.customers[0].key_hash, hash_token("customer key"));
    assert_snapshot!(format!("{settings:#?}"));
}

#[test]
fn defaults_apply() {
    let settings = EntrySettings::from_yaml(GOOD).unwrap();
    assert_eq!(settings.lease, Duration::from_millis(1000));
    assert_eq!(settings.body_limit, 1_048_576);
    assert_eq!(settings.orders.window, Duration::from_secs(600));
    assert_eq!(settings.config.snapshot_every, 500);
    assert_eq!(settings.config.snapshot_max_age, Duration::from_secs(3600));
    assert!(settings.seeds.is_empty());
}

#[test]
fn keyrings_made() {
    let settings = EntrySettings::from_yaml(&documented()).unwrap();
    assert_eq!(settings.team_keyring().find("team token"), Some("scribes"));
    assert_eq!(settings.team_keyring().find("customer key"), None);
    let customers = settings.customer_keyring();
    assert_eq!(customers.find("customer key"), Some("mason-1"));
}

#[test]
fn hashes_hidden() {
    let settings = EntrySettings::from_yaml(&documented()).unwrap();
    let shown = format!("{settings:?}");
    assert!(!shown.contains(&hash_token("team token").short()));
    assert!(!shown.contains(&hash_token("customer key").short()));
}

#[test]
fn all_mistakes() {
    let yaml = format!(
        "\
vm: QH-E1
region: sierra
listen:
  callers: 127.0.0.1:8080
  admin: localhost:8081
  control: 0.0.0.0:8080
platform:
  log: https://127.0.0.1:9001
  vms: http://127.0.0.1:9002/vms
  origin: http://127.0.0.1:9003
seeds: 127.0.0.1:8082
lease_s: 1
body_limit: 1MiB
teams:
  - name: scribes
    token_hash: {hash}
    services: [proof-desk, proof-desk]
  - name: scribes
    token_hash: {hash}
    services: [proof-desk]
customers:
  - name: mason-1
    key_hash: secret-key-of-mason-1
  - mason-2
orders:
  window_s: 0
config:
  snapshot_every: \"500\"
  snapshot_max_age_s: 0
",
        hash = hash_token("team token")
    );
    let shown = mistakes(&yaml);
    assert!(!shown.contains("secret-key-of-mason-1"));
    assert_snapshot!(shown);
}

#[rstest]
#[case::too_short("lease_ms: 99")]
#[case::too_long("lease_ms: 2001")]
#[case::negative("lease_ms: -1")]
#[case::with_unit("lease_ms: 1s")]
#[case::fraction("lease_ms: 500.5")]
#[case::quoted("lease_ms: '500'")]
fn lease_range(#[case] line: &str) {
    let shown = mistakes(&format!("{GOOD}{line}\n"));
    assert!(shown.starts_with("line 13:11 `lease_ms`: "), "{shown}");
    assert_eq!(shown.lines().count(), 1);
}

#[rstest]
#[case::shortest("lease_ms: 100", 100)]
#[case::longest("lease_ms: 2000", 2000)]
fn lease_ends(#[case] line: &str, #[case] ms: u64) {
    let settings = EntrySettings::from_yaml(&format!("{GOOD}{line}\n")).unwrap();
    assert_eq!(settings.lease, Duration::from_millis(ms));
}

#[rstest]
#[case::broken("vm: [a\nregion: b\n")]
#[case::duplicate_key("vm: a\nvm: b\n")]
#[case::alias("vm: &a b\nregion: *a\n")]
#[case::tabs("listen:\n\tcallers: 127.0.0.1:1\n")]
#[case::two_documents("vm: a\n---\nvm: b\n")]
fn not_yaml(#[case] yaml: &str) {
    let errors = EntrySettings::from_yaml(yaml).unwrap_err();
    assert_eq!(errors.problems.len(), 1, "{errors}");
    assert!(errors.problems[0].line.is_some(), "{errors}");
    assert!(errors.problems[0].remedy.contains("correct the YAML"));
}

#[test]
fn empty_file() {
    assert_eq!(
        mistakes(""),
        "line 1:1 the file: there are no keys here: write a map: `key: value`, one a line"
    );
}
