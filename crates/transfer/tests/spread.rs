//! Chunks from the origin and among VMs.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use common::{CHUNK, Vm, introduce, model, origin, settings};
use wagtailreel_core::{SpreadGoal, SpreadPolicy};

#[tokio::test]
async fn one_vm() {
    let scribe = model("1", 12);
    let origin = origin(&[&scribe], 0);
    let vm = Vm::start("vm-1", &origin).await;
    vm.want(3, scribe.part());
    let staged = vm.staged(3).await;
    assert_eq!((staged.have, staged.total), (12, 12));
    assert_eq!(vm.read(3).await, origin.bytes(&scribe.part()).unwrap());
    assert_eq!(origin.stats().bytes, (12 * CHUNK) as u64);
    assert_eq!(vm.metric("bytes_in_total", "origin"), (12 * CHUNK) as u64);
}

#[tokio::test]
async fn four_vms() {
    let scribe = model("1", 40);
    let origin = origin(&[&scribe], 2_000_000);
    let mut vms = Vec::new();
    for vm in ["vm-1", "vm-2", "vm-3", "vm-4"] {
        vms.push(Vm::start(vm, &origin).await);
    }
    introduce(&vms);
    for vm in &vms {
        let settings = settings(SpreadPolicy::Balanced, SpreadGoal::OriginBytes);
        vm.want_with(3, vec![scribe.part()], settings);
    }
    let whole = origin.bytes(&scribe.part()).unwrap();
    for vm in &vms {
        vm.staged(3).await;
        assert_eq!(vm.read(3).await, whole);
    }
    let copies = origin.stats().bytes as f64 / whole.len() as f64;
    assert!(copies <= 1.25, "{copies} copies were drawn from the origin");
}
