//! Which edits are accepted, and the results of the others.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use insta::assert_snapshot;
use rstest::rstest;
use support::{Log, Transcript, document, edit};
use wagtailreel_core::{ConfigRecord, Document, ModelRef, ServiceKind, VmSelection};
use wagtailreel_fold::{ConfigFold, RefusalReason};

const S: &str = "wagtail-scribes";

#[test]
fn racing_operators() {
    let (mut t, mut log, mut a, mut b) = <(Transcript, Log, ConfigFold, ConfigFold)>::default();
    let mut both = [("entry a", &mut a), ("entry b", &mut b)];
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut both);
    t.write_line("two operators read revision 1 and both edit it, over two entries");
    t.append(&mut log, &edit("e-2", "scribes", S, 1, "2"), &mut both);
    t.append(&mut log, &edit("e-3", "scribes", S, 1, "3"), &mut both);
    t.write_line("the operator whose edit was refused reads again and edits that");
    t.append(&mut log, &edit("e-4", "scribes", S, 2, "3"), &mut both);
    t.state("entry a", &a);
    assert_eq!(a.state(), b.state());
    assert_snapshot!(t.finish());
}

#[test]
fn resend_answered() {
    let (mut t, mut log, mut a) = <(Transcript, Log, ConfigFold)>::default();
    let mut one = [("entry a", &mut a)];
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut one);
    t.write_line("the log's answer is lost, so the entry appends the same again");
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut one);
    t.append(&mut log, &edit("e-2", "scribes", S, 1, "2"), &mut one);
    t.write_line("a late copy of the same edit: nothing reverts");
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut one);
    t.write_line("a refused edit is refused again, with the first answer");
    t.append(&mut log, &edit("e-3", "scribes", S, 1, "3"), &mut one);
    t.append(&mut log, &edit("e-4", "scribes", S, 3, "4"), &mut one);
    t.append(&mut log, &edit("e-3", "scribes", S, 1, "3"), &mut one);
    t.write_line("an id that is reused for another edit does not hide that edit");
    t.append(&mut log, &edit("e-1", "scribes", S, 6, "5"), &mut one);
    t.append(&mut log, &edit("e-1", "scribes", S, 6, "6"), &mut one);
    t.write_line("history, newest first");
    for result in a.history(S) {
        t.write_line(format!("  record {}: {}", result.offset, result));
    }
    t.state("entry a", &a);
    assert_snapshot!(t.finish());
}

#[test]
fn other_team() {
    let (mut t, mut log, mut a) = <(Transcript, Log, ConfigFold)>::default();
    let mut one = [("entry a", &mut a)];
    t.append(&mut log, &edit("e-1", "scribes", S, 0, "1"), &mut one);
    t.append(&mut log, &edit("e-2", "proofs", S, 1, "2"), &mut one);
    t.write_line("a deleted service keeps its name and its team");
    t.append(&mut log, &edit("e-3", "scribes", S, 1, ""), &mut one);
    t.append(&mut log, &edit("e-4", "proofs", S, 0, "2"), &mut one);
    t.append(&mut log, &edit("e-5", "proofs", S, 3, "2"), &mut one);
    t.append(&mut log, &edit("e-6", "scribes", S, 0, "1"), &mut one);
    t.append(&mut log, &edit("e-7", "scribes", S, 3, "1"), &mut one);
    t.state("entry a", &a);
    assert_snapshot!(t.finish());
}

#[test]
fn wrong_service() {
    let mut log = Log::default();
    let mut fold = ConfigFold::new();
    let mut record = edit("e-1", "scribes", S, 0, "1");
    if let ConfigRecord::Edit { service, .. } = &mut record {
        *service = "proof-desk".to_owned();
    }
    log.append(&record);
    log.feed_all(&mut fold);
    assert!(fold.state().services.is_empty());
    assert_snapshot!(fold.edit_result("proof-desk", "e-1").unwrap().to_string());
}

#[rstest]
#[case::same(|_: &mut Document| {}, 1)]
#[case::more_places(|d: &mut Document| d.places.push(d.places[0].clone()), 1)]
#[case::fewer_vms(|d: &mut Document| d.places[0].vms = VmSelection::Named(Vec::new()), 1)]
#[case::default_limit(|d: &mut Document| d.spread.rate = Some(1), 1)]
#[case::other_version(|d: &mut Document| d.model.as_mut().unwrap().version = "2".to_owned(), 2)]
#[case::adapter(|d: &mut Document| d.adapters.push(adapter()), 2)]
#[case::kind(|d: &mut Document| d.kind = ServiceKind::Plain, 2)]
fn epoch_rule(#[case] change: fn(&mut Document), #[case] epoch: u64) {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    let mut next = document(S, "1");
    change(&mut next);
    log.append(&ConfigRecord::Edit {
        edit_id: "e-2".to_owned(),
        team: "scribes".to_owned(),
        base: 1,
        document: Some(Box::new(next)),
        service: S.to_owned(),
    });
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    let state = &fold.state().services[S];
    assert_eq!((state.revision, state.epoch), (2, epoch));
}

fn adapter() -> ModelRef {
    ModelRef {
        name: "kichwa".to_owned(),
        version: "1".to_owned(),
    }
}

#[test]
fn epoch_rises() {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "scribes", S, 1, "2"));
    // A rollback to the earlier version gets a new epoch.
    log.append(&edit("e-3", "scribes", S, 2, "1"));
    log.append(&edit("e-4", "scribes", S, 3, ""));
    log.append(&edit("e-5", "scribes", S, 4, "1"));
    let mut fold = ConfigFold::new();
    let mut epochs = Vec::new();
    for offset in 1..log.next() {
        log.feed(&mut fold, offset).unwrap();
        epochs.push(fold.state().services[S].epoch);
    }
    assert_eq!(epochs, [1, 2, 3, 4, 5]);
}

#[test]
fn checked_before() {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    assert!(fold.check_edit(S, "scribes", 1).is_ok());
    assert!(fold.check_edit("proof-desk", "proofs", 0).is_ok());
    let reason = |service, team, base| fold.check_edit(service, team, base).unwrap_err().reason;
    assert_eq!(reason(S, "scribes", 0), RefusalReason::StaleBase);
    assert_eq!(reason(S, "scribes", 2), RefusalReason::BaseAhead);
    assert_eq!(reason(S, "proofs", 1), RefusalReason::NotOwner);
    assert_eq!(reason("proof-desk", "proofs", 1), RefusalReason::BaseAhead);
    let refusal = fold.check_edit(S, "scribes", 0).unwrap_err();
    assert_snapshot!(refusal.to_string());
}

#[test]
fn history_bounded() {
    let mut log = Log::default();
    for base in 0..300 {
        log.append(&edit(&format!("e-{base}"), "scribes", S, base, "1"));
    }
    let mut fold = ConfigFold::new();
    log.feed_all(&mut fold);
    assert!(fold.edit_result(S, "e-43").is_none());
    assert!(fold.edit_result(S, "e-44").is_some());
    assert_eq!(fold.history(S).len(), 64);
}
