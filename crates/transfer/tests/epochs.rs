//! Versions that change, and the memory that they share.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use bytes::Bytes;
use common::{CHUNK, Vm, model, origin};
use wagtailreel_core::{ModelRef, SpreadSettings, WeightsPhase};
use wagtailreel_standins::OriginModel;

/// Returns version `version`, of which the first half of 20 chunks is the same in all.
fn half_shared(version: &str) -> OriginModel {
    model(version, 20).with_shared_prefix(0.5)
}

/// Returns the length of so many chunks.
const fn chunks(count: usize) -> u64 {
    (count * CHUNK) as u64
}

#[tokio::test]
async fn staged_stays() {
    let (old, new) = (half_shared("1"), half_shared("2"));
    let origin = origin(&[&old, &new], 0);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, old.part());
    vm.staged(3).await;
    vm.want(5, new.part());
    vm.staged(5).await;
    assert_eq!(origin.stats().bytes, chunks(30));
    assert_eq!(vm.read(3).await, origin.bytes(&old.part()).unwrap());
    assert_eq!(vm.read(5).await, origin.bytes(&new.part()).unwrap());
    vm.transfer.forget(3);
    let left = vm.wait(|progress| progress.bytes == chunks(20)).await;
    assert_eq!(left.epochs.into_keys().collect::<Vec<_>>(), [5]);
    assert!(vm.transfer.body(3).is_none());
    assert_eq!(vm.read(5).await, origin.bytes(&new.part()).unwrap());
}

/// A transfer that is replaced in its middle leaves just what the new one needs.
#[tokio::test]
async fn replaced_midway() {
    let (old, new) = (half_shared("1"), half_shared("2"));
    let origin = origin(&[&old, &new], 1_000_000);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, old.part());
    let replaced = vm.wait(|progress| progress.bytes >= chunks(10)).await;
    vm.want(5, new.part());
    let staged = vm.wait(|progress| {
        let epoch = progress.epochs.get(&5);
        epoch.is_some_and(|epoch| epoch.phase == WeightsPhase::Staged)
    });
    let staged = staged.await;
    assert_eq!(staged.epochs.into_keys().collect::<Vec<_>>(), [5]);
    assert_eq!(staged.bytes, chunks(20));
    assert_eq!(vm.read(5).await, origin.bytes(&new.part()).unwrap());
    let new_drawn = origin.stats().parts[&new.part().to_string()];
    assert!(new_drawn < chunks(20), "nothing of {replaced:?} was kept");
}

/// What can't fit is refused before anything is fetched, and fits once there is room.
#[tokio::test]
async fn memory_refused() {
    let (old, new) = (half_shared("1"), half_shared("2"));
    let origin = origin(&[&old, &new], 0);
    let vm = Vm::start_with("vm-1", &origin, |cfg| cfg.memory = chunks(29)).await;
    vm.want(3, old.part());
    vm.staged(3).await;
    let ranges = origin.stats().ranges;
    vm.want(5, new.part());
    let failed = vm.phase(5, WeightsPhase::Failed).await;
    let trouble = failed.trouble.unwrap();
    assert!(trouble.contains("need 600000 bytes") && trouble.contains("allows 580000"));
    assert_eq!(origin.stats().ranges, ranges);
    vm.transfer.forget(3);
    assert_eq!(vm.staged(5).await.trouble, None);
}

#[tokio::test]
async fn memory_just_fits() {
    let (old, new) = (half_shared("1"), half_shared("2"));
    let origin = origin(&[&old, &new], 0);
    let vm = Vm::start_with("vm-1", &origin, |cfg| cfg.memory = chunks(30)).await;
    vm.want(3, old.part());
    vm.staged(3).await;
    vm.want(5, new.part());
    assert_eq!(vm.wait(|it| it.bytes == chunks(30)).await.bytes, chunks(30));
    vm.staged(5).await;
}

/// Equal chunks within and between parts are fetched once, and given as often as they stand.
#[tokio::test]
async fn repeated_chunks() {
    let origin = origin(&[], 0);
    let part = |name: &str| ModelRef {
        name: name.to_owned(),
        version: "1".to_owned(),
    };
    let scribe = Bytes::from([vec![1; CHUNK], vec![2; CHUNK], vec![1; CHUNK]].concat());
    let accent = Bytes::from([vec![2; CHUNK], vec![3; CHUNK / 2]].concat());
    for (name, data) in [("scribe", &scribe), ("accent", &accent)] {
        origin.add_bytes(&part(name), data.clone(), CHUNK).unwrap();
    }
    let vm = Vm::start("vm-1", &origin).await;
    let parts = vec![part("scribe"), part("accent")];
    vm.want_with(3, parts, SpreadSettings::default());
    let staged = vm.staged(3).await;
    assert_eq!((staged.have, staged.total), (3, 3));
    assert_eq!(vm.read(3).await, [scribe, accent].concat());
    assert_eq!(origin.stats().bytes, (2 * CHUNK + CHUNK / 2) as u64);
}

/// The same weights under a new epoch are there at once.
#[tokio::test]
async fn same_weights() {
    let scribe = model("1", 8);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    vm.staged(3).await;
    vm.want(5, scribe.part());
    vm.staged(5).await;
    assert_eq!(origin.stats().bytes, chunks(8));
    vm.transfer.forget(3);
    vm.wait(|progress| progress.epochs.len() == 1).await;
    assert_eq!(vm.read(5).await, origin.bytes(&scribe.part()).unwrap());
}
