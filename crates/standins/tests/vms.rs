//! The list of VMs: its protocol and its lag, through the adapter.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use wagtailreel_adapters::{HttpVmList, VmList as _, VmListPage};
use wagtailreel_core::{VmEntry, VmRole, VmState};
use wagtailreel_standins::{VmListConfig, VmListStandin};

/// Longer than any test may take.
const LONG: Duration = Duration::from_secs(30);

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        vm: name.to_owned(),
        data_centre: "quito-hall".to_owned(),
        region: "sierra".to_owned(),
        role: VmRole::Upstream,
        state: VmState::Live,
        service: Some("wagtail-scribes".to_owned()),
        control: local(),
        data: local(),
    }
}

fn start(vms: Vec<VmEntry>) -> (VmListStandin, HttpVmList) {
    let standin = VmListStandin::start(VmListConfig { vms }, local()).unwrap();
    let list = HttpVmList::new(standin.addr());
    (standin, list)
}

fn names(page: &VmListPage) -> Vec<&str> {
    page.vms.iter().map(|vm| vm.vm.as_str()).collect()
}

#[tokio::test]
async fn list_and_changes() {
    let (standin, list) = start(vec![vm("qh-u1")]);
    let page = list.list(None, Duration::ZERO).await.unwrap().unwrap();
    assert_eq!(names(&page), ["qh-u1"]);
    standin.add(vm("qh-u2"));
    standin.leave("qh-u1");
    let page = list.list(Some(page.version), LONG).await.unwrap().unwrap();
    assert_eq!(names(&page), ["qh-u1", "qh-u2"]);
    assert_eq!(page.vms[0].state, VmState::Leaving);
    standin.remove("qh-u1");
    let page = list.list(Some(page.version), LONG).await.unwrap().unwrap();
    assert_eq!(names(&page), ["qh-u2"]);
}

#[tokio::test]
async fn nothing_newer() {
    let (_standin, list) = start(Vec::new());
    let page = list.list(None, Duration::ZERO).await.unwrap().unwrap();
    let wait = Duration::from_millis(20);
    assert_eq!(list.list(Some(page.version), wait).await.unwrap(), None);
}

#[tokio::test]
async fn change_lags() {
    let (standin, list) = start(Vec::new());
    let page = list.list(None, Duration::ZERO).await.unwrap().unwrap();
    standin.faults().update(|faults| faults.lag = LONG);
    standin.add(vm("qh-u1"));
    let wait = Duration::from_millis(20);
    assert_eq!(list.list(Some(page.version), wait).await.unwrap(), None);
    let stats = standin.stats();
    assert_eq!((stats.version, stats.shown), (2, 1));
}

#[tokio::test]
async fn waiter_sees_lagging_change() {
    let (standin, list) = start(Vec::new());
    let lag = Duration::from_millis(50);
    standin.faults().update(|faults| faults.lag = lag);
    let waiter = tokio::spawn(async move { list.list(Some(1), LONG).await });
    while standin.stats().reads == 0 {
        tokio::task::yield_now().await;
    }
    standin.add(vm("qh-u1"));
    let page = waiter.await.unwrap().unwrap().unwrap();
    assert_eq!(names(&page), ["qh-u1"]);
}
