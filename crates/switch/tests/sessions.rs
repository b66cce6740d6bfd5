//! Snapshots of the transcripts of whole sessions of a simulated data centre.

mod world;

use rstest::{Context, rstest};
use world::{Fault, FaultTarget, Plan, When, World};

/// Time in ms at which each session ends.
const END_MS: u64 = 12_000;

fn plan(edits: &[u64]) -> Plan {
    Plan {
        edits: edits.to_vec(),
        ..Plan::new(2, 3)
    }
}

fn with_faults(plan: Plan, faults: &[(When, FaultTarget, Fault)]) -> Plan {
    Plan {
        faults: faults.to_vec(),
        ..plan
    }
}

#[rstest]
#[case::plain_switch(plan(&[0, 5000]))]
#[case::two_switches(plan(&[0, 5000, 5526]))]
#[case::rollback(Plan { versions: vec![1, 2, 1], ..plan(&[0, 4000, 8000]) })]
#[case::one_bundle(Plan { bundles: 1, ..plan(&[0, 5000]) })]
#[case::suspended_entry(with_faults(plan(&[0, 5000]), &[
    (When::At(4900), FaultTarget::Entry(0), Fault::Suspend(4000)),
]))]
#[case::suspended_agent(with_faults(Plan { ready: 2, ..plan(&[0, 5000]) }, &[
    (When::At(4800), FaultTarget::Agent(0), Fault::Suspend(4000)),
]))]
#[case::silent_agent(with_faults(Plan { ready: 2, ..plan(&[0, 5000]) }, &[
    (When::Close(20), FaultTarget::Agent(0), Fault::Suspend(4000)),
]))]
#[case::killed_entry(with_faults(plan(&[0, 5000]), &[
    (When::Close(20), FaultTarget::Actor, Fault::Restart(300)),
]))]
#[case::restarted_agent(with_faults(plan(&[0, 5000]), &[
    (When::At(3000), FaultTarget::Agent(0), Fault::Restart(100)),
    (When::Close(20), FaultTarget::Agent(1), Fault::Restart(100)),
]))]
#[case::replaced_entries(with_faults(plan(&[0, 6000]), &[
    (When::At(4000), FaultTarget::Entry(0), Fault::Replace(100)),
    (When::At(4000), FaultTarget::Entry(0), Fault::Replace(100)),
]))]
fn session(#[context] cx: Context, #[case] plan: Plan) {
    let mut world = World::new(plan);
    world.run(END_MS).unwrap();
    let name = cx.description.unwrap_or("session");
    insta::assert_snapshot!(name, world.log);
}
