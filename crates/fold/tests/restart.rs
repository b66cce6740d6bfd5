//! Start from the state of peers or agents while the platform's log is unreachable.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use insta::assert_snapshot;
use support::{Log, Transcript, edit};
use wagtailreel_fold::{Applied, ConfigFold};

const S: &str = "wagtail-scribes";
const P: &str = "proof-desk";

/// Returns a log of five edits, and folds that have read 3 and 4 of them.
fn five_records() -> (Log, ConfigFold, ConfigFold) {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "proofs", P, 0, "7"));
    log.append(&edit("e-3", "scribes", S, 1, "2"));
    log.append(&edit("e-4", "proofs", P, 2, "8"));
    log.append(&edit("e-5", "scribes", S, 3, "3"));
    let (mut three, mut four) = <(ConfigFold, ConfigFold)>::default();
    for offset in 1..=4 {
        log.feed(&mut four, offset).unwrap();
        if offset <= 3 {
            log.feed(&mut three, offset).unwrap();
        }
    }
    (log, three, four)
}

#[test]
fn from_peers() {
    let (mut log, three, four) = five_records();
    let mut t = Transcript::default();
    let mut new = ConfigFold::new();
    t.write_line("a new entry asks two peers while the log is unreachable");
    new.restore(four.state());
    new.restore(three.state());
    t.state("new entry", &new);
    t.write_line("the log is reachable again");
    t.read(&log, "new entry", &mut new);
    t.write_line(
        "a re-send of an edit that the peers had read changes nothing, and is reported as unclear",
    );
    t.append(
        &mut log,
        &edit("e-4", "proofs", P, 2, "8"),
        &mut [("new entry", &mut new)],
    );
    t.state("new entry", &new);
    let mut whole = ConfigFold::new();
    log.feed_all(&mut whole);
    assert_eq!(new.state(), whole.state());
    assert_snapshot!(t.finish());
}

#[test]
fn from_agents() {
    let (log, _, _) = five_records();
    let mut whole = ConfigFold::new();
    log.feed_all(&mut whole);
    let mut t = Transcript::default();
    let mut new = ConfigFold::new();
    t.write_line("no entry is left; an agent has its own service at revision 5");
    assert!(new.merge_service(&whole.state().services[S]));
    assert!(!new.merge_service(&whole.state().services[S]));
    t.state("new entry", &new);
    assert_eq!((new.offset(), new.reached()), (0, 5));
    t.write_line("the log is reachable again: the rest is read from the start");
    t.read(&log, "new entry", &mut new);
    t.state("new entry", &new);
    assert_eq!(new.state(), whole.state());
    let found = new.edit_result(S, "e-5").unwrap();
    t.write_line(format!("  {found}"));
    assert_snapshot!(t.finish());
}

/// A peer's state ends the wait for a snapshot, and the buffered records are applied on top of it.
#[test]
fn peer_ends_wait() {
    let (log, three, four) = five_records();
    let mut new = ConfigFold::new();
    new.start_from(5);
    log.feed(&mut new, 5).unwrap();
    assert!(new.restore(three.state()).is_empty());
    assert!(!new.is_ready());
    let applied = new.restore(four.state());
    assert!(matches!(
        &applied[..],
        [Applied::Accepted { revision: 5, .. }]
    ));
    assert!(new.is_ready());
    assert_eq!((new.offset(), new.next()), (5, 6));
}

/// The state of a peer that has read beyond all buffered records replaces them.
#[test]
fn peer_passes_wait() {
    let (log, _, four) = five_records();
    let mut new = ConfigFold::new();
    new.start_from(3);
    log.feed(&mut new, 3).unwrap();
    assert!(new.restore(four.state()).is_empty());
    assert!(new.is_ready());
    assert_eq!((new.offset(), new.next()), (4, 5));
    assert_eq!(new.state(), four.state());
}

/// A fold whose history has an edit as refused decides a re-send like a fold without that history.
#[test]
fn history_decides_nothing() {
    let mut log = Log::default();
    log.append(&edit("e-1", "scribes", S, 0, "1"));
    log.append(&edit("e-2", "scribes", S, 3, "2"));
    log.append(&edit("e-3", "scribes", S, 1, "3"));
    log.append(&edit("e-2", "scribes", S, 3, "2"));
    let (mut whole, mut restored) = <(ConfigFold, ConfigFold)>::default();
    for offset in 1..=2 {
        log.feed(&mut whole, offset).unwrap();
    }
    restored.restore(whole.state());
    log.feed_all(&mut whole);
    log.feed_all(&mut restored);
    assert_eq!(whole.state(), restored.state());
    assert_eq!(whole.state().services[S].revision, 4);
}

#[test]
fn older_peer() {
    let (log, three, mut four) = five_records();
    let before = four.state().clone();
    four.restore(three.state());
    assert!(!four.merge_service(&three.state().services[P]));
    assert_eq!(four.state(), &before);
    assert_eq!(four.next(), 5);
    log.feed(&mut four, 5).unwrap();
    assert_eq!(four.state().services[S].revision, 5);
}
