//! Golden transcripts of whole sessions of a data centre.

mod world;

use rstest::{Context, rstest};
use world::{Fault, Plan, Victim, When, World};

/// Time in ms at which each session ends.
const END: u64 = 12_000;

fn plan(edits: &[u64]) -> Plan {
    Plan {
        edits: edits.to_vec(),
        ..Plan::new(2, 3)
    }
}

fn strikes(plan: Plan, faults: &[(When, Victim, Fault)]) -> Plan {
    Plan {
        faults: faults.to_vec(),
        ..plan
    }
}

#[rstest]
#[case::plain_flip(plan(&[0, 5000]))]
#[case::two_flips(plan(&[0, 5000, 5526]))]
#[case::rollback(Plan { versions: vec![1, 2, 1], ..plan(&[0, 4000, 8000]) })]
#[case::one_bundle(Plan { bundles: 1, ..plan(&[0, 5000]) })]
#[case::frozen_entry(strikes(plan(&[0, 5000]), &[
    (When::At(4900), Victim::Entry(0), Fault::Freeze(4000)),
]))]
#[case::frozen_agent(strikes(Plan { ready: 2, ..plan(&[0, 5000]) }, &[
    (When::At(4800), Victim::Agent(0), Fault::Freeze(4000)),
]))]
#[case::silent_agent(strikes(Plan { ready: 2, ..plan(&[0, 5000]) }, &[
    (When::Close(20), Victim::Agent(0), Fault::Freeze(4000)),
]))]
#[case::killed_entry(strikes(plan(&[0, 5000]), &[
    (When::Close(20), Victim::Actor, Fault::Restart(300)),
]))]
#[case::restarted_agent(strikes(plan(&[0, 5000]), &[
    (When::At(3000), Victim::Agent(0), Fault::Restart(100)),
    (When::Close(20), Victim::Agent(1), Fault::Restart(100)),
]))]
#[case::replaced_entries(strikes(plan(&[0, 6000]), &[
    (When::At(4000), Victim::Entry(0), Fault::Replace(100)),
    (When::At(4000), Victim::Entry(0), Fault::Replace(100)),
]))]
fn session(#[context] cx: Context, #[case] plan: Plan) {
    let mut world = World::new(plan);
    world.run(END).unwrap();
    let name = cx.description.unwrap_or("session");
    insta::assert_snapshot!(name, world.log);
}
