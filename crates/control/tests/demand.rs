//! Exchange of demand among entries, within and between data centres.

mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use fleet::{Entry, HERE, SERVICE, THERE, introduce, until};
use wagtailreel_control::{Demand, DemandViews};

fn demand(rate: f64) -> Demand {
    let customers = BTreeMap::from([("mason-1".to_owned(), rate)]);
    BTreeMap::from([(SERVICE.to_owned(), customers)])
}

fn demands_at(by: &Entry) -> DemandViews {
    let views = by.control.demands();
    Arc::clone(&views.borrow())
}

fn has_demand(by: &Entry, of: &str, rate: f64) -> bool {
    demands_at(by)
        .get(of)
        .is_some_and(|view| view.demand == demand(rate))
}

fn received_at(by: &Entry, of: &str) -> Instant {
    demands_at(by)[of].received
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries() {
    let entries = [
        Entry::start("qh-e1", HERE),
        Entry::start("qh-e2", HERE),
        Entry::start("gh-e1", THERE),
    ];
    for (rate, entry) in [1.0, 2.0, 3.0].into_iter().zip(&entries) {
        entry.control.set_demand(demand(rate));
    }
    introduce(&entries.each_ref());
    until("every entry has the demand of the two others", || {
        entries.iter().all(|by| {
            let others = [1.0, 2.0, 3.0].into_iter().zip(&entries);
            let mut others = others.filter(|(_, of)| of.vm.vm != by.vm.vm);
            others.all(|(rate, of)| has_demand(by, &of.vm.vm, rate)) && demands_at(by).len() == 2
        })
    })
    .await;
    let there = &entries[2];
    // Unchanged demand is received again, with a newer time.
    let before = received_at(there, "qh-e2");
    until("unchanged demand is received again", || {
        received_at(there, "qh-e2") > before
    })
    .await;
    // The last demand of an unreachable data centre stays, with its time.
    entries[0].control.stop();
    entries[1].control.stop();
    let mut cut = received_at(there, "qh-e2");
    let mut since = Instant::now();
    until("no more demand is received", || {
        let now = received_at(there, "qh-e2");
        if now > cut {
            (cut, since) = (now, Instant::now());
        }
        since.elapsed().as_secs() >= 2
    })
    .await;
    assert!(has_demand(there, "qh-e2", 2.0));
}
