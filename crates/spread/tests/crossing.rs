//! Each chunk crosses into a data centre once.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use rstest::rstest;
use wagtailreel_core::{Digest, SpreadGoal, SpreadSettings, VmEntry, VmRole, VmState, rank_score};
use wagtailreel_spread::{
    Action, ChunkSet, Event, Fetch, Planner, PlannerConfig, Site, Source, Tuning,
};

const CHUNKS: u32 = 12;

const CROSS_DELAY: Duration = Duration::from_millis(400);

fn entry(vm: &str, data_centre: &str) -> VmEntry {
    let addr = "10.0.0.1:1".parse().unwrap();
    VmEntry {
        vm: vm.to_owned(),
        data_centre: data_centre.to_owned(),
        region: data_centre.to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some("scribes".to_owned()),
        control: addr,
        data: addr,
    }
}

fn fleet() -> Vec<VmEntry> {
    vec![
        entry("a", "home"),
        entry("b", "home"),
        entry("c", "home"),
        entry("far", "abroad"),
    ]
}

fn all_chunks() -> ChunkSet {
    let mut all_chunks = ChunkSet::new(CHUNKS);
    for chunk in 0..CHUNKS {
        all_chunks.insert(chunk);
    }
    all_chunks
}

/// Makes the planner of a VM in the data centre `home` that knows that the VM `far` has every chunk.
fn planner(own: &str, now: Instant) -> (Planner, Vec<Action>) {
    let fleet = fleet();
    let site = fleet.iter().find(|it| it.vm == own).unwrap();
    let digests = (0..CHUNKS).map(|chunk| Digest::of(&chunk.to_be_bytes()));
    let cfg = PlannerConfig {
        own: Site::of(site),
        chunks: digests.collect(),
        have: ChunkSet::new(CHUNKS),
        settings: SpreadSettings {
            weigh: SpreadGoal::OriginBytes,
            ..SpreadSettings::default()
        },
        seed: 7,
    };
    let tuning = Tuning {
        parallel: CHUNKS as usize,
        per_peer: CHUNKS as usize,
        cross_delay: Some(CROSS_DELAY),
        ..Tuning::default()
    };
    let mut planner = Planner::new(cfg, now).with_tuning(tuning);
    let others = fleet.iter().filter(|it| it.vm != own).cloned();
    planner.apply(Event::Peers(others.collect()), now);
    for other in fleet.iter().filter(|it| it.vm != own && it.vm != "far") {
        let have = ChunkSet::new(CHUNKS);
        let vm = other.vm.clone();
        planner.apply(Event::Have { vm, have }, now);
    }
    let vm = "far".to_owned();
    let actions = planner.apply(
        Event::Have {
            vm,
            have: all_chunks(),
        },
        now,
    );
    (planner, actions)
}

fn from_remote(actions: &[Action]) -> BTreeSet<u32> {
    let fetches = actions.iter().filter_map(|action| match action {
        Action::Fetch(Fetch { chunk, from, .. }) if *from == Source::Peer("far".to_owned()) => {
            Some(*chunk)
        }
        _ => None,
    });
    fetches.collect()
}

#[rstest]
fn one_vm_fetches_each_chunk_across() {
    let now = Instant::now();
    let parts = ["a", "b", "c"].map(|vm| from_remote(&planner(vm, now).1));
    let total: usize = parts.iter().map(BTreeSet::len).sum();
    let union: BTreeSet<u32> = parts.into_iter().flatten().collect();
    assert_eq!(union.len(), CHUNKS as usize, "each chunk is fetched across");
    assert_eq!(
        total, CHUNKS as usize,
        "each chunk is fetched across by one VM only"
    );
}

#[rstest]
fn lower_ranks_fetch_after_delay() {
    let now = Instant::now();
    let (mut planner, first) = planner("a", now);
    let own = from_remote(&first).len();
    assert!(own < CHUNKS as usize);
    let mut fetched = own;
    for delays in 1..=3 {
        let actions = planner.apply(Event::Tick, now + CROSS_DELAY * delays);
        fetched += from_remote(&actions).len();
    }
    assert_eq!(
        fetched, CHUNKS as usize,
        "the chunks that no other VM fetched across"
    );
}

/// Guards against late fetches in a fleet of which a VM watches only a small part: the VM also watches the
/// remote VMs that draw the chunks that it is the first to fetch into its data centre.
#[rstest]
fn remote_drawers_are_watched() {
    let now = Instant::now();
    let entries: Vec<VmEntry> = (0..30)
        .map(|at| entry(&format!("home-{at}"), "home"))
        .chain((0..60).map(|at| entry(&format!("far-{at}"), "abroad")))
        .collect();
    let digests: Vec<Digest> = (0..CHUNKS)
        .map(|chunk| Digest::of(&chunk.to_be_bytes()))
        .collect();
    let first = |chunk: &Digest, all_chunks: &mut dyn Iterator<Item = &VmEntry>| {
        let score = |it: &&VmEntry| rank_score(chunk.as_bytes(), &it.vm);
        all_chunks.max_by_key(score).unwrap().clone()
    };
    for chunk in &digests {
        let drawer = first(chunk, &mut entries.iter());
        let fetcher = first(
            chunk,
            &mut entries.iter().filter(|it| it.data_centre == "home"),
        );
        if drawer.data_centre == "home" {
            continue;
        }
        let cfg = PlannerConfig {
            own: Site::of(&fetcher),
            chunks: digests.clone(),
            have: ChunkSet::new(CHUNKS),
            settings: SpreadSettings {
                weigh: SpreadGoal::OriginBytes,
                ..SpreadSettings::default()
            },
            seed: 7,
        };
        let tuning = Tuning {
            cross_delay: Some(CROSS_DELAY),
            local_neighbours: 3,
            global_neighbours: 1,
            ..Tuning::default()
        };
        let mut planner = Planner::new(cfg, now).with_tuning(tuning);
        let others = entries.iter().filter(|it| it.vm != fetcher.vm).cloned();
        planner.apply(Event::Peers(others.collect()), now);
        assert!(planner.watched().contains(&drawer.vm));
        assert!(planner.watched().len() < 20, "watches few VMs in total");
    }
}
