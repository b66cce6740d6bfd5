//! Claims on the keys of orders that run at most once.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::fmt::Write as _;
use std::time::Duration;

use insta::assert_snapshot;
use serde_json::{Value, json};
use support::{START, time};
use wagtailreel_core::{ClaimRecord, OrderRecord};
use wagtailreel_fold::{FoldStop, KeyProblem, OrderApplied, OrderFold, encode_orders};

const S: &str = "order-desk";
const WINDOW: Duration = Duration::from_secs(600);

fn key(seconds: u64) -> String {
    format!("{}.barge-9", START + seconds)
}

fn claims(holder: &str, incarnation: u64, claims: &[(&str, &str)]) -> OrderRecord {
    let claim = |(key, request): &(&str, &str)| ClaimRecord {
        service: S.to_owned(),
        key: (*key).to_owned(),
        request: (*request).to_owned(),
        at: time(0),
    };
    OrderRecord::Claims {
        holder: holder.to_owned(),
        incarnation,
        claims: claims.iter().map(claim).collect(),
    }
}

fn releases(holder: &str, incarnation: u64, request: &str) -> OrderRecord {
    OrderRecord::Releases {
        holder: holder.to_owned(),
        incarnation,
        requests: vec![request.to_owned()],
    }
}

fn data(record: &OrderRecord) -> Value {
    serde_json::from_slice(&encode_orders(record).unwrap()).unwrap()
}

/// A fold and a readable transcript of its session.
struct Session {
    fold: OrderFold,
    text: String,
}

impl Session {
    fn new() -> Self {
        Self {
            fold: OrderFold::new(WINDOW),
            text: String::new(),
        }
    }

    fn write_line(&mut self, line: &str) {
        writeln!(self.text, "{line}").unwrap();
    }

    /// Appends a record `seconds` after the start.
    fn append(&mut self, seconds: u64, record: &OrderRecord) -> Vec<OrderApplied> {
        let offset = self.fold.next();
        let applied = self.fold.apply(offset, time(seconds), &data(record));
        let applied = applied.unwrap();
        self.write_line(&format!("record {offset} at {seconds} s"));
        for applied in &applied {
            self.write_line(&format!("  {applied}"));
        }
        applied
    }

    fn holder(&mut self, key: &str) {
        let line = match self.fold.holder_of(S, key) {
            Some(claim) => format!("  holder of {key}: {claim:?}"),
            None => format!("  holder of {key}: none"),
        };
        self.write_line(&line);
    }
}

#[test]
fn two_entries() {
    let mut s = Session::new();
    let k = key(0);
    s.write_line("the same key at two entries");
    s.append(1, &claims("qh-e1", 1, &[(&k, "r-1")]));
    s.append(1, &claims("gh-e1", 1, &[(&k, "r-2")]));
    s.holder(&k);
    s.write_line("twice in one record: the first");
    let other = key(1);
    s.append(2, &claims("qh-e1", 1, &[(&other, "r-3"), (&other, "r-4")]));
    s.write_line("the log's answer was lost, so the same is appended again");
    s.append(3, &claims("qh-e1", 1, &[(&k, "r-1")]));
    s.write_line("another entry that was given the same request id is another claimant");
    s.append(4, &claims("gh-e1", 1, &[(&k, "r-1")]));
    s.write_line("and so is the same entry after a restart");
    s.append(5, &claims("qh-e1", 2, &[(&k, "r-1")]));
    assert_snapshot!(s.text);
}

#[test]
fn released_by_holder_only() {
    let mut s = Session::new();
    let k = key(0);
    s.append(1, &claims("qh-e1", 1, &[(&k, "r-1")]));
    s.write_line("neither another entry nor a later start can release");
    s.append(2, &releases("gh-e1", 1, "r-1"));
    s.append(3, &releases("qh-e1", 2, "r-1"));
    s.append(4, &claims("gh-e1", 1, &[(&k, "r-2")]));
    s.write_line("the holder can");
    s.append(5, &releases("qh-e1", 1, "r-1"));
    s.holder(&k);
    s.append(6, &claims("gh-e1", 1, &[(&k, "r-3")]));
    s.write_line("late copies of a released claim hold nothing");
    s.append(7, &claims("qh-e1", 1, &[(&k, "r-1")]));
    s.append(8, &releases("qh-e1", 1, "r-1"));
    s.holder(&k);
    s.write_line("a claim that comes after its own release");
    let other = key(1);
    s.append(9, &releases("qh-e1", 1, "r-9"));
    s.append(10, &claims("qh-e1", 1, &[(&other, "r-9")]));
    s.append(11, &claims("gh-e1", 1, &[(&other, "r-10")]));
    assert_snapshot!(s.text);
}

#[test]
fn paused_holder() {
    let mut s = Session::new();
    let k = key(0);
    s.append(1, &claims("qh-e1", 1, &[(&k, "r-1")]));
    s.write_line("qh-e1 is suspended before it dispatches; no expiry frees the key");
    s.append(599, &claims("gh-e1", 1, &[(&k, "r-2")]));
    s.append(601, &claims("gh-e1", 1, &[(&k, "r-3")]));
    s.append(1200, &claims("gh-e1", 1, &[(&k, "r-4")]));
    s.holder(&k);
    s.write_line("the claim is removed, but its key is expired");
    s.append(1201, &claims("gh-e1", 1, &[(&k, "r-5")]));
    s.holder(&k);
    s.write_line("a claim that gh-e2 checked at 2 s and that reached the log only now");
    s.append(1202, &claims("gh-e2", 1, &[(&k, "r-6")]));
    s.write_line("the log's clock steps back: the fold's time does not");
    s.append(3, &claims("gh-e2", 1, &[(&k, "r-7")]));
    assert!(s.fold.is_empty());
    assert_snapshot!(s.text);
}

#[test]
fn bad_keys_void() {
    let mut s = Session::new();
    let early = key(62);
    s.append(1, &claims("qh-e1", 1, &[("cut-7", "r-1"), (&early, "r-2")]));
    assert!(s.fold.is_empty());
    assert_snapshot!(s.text);
}

#[test]
fn claims_dropped() {
    let mut s = Session::new();
    s.write_line("records before 41 were dropped, and a new entry starts");
    s.fold.start_from(41);
    let (old, new) = (key(1000), key(1121));
    let check = s.fold.check_key(&old, time(1001));
    assert_eq!(check, Err(KeyProblem::Unseen));
    s.append(1000, &claims("gh-e1", 1, &[(&old, "r-1")]));
    assert_eq!(s.fold.check_key(&old, time(1001)), Err(KeyProblem::Unseen));
    s.write_line("this fold can't tell whether that is the first claim");
    s.append(1001, &claims("qh-e1", 1, &[(&old, "r-2")]));
    s.append(1070, &claims("qh-e1", 1, &[(&new, "r-3")]));
    assert_eq!(s.fold.check_key(&new, time(1071)), Ok(()));
    assert_snapshot!(s.text);
}

#[test]
fn old_records_dropped() {
    let mut fold = OrderFold::new(WINDOW);
    fold.start_from(41);
    let record = data(&claims("gh-e1", 1, &[(&key(0), "r-1")]));
    fold.apply(41, time(0), &record).unwrap();
    // The oldest record in the log is older than the window, so no valid key is affected.
    assert_eq!(fold.check_key(&key(121), time(721)), Ok(()));
    fold.start_from(42);
    assert_eq!(fold.check_key(&key(121), time(721)), Ok(()));
}

#[test]
fn stops_kept() {
    let record = data(&releases("qh-e1", 1, "r-1"));
    let two_records_read = || {
        let mut fold = OrderFold::new(WINDOW);
        fold.apply(1, time(0), &record).unwrap();
        fold.apply(2, time(0), &record).unwrap();
        assert!(fold.apply(2, time(0), &record).unwrap().is_empty());
        assert_eq!(fold.resume_from(), 2);
        fold
    };
    let mut fold = two_records_read();
    let gap = fold.apply(4, time(0), &record).unwrap_err();
    assert_eq!(
        gap,
        FoldStop::Gap {
            expected: 3,
            got: 4
        }
    );
    assert_eq!(fold.apply(3, time(0), &record).unwrap_err(), gap);
    let mut fold = two_records_read();
    let shorter = fold.check_head(fold.offset(), 2).unwrap_err();
    assert_eq!(
        shorter,
        FoldStop::Shorter {
            applied: 2,
            next: 2
        }
    );
    assert_eq!(fold.stop(), Some(&shorter));
    let mut fold = two_records_read();
    let other = data(&releases("qh-e1", 1, "r-2"));
    let rewritten = fold.apply(2, time(0), &other).unwrap_err();
    assert_eq!(rewritten, FoldStop::Rewritten { offset: 2 });
    let mut fold = two_records_read();
    let mut newer = record.clone();
    newer["format"] = json!(2);
    let unknown = fold.apply(3, time(0), &newer).unwrap_err();
    assert!(matches!(unknown, FoldStop::UnknownFormat { offset: 3, .. }));
    assert_eq!(fold.apply(3, time(0), &record).unwrap_err(), unknown);
}

/// The fold keeps only the keys of two windows, however long the stream is.
#[test]
fn memory_bounded() {
    let mut fold = OrderFold::new(WINDOW);
    let mut max_len = 0;
    for second in 0..5000_u64 {
        let request = format!("r-{second}");
        let record = data(&claims("qh-e1", 1, &[(&key(second), &request)]));
        fold.apply(second + 1, time(second), &record).unwrap();
        max_len = max_len.max(fold.len());
    }
    assert_eq!(max_len, 1201);
    let per_key = fold.approx_bytes() / fold.len();
    assert!((100..600).contains(&per_key), "{per_key}");
}
