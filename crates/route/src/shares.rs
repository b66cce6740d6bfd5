//! This entry's share of each rate limit, computed from exchanged demand without a shared counter.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_core::{CustomerId, ServiceName, VmId};

/// Requests per second that reach one entry, by service and customer.
pub type Demand = BTreeMap<ServiceName, BTreeMap<CustomerId, f64>>;

/// How shares are computed from demand.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharesConfig {
    /// Part of a limit, 0 to 1, that is divided evenly between the entries. Without this part, a
    /// customer's first request at an entry would be refused, because the entry had no demand before.
    pub even_part: f64,
    /// A peer without a report for longer than this is silent and keeps its last share.
    pub silent_after: Duration,
    /// A peer that is silent and not listed keeps its share for this long after its last report.
    pub prune_after: Duration,
}

impl Default for SharesConfig {
    fn default() -> Self {
        Self {
            even_part: 0.2,
            silent_after: Duration::from_secs(2),
            prune_after: Duration::from_secs(30),
        }
    }
}

/// Input of the shares: a snapshot of the visible entries and of the reserved shares.
#[derive(Clone, Debug)]
struct Basis {
    /// Number of visible entries, including this one. A visible entry is one that is not silent.
    visible: usize,
    /// Demand of all visible entries.
    total: Demand,
    /// Shares reserved for silent entries and entries without any report.
    reserved: Demand,
    /// The reserved share of a customer that `reserved` does not contain.
    reserved_default: f64,
    even_part: f64,
}

impl Basis {
    /// Returns the share of a visible entry with `demand`.
    fn share(&self, demand: f64, service: &str, customer: &str) -> f64 {
        let reserved = find(&self.reserved, service, customer).unwrap_or(self.reserved_default);
        let unreserved = (1.0 - reserved).max(0.0);
        let even_share = unreserved / self.visible as f64;
        let total = find(&self.total, service, customer).unwrap_or_default();
        if total <= 0.0 {
            return even_share;
        }
        self.even_part * even_share + (1.0 - self.even_part) * unreserved * demand / total
    }
}

#[derive(Clone, Debug)]
struct Peer {
    received_at: Instant,
    demand: Demand,
    updated: bool,
    silent: bool,
    /// The basis at the last tick with a new report of the peer. Once the peer is silent, its share is
    /// computed from what both sides knew then, not from later reports.
    basis: Option<Arc<Basis>>,
}

impl Peer {
    fn share(&self, service: &str, customer: &str, equal_share: f64) -> f64 {
        let demand = find(&self.demand, service, customer).unwrap_or_default();
        self.basis
            .as_ref()
            .map_or(equal_share, |basis| basis.share(demand, service, customer))
    }
}

/// The shares of all entries, as computed by one of them.
///
/// Invariant: when all entries receive each other's reports and agree on the demand, the shares of a
/// limit add up to 1. In a network partition, each side reserves the other's last share, so that the
/// sum does not grow.
#[derive(Clone, Debug)]
pub struct Shares {
    cfg: SharesConfig,
    peers: BTreeMap<VmId, Peer>,
    listed: BTreeSet<VmId>,
    basis: Arc<Basis>,
    own: Demand,
}

impl Shares {
    /// Creates the shares of an entry that knows no peer.
    pub fn new(cfg: SharesConfig) -> Self {
        let basis = Basis {
            visible: 1,
            total: Demand::new(),
            reserved: Demand::new(),
            reserved_default: 0.0,
            even_part: cfg.even_part,
        };
        Self {
            cfg,
            peers: BTreeMap::new(),
            listed: BTreeSet::new(),
            basis: Arc::new(basis),
            own: Demand::new(),
        }
    }

    /// Sets the names of the other entries in the list of VMs.
    pub fn list<I>(&mut self, entries: I)
    where
        I: IntoIterator<Item = VmId>,
    {
        self.listed = entries.into_iter().collect();
    }

    /// Records a peer's demand, received at `received_at`; an older report is ignored.
    pub fn peer(&mut self, vm: &VmId, demand: &Demand, received_at: Instant) {
        let Some(peer) = self.peers.get_mut(vm) else {
            let peer = Peer {
                received_at,
                demand: demand.clone(),
                updated: true,
                silent: false,
                basis: None,
            };
            self.peers.insert(vm.clone(), peer);
            return;
        };
        if received_at > peer.received_at {
            peer.received_at = received_at;
            peer.demand.clone_from(demand);
            peer.updated = true;
        }
    }

    /// Recomputes the shares from this entry's demand `own` and the reported demand of peers.
    ///
    /// Silent peers keep their last share. Peers that are also gone from the list are removed
    /// after [`SharesConfig::prune_after`].
    pub fn tick(&mut self, own: &Demand, now: Instant) {
        let cfg = self.cfg;
        let listed = &self.listed;
        self.peers.retain(|vm, peer| {
            let silence = now.saturating_duration_since(peer.received_at);
            listed.contains(vm) || silence <= cfg.prune_after
        });
        for peer in self.peers.values_mut() {
            peer.silent = now.saturating_duration_since(peer.received_at) > cfg.silent_after;
        }
        self.own.clone_from(own);
        self.basis = Arc::new(self.next_basis());
        for peer in self.peers.values_mut().filter(|peer| peer.updated) {
            peer.updated = false;
            peer.basis = Some(Arc::clone(&self.basis));
        }
    }

    /// Returns this entry's share, 0 to 1, of the limit of `customer` at `service`, as of the last tick.
    pub fn own_share(&self, service: &str, customer: &str) -> f64 {
        let demand = find(&self.own, service, customer).unwrap_or_default();
        self.basis.share(demand, service, customer)
    }

    /// Returns the number of entries that share a limit, including this one.
    pub fn entries(&self) -> usize {
        1 + self.peers.len() + self.never_heard()
    }

    /// Returns the number of listed entries without any report.
    fn never_heard(&self) -> usize {
        self.listed
            .iter()
            .filter(|vm| !self.peers.contains_key(*vm))
            .count()
    }

    fn next_basis(&self) -> Basis {
        let equal_share = 1.0 / self.entries() as f64;
        let visible_peers = || self.peers.values().filter(|peer| !peer.silent);
        let silent_peers = || self.peers.values().filter(|peer| peer.silent);
        let mut total = self.own.clone();
        for peer in visible_peers() {
            add(&mut total, &peer.demand);
        }
        let mut reserved_by_customer = total.clone();
        for peer in silent_peers() {
            add(&mut reserved_by_customer, &peer.demand);
        }
        let never_heard = self.never_heard() as f64 * equal_share;
        let reserved_of = |service: &str, customer: &str| {
            let shares = silent_peers().map(|peer| peer.share(service, customer, equal_share));
            never_heard + shares.sum::<f64>()
        };
        let reserved_default = reserved_of("", "");
        for (service, customers) in &mut reserved_by_customer {
            for (customer, reserved) in customers {
                *reserved = reserved_of(service, customer);
            }
        }
        Basis {
            visible: 1 + visible_peers().count(),
            total,
            reserved: reserved_by_customer,
            reserved_default,
            even_part: self.cfg.even_part,
        }
    }
}

fn add(total: &mut Demand, demand: &Demand) {
    for (service, customers) in demand {
        let sums = total.entry(service.clone()).or_default();
        for (customer, rate) in customers {
            *sums.entry(customer.clone()).or_default() += rate;
        }
    }
}

fn find(demand: &Demand, service: &str, customer: &str) -> Option<f64> {
    demand.get(service)?.get(customer).copied()
}
