//! Losses by reason, data centre and second, calls to the registry, and ages that were told.

use wagtailreel_account::{Account, AccountConfig, CallRow, LossRow};

use std::time::Duration;

fn line(at: f64, process: &str, message: &str, fields: &[(&str, &str)]) -> String {
    let fields: std::collections::BTreeMap<&str, &str> = fields.iter().copied().collect();
    serde_json::json!({
        "at": at,
        "level": "INFO",
        "process": process,
        "target": "wagtailreel",
        "message": message,
        "fields": fields,
    })
    .to_string()
}

fn started(process: &str, data_centre: &str) -> String {
    let fields = [("vm", process), ("data_centre", data_centre)];
    line(100.0, process, "direct-entry-started", &fields)
}

fn account(lines: &[String]) -> Account {
    let late_after = Some(Duration::from_millis(400));
    let mut account = Account::new(AccountConfig { late_after });
    for line in lines {
        account.take_line(line);
    }
    account
}

fn loss(second: u64, data_centre: &str, reason: &str, count: u64) -> LossRow {
    LossRow {
        second,
        data_centre: data_centre.to_owned(),
        reason: reason.to_owned(),
        count,
    }
}

#[test]
fn losses_by_second() {
    let refused = |at, process: &str, end| line(at, process, "request-refused", &[("end", end)]);
    let done = |at, first| {
        let fields = [("end", "answered"), ("first_ms", first)];
        line(at, "quito-1", "request-done", &fields)
    };
    let summary = account(&[
        // The start of a process may stand after its other lines.
        refused(102.9, "quito-1", "full"),
        refused(102.1, "quito-2", "full"),
        refused(102.2, "cuenca-1", "weights"),
        refused(103.0, "stranger", "full"),
        done(104.0, "400"),
        done(104.5, "401"),
        line(104.6, "quito-1", "request-done", &[("end", "cut")]),
        started("quito-1", "quito"),
        started("quito-2", "quito"),
        started("cuenca-1", "cuenca"),
    ])
    .summary();
    let expected = vec![
        loss(2, "cuenca", "weights", 1),
        loss(2, "quito", "full", 2),
        loss(3, "unknown", "full", 1),
        loss(4, "quito", "cut", 1),
        loss(4, "quito", "late", 1),
    ];
    assert_eq!(summary.losses, expected);
    assert_eq!((summary.answered, summary.processes), (2, 3));
}

#[test]
fn damaged_lines() {
    let whole = line(100.0, "quito-1", "request-refused", &[("end", "full")]);
    let prefixed = format!("quito-1 | {whole}");
    let cut = whole.get(..40).unwrap_or_default().to_owned();
    let lines = [
        prefixed,
        cut,
        "no event".to_owned(),
        String::new(),
        format!("{whole} trailing"),
    ];
    let summary = account(&lines).summary();
    assert_eq!((summary.lines, summary.damaged), (4, 2));
    assert_eq!(summary.losses, [loss(0, "unknown", "full", 2)]);
}

#[test]
fn registry_calls() {
    let call = |process, outcome, ms| {
        let fields = [
            ("topic", "upstreams"),
            ("cause", "first"),
            ("outcome", outcome),
            ("ms", ms),
        ];
        line(101.0, process, "registry-called", &fields)
    };
    let calls = [
        started("quito-1", "quito"),
        call("quito-1", "answered", "4"),
        call("quito-1", "answered", "6"),
        call("quito-1", "answered", "500"),
        call("quito-1", "failed", "501"),
    ];
    let row = |outcome: &str, count, median_ms, p99_ms| CallRow {
        data_centre: "quito".to_owned(),
        topic: "upstreams".to_owned(),
        cause: "first".to_owned(),
        outcome: outcome.to_owned(),
        count,
        median_ms,
        p99_ms,
    };
    let expected = [row("answered", 3, 6, 500), row("failed", 1, 501, 501)];
    assert_eq!(account(&calls).summary().calls, expected);
}

#[test]
fn ages_told() {
    let naming = |at, message, told: (&str, &str)| {
        let fields = [("model", "epitaph"), ("version", "2"), told];
        line(at, "quito-1", message, &fields)
    };
    let summary = account(&[
        naming(118.4, "weights-named", ("told", "news")),
        naming(118.2, "weights-named", ("told", "news")),
        naming(110.0, "weights-named", ("told", "before-start")),
        naming(119.0, "naming-learned", ("age_ms", "1000")),
        naming(120.0, "naming-learned", ("age_ms", "8800")),
        naming(120.0, "naming-learned", ("age_ms", "1900")),
    ])
    .summary();
    let row = summary.namings.first().cloned();
    let row = row.map(|row| (row.learned, row.median_before_s, row.most_before_s));
    let (learned, median, most) = row.unwrap_or_default();
    assert_eq!(learned, 3);
    assert!(
        (median.unwrap_or_default() - 0.2).abs() < 0.001,
        "{median:?}"
    );
    assert!((most.unwrap_or_default() - 7.0).abs() < 0.001, "{most:?}");
}

#[test]
fn text_form() {
    let fields = [
        ("topic", "settings"),
        ("cause", "neighbour-old"),
        ("outcome", "answered"),
        ("ms", "12"),
    ];
    let account = account(&[
        started("quito-1", "quito"),
        line(101.0, "quito-1", "request-refused", &[("end", "full")]),
        line(102.0, "quito-1", "registry-called", &fields),
    ]);
    insta::assert_snapshot!(account.summary().to_text());
}
