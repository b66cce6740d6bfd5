//! Tests the agent's gate.
#![allow(clippy::unwrap_used, reason = "a test fails by a panic")]

use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_core::*;
use wagtailreel_switch::{Gate, GateChange};

const LEASE: Duration = Duration::from_secs(1);

fn digest(epoch: Epoch) -> Digest {
    Digest::of(&epoch.to_be_bytes())
}

fn directive(config: Offset, close_below: Epoch, open: Option<Epoch>) -> Directive {
    Directive {
        config,
        state: None,
        lease: if open.is_some() {
            LEASE
        } else {
            Duration::ZERO
        },
        close_below,
        open,
        swap_to: None,
        peers: Vec::new(),
    }
}

fn apply(gate: &mut Gate, at: Instant, entry: &str, directive: &Directive) -> GateChange {
    gate.on_directive(at, at, &entry.to_owned(), directive)
}

/// Returns a gate that opened epoch 10 at `at`.
fn open_at(at: Instant) -> Gate {
    let mut gate = Gate::new();
    gate.set_phase(10, WeightsPhase::Loaded, Some(digest(10)));
    let change = apply(&mut gate, at, "e1", &directive(10, 10, Some(10)));
    assert_eq!((change.closed_below, change.opened), (Some(10), Some(10)));
    gate
}

#[test]
fn lease_lapses() {
    let at = Instant::now();
    let mut gate = open_at(at);
    let admission = gate.admit(at, Some(digest(10))).unwrap();
    assert_eq!((admission.epoch, admission.weights), (10, digest(10)));
    let last = at + LEASE - Duration::from_nanos(1);
    assert!(gate.admit(last, None).is_ok());
    assert_eq!(gate.admit(at + LEASE, None), Err(NotRunReason::Lease));
    // A directive that arrives late grants only the rest of its lease.
    let late = at + LEASE * 2;
    let sent_at = at + LEASE / 2;
    gate.on_directive(
        late,
        sent_at,
        &"e1".to_owned(),
        &directive(10, 10, Some(10)),
    );
    assert_eq!(gate.admit(late, None), Err(NotRunReason::Lease));
}

#[test]
fn refusal_reasons() {
    let at = Instant::now();
    assert_eq!(Gate::new().admit(at, None), Err(NotRunReason::Closed));
    let mut gate = open_at(at);
    assert_eq!(gate.admit(at, Some(digest(20))), Err(NotRunReason::Weights));
    // The engine has restarted without weights.
    gate.set_phase(10, WeightsPhase::Staged, None);
    assert_eq!(gate.admit(at, None), Err(NotRunReason::Closed));
    let change = gate.set_phase(10, WeightsPhase::Loaded, Some(digest(10)));
    assert_eq!(change.opened, Some(10));
    gate.leave();
    assert_eq!(gate.admit(at, None), Err(NotRunReason::Leaving));
}

#[test]
fn closed_epoch_never_reopens() {
    let at = Instant::now();
    let mut gate = open_at(at);
    let change = apply(&mut gate, at, "e1", &directive(20, 20, None));
    assert_eq!((change.closed_below, change.opened), (Some(20), None));
    for late in [directive(10, 10, Some(10)), directive(10, 0, Some(10))] {
        assert!(!apply(&mut gate, at, "e2", &late).is_some());
        assert_eq!(gate.admit(at, None), Err(NotRunReason::Closed));
    }
    // A lease that was received before the weights takes effect once they are loaded.
    apply(&mut gate, at, "e1", &directive(20, 20, Some(20)));
    assert_eq!(gate.admit(at, None), Err(NotRunReason::Closed));
    gate.set_phase(20, WeightsPhase::Loaded, Some(digest(20)));
    assert_eq!(gate.admit(at, None).unwrap().epoch, 20);
}

#[test]
fn overflowing_lease_is_ignored() {
    let at = Instant::now();
    let mut gate = open_at(at);
    let mut overlong = directive(10, 10, Some(10));
    overlong.lease = Duration::MAX;
    apply(&mut gate, at, "e1", &overlong);
    assert_eq!(gate.admit(at + LEASE, None), Err(NotRunReason::Lease));
}

#[rstest]
#[case::open_and_target(&[10, 20], 20, 10, [20, 20], &[])]
#[case::closed(&[5, 10, 20], 20, 10, [10, 10], &[5])]
#[case::overtaken(&[10, 20, 30], 30, 10, [30, 30], &[20])]
#[case::still_possible(&[10, 20, 30], 30, 10, [30, 20], &[])]
#[case::switching_to(&[10, 20, 30], 30, 20, [30, 30], &[10])]
fn droppable_epochs(
    #[case] held: &[Epoch],
    #[case] target: Epoch,
    #[case] close_below: Epoch,
    #[case] configs: [Offset; 2],
    #[case] expected: &[Epoch],
) {
    let at = Instant::now();
    let mut gate = open_at(at);
    for epoch in held {
        gate.set_phase(*epoch, WeightsPhase::Loaded, Some(digest(*epoch)));
    }
    for (entry, config) in ["e1", "e2"].iter().zip(configs) {
        apply(&mut gate, at, entry, &directive(config, close_below, None));
    }
    assert_eq!(gate.droppable(target), expected);
}

#[test]
fn swap_permission() {
    let at = Instant::now();
    let mut gate = open_at(at);
    assert!(!gate.may_swap(20));
    let mut chosen = directive(20, 10, Some(10));
    chosen.swap_to = Some(20);
    apply(&mut gate, at, "e1", &chosen);
    assert!(gate.may_swap(20));
    assert!(!gate.may_swap(30));
    // Dropping the open bundle does not raise `closed_below`.
    gate.remove_epoch(10);
    assert_eq!((gate.open(), gate.closed_below()), (None, 10));
    apply(&mut gate, at, "e2", &directive(30, 30, None));
    assert!(gate.may_swap(30), "all epochs below 30 are closed");
}
