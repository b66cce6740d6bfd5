//! Burn rates from scrapes, with what burnt the budget and what is missing.
#![allow(clippy::unwrap_used, reason = "a test ends at the first surprise")]

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use rstest::rstest;
use wagtailreel_core::Objectives;
use wagtailreel_report::{Report, Samples, Windows, parse};

const SERVICE: &str = "wagtail-scribes";

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_780_000_000 + seconds)
}

/// Metrics of a process that answered, refused and lost so many requests.
fn metrics(answered: u64, limited: u64, full: u64, unknown: u64, slow: u64) -> String {
    let count = |outcome: &str, reason: &str, customer: &str, value: u64| {
        format!(
            "wagtailreel_requests_total{{service=\"{SERVICE}\",customer=\"{customer}\",\
             outcome=\"{outcome}\",reason=\"{reason}\"}} {value}\n"
        )
    };
    let mut text = "# HELP wagtailreel_requests_total Requests.\n".to_owned();
    text += &count("answered", "", "mason-1", answered);
    text += &count("not-run", "limit", "mason-2", limited);
    text += &count("not-run", "full", "mason-1", full);
    text += &count("not-run", "claimed", "mason-1", 5 * full);
    text += &count("unknown", "cut", "mason-1", unknown);
    for (name, bound) in [("first_token", "0.32"), ("between_tokens", "0.066")] {
        let name = format!("wagtailreel_{name}_seconds");
        let quick = answered - slow;
        for (le, value) in [("0.01", quick / 2), (bound, quick), ("+Inf", answered)] {
            text += &format!("{name}_bucket{{service=\"{SERVICE}\",le=\"{le}\"}} {value}\n");
        }
        text += &format!("{name}_count{{service=\"{SERVICE}\"}} {answered}\n");
    }
    let age = answered.min(1) as f64 * 0.8;
    text += &format!("wagtailreel_config_in_force_seconds{{service=\"{SERVICE}\"}} {age}\n");
    text
}

fn compute(samples: &Samples) -> Report {
    let objectives = BTreeMap::from([(SERVICE.to_owned(), Objectives::default())]);
    let windows = Windows {
        short: Duration::from_secs(60),
        long: Duration::from_secs(600),
    };
    Report::compute(samples, &objectives, windows)
}

/// Ten minutes of scrapes each 10 s: 100 requests each time; in the last minute one of them is
/// over its limit, one finds all full, one is lost, and ten are slow.
fn ten_minutes() -> Samples {
    let mut samples = Samples::new();
    for n in 0..=60_u64 {
        let bad = n.saturating_sub(54);
        let text = metrics(100 * n, bad, bad, bad, 10 * bad);
        samples.add(at(10 * n), "qh-e1", &text).unwrap();
    }
    samples
}

#[test]
fn right_rates() {
    let report = compute(&ten_minutes());
    let [answered, first, between] = report.services[SERVICE].indicators.as_slice() else {
        panic!("three indicators");
    };
    // Six scrapes of 103 counted requests, of which 3 are bad; the budget is 1 in 1000.
    let near = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(
        near(answered.short.rate, 18.0 / 618.0 / 0.001),
        "{answered:?}"
    );
    assert!(
        near(answered.long.rate, 18.0 / 6018.0 / 0.001),
        "{answered:?}"
    );
    assert!(near(
        answered.budget_left.unwrap(),
        1.0 - 18.0 / 6018.0 / 0.001
    ));
    assert_eq!(answered.whole.causes["limit"], 6.0);
    assert_eq!(answered.whole.causes["not run: full"], 6.0);
    assert_eq!(answered.whole.causes["unknown"], 6.0);
    // 60 of 600 are slow, where 1 in 20 may be.
    assert!(near(first.short.rate, 2.0), "{first:?}");
    assert!(near(between.short.rate, 2.0), "{between:?}");
    assert!(first.exact && report.gaps.is_empty());
}

#[test]
fn per_customer() {
    let report = compute(&ten_minutes());
    let customers = &report.services[SERVICE].customers;
    assert_eq!(customers["mason-2"][0].whole.causes["limit"], 6.0);
    assert!(!customers["mason-1"][0].whole.causes.contains_key("limit"));
}

#[test]
fn bounds_kept() {
    let report = compute(&ten_minutes());
    let in_force = &report.services[SERVICE].in_force;
    assert_eq!((in_force.changes, in_force.late), (1.0, 0.0));
    assert_eq!(in_force.longest_s, Some(0.8));
    assert_eq!(report.services[SERVICE].time_to_live.changes, 0.0);
}

#[test]
fn gaps_named() {
    let mut samples = Samples::new();
    for n in 0..=60_u64 {
        // A restart at 300 s, nothing from 400 to 500 s, and a second process that comes late.
        let since = if n < 30 { n } else { n - 30 };
        if !(41..50).contains(&n) {
            samples
                .add(at(10 * n), "qh-e1", &metrics(100 * since, 0, 0, 0, 0))
                .unwrap();
        }
        if n >= 20 {
            samples
                .add(at(10 * n), "qh-e2", &metrics(700, 0, 0, 0, 0))
                .unwrap();
        }
    }
    samples.add_failure(at(450), "qh-e1");
    let report = compute(&samples);
    let whats: Vec<&str> = report.gaps.iter().map(|it| it.what.as_str()).collect();
    assert_eq!(
        whats,
        [
            "not scraped yet; what it counted before is left out",
            "the process restarted; its last counts are lost",
            "no scrape",
            "the scrape failed",
        ]
    );
    // The reset takes nothing back, and the late process's old counts are not new ones.
    assert_eq!(report.services[SERVICE].indicators[0].whole.events, 5900.0);
}

#[test]
fn bound_between_buckets() {
    let mut samples = Samples::new();
    for n in 0..3_u64 {
        let text = metrics(100 * n, 0, 0, 0, 0).replace("0.32", "0.4");
        samples.add(at(n), "qh-e1", &text).unwrap();
    }
    let report = compute(&samples);
    let first = &report.services[SERVICE].indicators[1];
    assert!(!first.exact);
    assert_eq!(first.whole.causes["slow"], 100.0);
}

#[rstest]
#[case("a{b=\"c\"", 1)]
#[case("# fine\na 1\nnonsense", 3)]
#[case("a notanumber", 1)]
fn bad_text(#[case] text: &str, #[case] line: usize) {
    let error = parse(text).unwrap_err().to_string();
    assert!(error.starts_with(&format!("line {line} ")), "{error}");
    let mut samples = Samples::new();
    assert!(samples.add(at(0), "qh-e1", text).is_err());
    assert_eq!(samples.span(), None);
}

#[test]
fn escaped_labels() {
    let samples = parse("a{b=\"x\\\"y\\\\z\\n}\", c=\"d\"} 2.5 1780000000000").unwrap();
    assert_eq!(samples[0].labels["b"], "x\"y\\z\n}");
    assert_eq!(
        (samples[0].labels["c"].as_str(), samples[0].value),
        ("d", 2.5)
    );
}

#[test]
fn golden_pages() {
    let mut samples = ten_minutes();
    samples.add_failure(at(120), "qh-e2");
    let report = compute(&samples);
    insta::assert_snapshot!("text", report.to_text());
    insta::assert_snapshot!("html", report.to_html());
    let json = report.to_json();
    assert_eq!(
        json["services"][SERVICE]["indicators"][0]["kind"],
        "answered"
    );
}

#[test]
fn no_samples() {
    let report = compute(&Samples::new());
    assert!(report.to_text().starts_with("no samples"));
    assert!(report.to_html().contains("No samples"));
}
