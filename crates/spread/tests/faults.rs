//! Distributions on the slot model complete in spite of faults.

mod model;

use std::ops::Range;

use model::{Model, Setup};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use wagtailreel_core::{SpreadGoal, SpreadSettings};

/// Returns the configuration of a run of 13 VMs and 64 chunks.
fn setup(weigh: SpreadGoal) -> Setup {
    let settings = SpreadSettings {
        weigh,
        ..SpreadSettings::default()
    };
    Setup::new(13, 64, settings, 2)
}

#[rstest]
#[case::time(SpreadGoal::Time)]
#[case::origin_bytes(SpreadGoal::OriginBytes)]
fn killed_vms(#[case] weigh: SpreadGoal) {
    let mut setup = setup(weigh);
    setup.dead.extend([(3, 200), (7, 500)]);
    let out = Model::new(setup).run(4);
    assert!(out.is_done && out.origin <= 2.0, "{out:?}");
}

#[rstest]
#[case::time(SpreadGoal::Time)]
#[case::origin_bytes(SpreadGoal::OriginBytes)]
fn stalled_vm(#[case] weigh: SpreadGoal) {
    let mut setup = setup(weigh);
    setup.stalled.insert(5, 300);
    let out = Model::new(setup).run(4);
    assert!(out.is_done && out.origin <= 2.0, "{out:?}");
}

/// Guards against two stalled VMs that in turn hold the fetch of another VM's last chunk for ever.
#[test]
fn stalled_sources_in_turn() {
    let mut setup = setup(SpreadGoal::Time);
    (setup.vms, setup.chunks, setup.seed) = (4, 8, 603);
    setup.corrupt = 0.192_772_845_260_377_02;
    setup.stalled.extend([(0, 98), (3, 106)]);
    let out = Model::new(setup).run(312);
    assert!(out.is_done, "{out:?}");
}

#[rstest]
#[case::time(SpreadGoal::Time, 1.9)]
#[case::origin_bytes(SpreadGoal::OriginBytes, 1.25)]
fn partition_and_recovery(#[case] weigh: SpreadGoal, #[case] max_drawn: f64) {
    let mut setup = setup(weigh);
    setup.partition = 150..700;
    let out = Model::new(setup).run(4);
    println!("{out:?}");
    assert!(out.is_done && out.origin <= max_drawn, "{out:?}");
}

#[rstest]
#[case::time(SpreadGoal::Time, 2.0)]
#[case::origin_bytes(SpreadGoal::OriginBytes, 1.25)]
fn corrupting_vm_is_not_trusted(#[case] weigh: SpreadGoal, #[case] max_drawn: f64) {
    let mut setup = setup(weigh);
    setup.corrupting_vm = Some(4);
    let out = Model::new(setup).run(4);
    println!("corrupting VM: {out:?}");
    assert!(out.is_done && out.ratio <= 2.0, "{out:?}");
    assert!(out.origin <= max_drawn, "{out:?}");
}

#[rstest]
#[case::time(SpreadGoal::Time, 2.0)]
#[case::origin_bytes(SpreadGoal::OriginBytes, 1.05)]
fn corrupt_chunks(#[case] weigh: SpreadGoal, #[case] max_drawn: f64) {
    let mut setup = setup(weigh);
    setup.corrupt = 0.01;
    let out = Model::new(setup).run(4);
    println!("corrupt chunks: {out:?}");
    assert!(out.is_done && out.origin <= max_drawn, "{out:?}");
}

#[rstest]
#[case::time(SpreadGoal::Time, 100..440, 2.0)]
#[case::origin_bytes(SpreadGoal::OriginBytes, 100..440, 1.02)]
#[case::time_from_start(SpreadGoal::Time, 0..340, 2.0)]
#[case::origin_bytes_from_start(SpreadGoal::OriginBytes, 0..340, 1.02)]
#[case::time_for_long(SpreadGoal::Time, 100..5000, 2.0)]
#[case::origin_bytes_for_long(SpreadGoal::OriginBytes, 100..5000, 1.02)]
fn origin_down(#[case] weigh: SpreadGoal, #[case] down: Range<u64>, #[case] max_drawn: f64) {
    let mut setup = setup(weigh);
    setup.origin_down = down;
    let out = Model::new(setup).run(8);
    println!("{out:?}");
    assert!(out.is_done && out.origin <= max_drawn, "{out:?}");
}

prop_compose! {
    /// Any combination of faults in which one VM lives, the origin recovers and the partition ends.
    fn any_faults()(
        vms in 1_usize..9,
        chunks in 1_u32..24,
        weigh in prop_oneof![Just(SpreadGoal::Time), Just(SpreadGoal::OriginBytes)],
        seed in 0_u64..1000,
        corrupt in 0.0..0.2,
        dead in prop::collection::btree_map(1_usize..9, 0_u64..400, 0..4),
        stalled in prop::collection::btree_map(0_usize..9, 0_u64..400, 0..3),
        down in (0_u64..300, 0_u64..300),
        partition in (0_u64..300, 0_u64..300),
    ) -> Setup {
        let settings = SpreadSettings { weigh, ..SpreadSettings::default() };
        let mut setup = Setup::new(vms, chunks, settings, seed);
        setup.corrupt = corrupt;
        setup.dead = dead;
        setup.stalled = stalled;
        setup.origin_down = down.0..down.0 + down.1;
        setup.partition = partition.0..partition.0 + partition.1;
        setup
    }
}

/// Returns a configuration with the same cases in every run, so that the result in CI is reproducible.
fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::with_cases(200)
    }
}

proptest! {
    #![proptest_config(config())]

    /// Every living VM gets every chunk. The model also checks that no VM counts a chunk before it was
    /// verified and that no VM fetches a chunk again from the peer that sent it corrupted.
    #[test]
    fn every_vm_completes(setup in any_faults()) {
        let copies = 40_000 / setup.copy_steps();
        let out = Model::new(setup).run(copies);
        prop_assert!(out.is_done, "{out:?}");
    }
}
