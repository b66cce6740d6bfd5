//! Logs at which a fold must stop, and records that must not be encoded.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use insta::assert_snapshot;
use rstest::rstest;
use serde_json::{Value, json};
use support::{Log, Transcript, data, document, edit, time};
use wagtailreel_core::{ConfigRecord, CustomerLimit, OrderRecord};
use wagtailreel_fold::{ConfigFold, EncodeError, FoldStop, encode_config, encode_orders};

const S: &str = "wagtail-scribes";

fn two_records() -> (Log, ConfigFold) {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "scribes", S, 1, "2"));
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    (log, fold)
}

/// Checks that a stopped fold keeps serving its state and applies nothing more.
fn stays_stopped(log: &mut Log, fold: &mut ConfigFold) {
    let (state, stop) = (fold.state().clone(), fold.stop().unwrap().clone());
    let mut ahead = ConfigFold::new();
    log.append(&edit("e-9", "scribes", S, 2, "9"));
    log.feed_all(&mut ahead);
    assert_eq!(log.feed(fold, 3).unwrap_err(), stop);
    assert_eq!(fold.check_head(0, 100).unwrap_err(), stop);
    assert!(fold.restore(ahead.state()).is_empty());
    assert!(!fold.merge_service(&ahead.state().services[S]));
    assert!(fold.snapshot().is_none());
    assert_eq!(fold.state(), &state);
}

#[test]
fn gap_stops() {
    let (mut log, mut fold) = two_records();
    let stop = fold.apply(4, time(4), log.get(2)).unwrap_err();
    assert_eq!(
        stop,
        FoldStop::Gap {
            expected: 3,
            got: 4
        }
    );
    stays_stopped(&mut log, &mut fold);
}

#[test]
fn shorter_stops() {
    let (mut log, mut fold) = two_records();
    fold.check_head(fold.reached(), 3).unwrap();
    let stop = fold.check_head(fold.reached(), 2).unwrap_err();
    assert_eq!(
        stop,
        FoldStop::Shorter {
            applied: 2,
            next: 2
        }
    );
    stays_stopped(&mut log, &mut fold);
}

#[test]
fn shorter_than_agents() {
    let (log, ahead) = two_records();
    let mut fold = ConfigFold::new();
    log.feed(&mut fold, 1).unwrap();
    // The agent has applied revision 2, which this log does not contain.
    assert!(fold.merge_service(&ahead.state().services[S]));
    assert!(fold.check_head(fold.reached(), 2).is_err());
}

#[test]
fn rewritten_stops() {
    let (mut log, mut fold) = two_records();
    assert_eq!(fold.resume_from(), 2);
    assert!(log.feed(&mut fold, 2).unwrap().is_empty());
    let other = data(&edit("e-x", "scribes", S, 1, "x"));
    let stop = fold.apply(2, time(2), &other).unwrap_err();
    assert_eq!(stop, FoldStop::Rewritten { offset: 2 });
    stays_stopped(&mut log, &mut fold);
}

#[rstest]
#[case::newer_format(&|v: &mut Value| v["format"] = json!(2))]
#[case::no_format(&|v: &mut Value| v["format"] = json!(null))]
#[case::unknown_type(&|v: &mut Value| v["type"] = json!("merge"))]
#[case::unknown_field(&|v: &mut Value| v["until"] = json!(7))]
#[case::unknown_setting(&|v: &mut Value| v["document"]["colour"] = json!("red"))]
#[case::document_lost(&|v: &mut Value| drop(v.as_object_mut().unwrap().remove("document")))]
#[case::no_object(&|v: &mut Value| *v = json!([1]))]
fn unknown_format(#[case] change: &dyn Fn(&mut Value)) {
    let (mut log, mut fold) = two_records();
    let mut record = data(&edit("e-3", "scribes", S, 2, "3"));
    change(&mut record);
    let stop = fold.apply(3, time(3), &record).unwrap_err();
    assert!(
        matches!(stop, FoldStop::UnknownFormat { offset: 3, .. }),
        "{stop}"
    );
    stays_stopped(&mut log, &mut fold);
}

#[test]
fn stops_reported() {
    let (mut t, mut log, mut fold) = <(Transcript, Log, ConfigFold)>::default();
    t.append(
        &mut log,
        &edit("e-1", "scribes", S, 0, "1"),
        &mut [("entry a", &mut fold)],
    );
    let mut record = data(&edit("e-2", "scribes", S, 1, "2"));
    record["format"] = json!(2);
    t.write_line("record 2: in an unsupported format");
    let result = fold.apply(2, time(2), &record);
    t.result("entry a", &result);
    t.state("entry a", &fold);
    t.write_line("other stops");
    let stops = [
        FoldStop::Gap {
            expected: 3,
            got: 5,
        },
        FoldStop::Shorter {
            applied: 7,
            next: 4,
        },
        FoldStop::Rewritten { offset: 7 },
    ];
    for stop in stops {
        t.write_line(format!("  {stop}"));
    }
    assert_snapshot!(t.finish());
}

#[test]
fn snapshot_unreadable() {
    let (mut log, mut fold) = two_records();
    let state = json!({"view": 1});
    let record = ConfigRecord::Snapshot { at: 2, state };
    let stop = fold.apply(3, time(3), &data(&record)).unwrap_err();
    assert!(matches!(stop, FoldStop::UnknownFormat { offset: 3, .. }));
    stays_stopped(&mut log, &mut fold);
}

#[test]
fn nan_not_encoded() {
    let mut invalid = document(S, "1");
    invalid.default_limit = Some(CustomerLimit {
        requests_per_second: f64::NAN,
        burst: 1,
    });
    let record = ConfigRecord::Edit {
        edit_id: "e-1".to_owned(),
        team: "scribes".to_owned(),
        base: 0,
        document: Some(Box::new(invalid)),
        service: S.to_owned(),
    };
    let refused = encode_config(&record).unwrap_err();
    assert!(
        matches!(refused, EncodeError::NotReadBack { .. }),
        "{refused}"
    );
}

#[test]
fn too_long_not_encoded() {
    let record = OrderRecord::Releases {
        holder: "qh-e1".to_owned(),
        incarnation: 1,
        requests: vec!["r".repeat(1 << 20)],
    };
    let refused = encode_orders(&record).unwrap_err();
    assert!(matches!(refused, EncodeError::TooLong { .. }), "{refused}");
}

/// Numbers survive encoding exactly. A JSON parser with fast, inexact float parsing gets the last bit of
/// these wrong.
#[test]
fn numbers_kept() {
    let mut precise = document(S, "1");
    precise.objectives.answered = 0.999_000_000_000_000_1;
    precise.default_limit = Some(CustomerLimit {
        requests_per_second: 6.631_236_871_469_758e-12,
        burst: 1,
    });
    let record = ConfigRecord::Edit {
        edit_id: "e-1".to_owned(),
        team: "scribes".to_owned(),
        base: 0,
        document: Some(Box::new(precise.clone())),
        service: S.to_owned(),
    };
    let mut log = Log::default();
    log.append(&record);
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    let read = fold.state().services[S].document.as_deref();
    assert_eq!(read, Some(&precise));
}
