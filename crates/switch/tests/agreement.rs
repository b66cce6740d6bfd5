//! At no instant do two gates of one data centre admit different epochs, whatever fails.

mod world;

use proptest::collection::vec;
use proptest::prelude::*;
use world::{Fault, Plan, Victim, When, World};

/// Faults may strike until this time in ms.
const STORM: u64 = 15_000;
/// Time in ms that the data centre has to recover in once nothing fails any more.
const CALM: u64 = 15_000;

fn faults() -> impl Strategy<Value = (When, Victim, Fault)> {
    let when = prop_oneof![
        (0..STORM).prop_map(When::At),
        (0_usize..120).prop_map(When::Step),
    ];
    let victim = prop_oneof![
        Just(Victim::Actor),
        (0_usize..4).prop_map(Victim::Entry),
        (0_usize..6).prop_map(Victim::Agent),
    ];
    let length = prop_oneof![10_u64..500, 400_u64..2500, 2000_u64..6000];
    let fault = prop_oneof![
        4 => length.clone().prop_map(Fault::Freeze),
        1 => (1_u64..1500).prop_map(Fault::Restart),
        1 => (1_u64..1500).prop_map(Fault::Replace),
    ];
    (when, victim, fault)
}

fn plans() -> impl Strategy<Value = Plan> {
    let sizes = (1_usize..=4, 2_usize..=6, 1_usize..=4, 1_u32..=3, 1_u32..=2);
    let network = (1_u64..=60, 0_u64..=20, 0_u64..2000);
    let edits = vec(0..STORM, 1..=6);
    (any::<u64>(), sizes, network, edits, vec(faults(), 0..14)).prop_map(
        |(seed, sizes, network, mut edits, faults)| {
            let (entries, agents, homes, ready, bundles) = sizes;
            let (delay, loss, lag) = network;
            edits.sort_unstable();
            Plan {
                seed,
                entries,
                agents,
                homes,
                ready,
                bundles,
                delay,
                loss,
                edits,
                lag,
                faults,
            }
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn one_epoch(plan in plans()) {
        let last = 10 * plan.edits.len() as u64;
        // With homes the entries see parts of the agents, which may be fewer than are ready.
        let sees_all = plan.homes >= plan.entries && plan.ready as usize <= plan.agents;
        let mut world = World::new(plan);
        world.run(STORM).map_err(TestCaseError::fail)?;
        world.calm = true;
        world.run(STORM + CALM).map_err(TestCaseError::fail)?;
        if sees_all {
            let stuck = world.admits().into_values().any(|epoch| epoch != Some(last));
            prop_assert!(!stuck, "not all admit {last}: {:?}\n{}", world.admits(), world.log);
        }
    }
}
