//! Snapshots, and the start from a log that has dropped its oldest records.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use insta::assert_snapshot;
use support::{Log, Transcript, edit, time};
use wagtailreel_core::ConfigRecord;
use wagtailreel_fold::{
    Applied, ConfigFold, LogHead, MAX_RECORD_BYTES, SnapshotRule, encode_config, snapshot_wait,
};

const S: &str = "wagtail-scribes";
const P: &str = "proof-desk";

#[test]
fn records_dropped() {
    let (mut t, mut log, mut old) = <(Transcript, Log, ConfigFold)>::default();
    let mut one = [("old entry", &mut old)];
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut one);
    t.append(&mut log, &edit("e-2", "proofs", P, 0, "7"), &mut one);
    t.append(&mut log, &edit("e-3", "scribes", S, 1, "2"), &mut one);
    let early = old.snapshot().unwrap();
    t.append(
        &mut log,
        &edit("e-4", "scribes", S, 3, "3"),
        &mut [("old entry", &mut old)],
    );
    let late = old.snapshot().unwrap();
    let mut one = [("old entry", &mut old)];
    t.append(&mut log, &early, &mut one);
    t.append(&mut log, &edit("e-5", "scribes", S, 4, "4"), &mut one);
    t.append(&mut log, &late, &mut one);
    t.append(&mut log, &edit("e-6", "proofs", P, 2, "8"), &mut one);
    t.write_line(
        "records 1 to 4 are dropped, and a new entry starts: the early snapshot lacks record 4",
    );
    let mut new = ConfigFold::new();
    new.start_from(5);
    while new.next() < log.next() {
        let offset = new.next();
        t.write_line(format!(" reads {offset}"));
        let result = log.feed(&mut new, offset);
        t.result("new entry", &result);
        t.state("new entry", &new);
    }
    assert_eq!(new.state(), old.state());
    assert!(new.is_ready());
    t.write_line("the snapshot contains the latest edits");
    t.append(
        &mut log,
        &edit("e-4", "scribes", S, 3, "3"),
        &mut [("new entry", &mut new)],
    );
    assert_snapshot!(t.finish());
}

#[test]
fn dropped_while_behind() {
    let mut log = Log::default();
    let mut ahead = ConfigFold::new();
    let mut behind = ConfigFold::new();
    for base in 0..6 {
        log.append(&edit(&format!("e-{base}"), "scribes", S, base, "1"));
    }
    log.feed(&mut behind, 1).unwrap();
    log.feed_all(&mut ahead);
    let before = behind.state().clone();
    behind.start_from(4);
    assert!(!behind.is_ready());
    assert_eq!(behind.next(), 4);
    for offset in 4..=6 {
        assert!(log.feed(&mut behind, offset).unwrap().is_empty());
    }
    assert_eq!(behind.state(), &before);
    // The fold has a gap in its state, so it must not offer a snapshot.
    assert!(behind.snapshot().is_none());
    log.append(&ahead.snapshot().unwrap());
    log.feed_all(&mut ahead);
    log.feed_all(&mut behind);
    assert!(behind.is_ready());
    assert_eq!(behind.state(), ahead.state());
}

#[test]
fn nothing_dropped() {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    fold.start_from(2);
    assert!(fold.is_ready());
    assert_eq!(fold.next(), 2);
}

#[test]
fn snapshot_exact() {
    let mut log = Log::default();
    let (mut one, mut two) = <(ConfigFold, ConfigFold)>::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "proofs", P, 0, "1"));
    log.feed_all(&mut one);
    log.feed_all(&mut two);
    let encode = |fold: &ConfigFold| encode_config(&fold.snapshot().unwrap()).unwrap();
    assert_eq!(encode(&one), encode(&two));
    assert!(ConfigFold::new().snapshot().is_none());
}

#[test]
fn older_ignored() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.feed_all(&mut fold);
    let old = fold.snapshot().unwrap();
    log.append(&edit("e-2", "scribes", S, 1, "2"));
    log.append(&old);
    let applied = log.feed_all(&mut fold);
    let contradicts = Vec::new();
    assert_eq!(applied[1], Applied::SnapshotIgnored { at: 1, contradicts });
    assert_eq!(fold.state().services[S].revision, 2);
}

/// A snapshot that claims to contain records after itself is ignored: a fold that used it would skip
/// these records.
#[test]
fn future_ignored() {
    let mut log = Log::default();
    let mut ahead = ConfigFold::new();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.feed_all(&mut ahead);
    let ConfigRecord::Snapshot { state, .. } = ahead.snapshot().unwrap() else {
        panic!("a snapshot")
    };
    log.append(&ConfigRecord::Snapshot { at: 9, state });
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    assert_eq!(fold.offset(), 2);
    let mut late = ConfigFold::new();
    late.start_from(2);
    log.feed_all(&mut late);
    assert!(!late.is_ready());
    assert!(late.state().services.is_empty());
}

#[test]
fn contradiction_reported() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "proofs", P, 0, "1"));
    let mut other_log = Log::default();
    let mut other = ConfigFold::new();
    other_log.append(&edit("e-x", "scribes", S, 0, "x"));
    other_log.append(&edit("e-2", "proofs", P, 0, "1"));
    other_log.feed_all(&mut other);
    log.append(&other.snapshot().unwrap());
    let applied = log.feed_all(&mut fold);
    let contradicts = vec![S.to_owned()];
    assert_eq!(applied[2], Applied::SnapshotIgnored { at: 2, contradicts });
}

#[test]
fn due_by_count() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    let rule = SnapshotRule {
        every: 3,
        max_age: Duration::from_secs(3600),
    };
    let mut due = Vec::new();
    for base in 0..4 {
        log.append(&edit(&format!("e-{base}"), "scribes", S, base, "1"));
        log.feed_all(&mut fold);
        let next = log.next();
        due.push(fold.snapshot_due(LogHead { first: 1, next }, time(base), rule));
    }
    assert_eq!(due, [false, false, false, true]);
    let next = log.next() + 1;
    // The unread records may already contain a snapshot.
    assert!(!fold.snapshot_due(LogHead { first: 1, next }, time(5), rule));
    log.append(&fold.snapshot().unwrap());
    log.feed_all(&mut fold);
    let next = log.next();
    assert!(!fold.snapshot_due(LogHead { first: 1, next }, time(5), rule));
}

#[test]
fn due_by_age() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.feed_all(&mut fold);
    let head = LogHead { first: 1, next: 2 };
    let rule = SnapshotRule::default();
    assert!(!fold.snapshot_due(head, time(1), rule));
    assert!(!fold.snapshot_due(head, time(3600), rule));
    assert!(fold.snapshot_due(head, time(3601), rule));
    log.append(&fold.snapshot().unwrap());
    log.feed_all(&mut fold);
    let head = LogHead { first: 1, next: 3 };
    assert!(!fold.snapshot_due(head, time(3601), rule));
    // The log has dropped the record of the snapshot before the rule made a new one due.
    let head = LogHead { first: 3, next: 3 };
    assert!(fold.snapshot_due(head, time(100), rule));
}

/// No second snapshot is due until the first is read. A second one of the same state would connect to
/// no record once the log keeps only that one.
#[test]
fn one_until_read() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    let rule = SnapshotRule {
        every: 2,
        ..SnapshotRule::default()
    };
    for base in 0..3 {
        log.append(&edit(&format!("e-{base}"), "scribes", S, base, "1"));
        log.feed_all(&mut fold);
        let head = LogHead {
            first: 1,
            next: log.next(),
        };
        assert_eq!(fold.snapshot_due(head, time(1), rule), base == 2);
    }
    // `head` is from before the append.
    let head = LogHead { first: 1, next: 4 };
    log.append(&fold.snapshot().unwrap());
    fold.note_snapshot(4);
    assert!(!fold.snapshot_due(head, time(1), rule));
    log.feed_all(&mut fold);
    let head = LogHead { first: 1, next: 5 };
    assert!(!fold.snapshot_due(head, time(1), rule));
}

/// A snapshot is due if the log still keeps the last one but not the record after its state: a new fold
/// can't start from it.
#[test]
fn due_when_disconnected() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.feed_all(&mut fold);
    let snapshot = fold.snapshot().unwrap();
    log.append(&snapshot);
    log.append(&snapshot);
    log.feed_all(&mut fold);
    let rule = SnapshotRule::default();
    assert!(!fold.snapshot_due(LogHead { first: 2, next: 4 }, time(1), rule));
    assert!(fold.snapshot_due(LogHead { first: 3, next: 4 }, time(1), rule));
    log.append(&fold.snapshot().unwrap());
    log.feed_all(&mut fold);
    assert!(!fold.snapshot_due(LogHead { first: 3, next: 5 }, time(1), rule));
    let mut new = ConfigFold::new();
    new.start_from(3);
    log.feed(&mut new, 3).unwrap();
    log.feed(&mut new, 4).unwrap();
    assert!(new.is_ready());
    assert_eq!(new.state(), fold.state());
}

#[test]
fn one_entry_first() {
    let entries = ["qh-e1", "qh-e2", "gh-e1", "ch-e1"];
    let step = Duration::from_millis(500);
    let mut firsts = BTreeSet::new();
    for at in 0..50 {
        let waits = entries.map(|me| snapshot_wait(entries, me, at, step));
        let mut sorted = waits;
        sorted.sort();
        assert_eq!(sorted, [0, 500, 1000, 1500].map(Duration::from_millis));
        firsts.insert(waits.iter().position(Duration::is_zero));
    }
    assert_eq!(firsts.len(), entries.len());
    assert_eq!(snapshot_wait(entries, "xx-e9", 1, step), step * 4);
}

/// A snapshot of 300 services with 20 edits each, a hundred times the usual size, fits into one record.
#[test]
fn snapshot_fits() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    for service in 0..300 {
        for version in 0..20 {
            let name = format!("service-{service}");
            let base = fold.state().services.get(&name).map_or(0, |s| s.revision);
            let id = format!("0123456789abcdef0123456789abcdef-{version}");
            log.append(&edit(&id, "scribes", &name, base, "1"));
            log.feed_all(&mut fold);
        }
    }
    let length = encode_config(&fold.snapshot().unwrap()).unwrap().len();
    assert!(length < MAX_RECORD_BYTES, "{length}");
}
