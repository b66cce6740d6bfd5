//! Tracks which upstreams of one service may get new requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use wagtailreel_core::{Digest, Epoch, NotRunReason, Report, VmEntry, VmId, VmRole, VmState};

/// Times after which a silent member is suspected or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipConfig {
    /// A member without a report for longer than this is suspected.
    pub suspect_after: Duration,
    /// The same for a member of another data centre, whose reports arrive with a delay.
    pub suspect_remote_after: Duration,
    /// A member without a report for longer than this is removed, unless the list of VMs names it.
    pub prune_after: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            suspect_after: Duration::from_secs(1),
            suspect_remote_after: Duration::from_secs(3),
            prune_after: Duration::from_secs(60),
        }
    }
}

impl MembershipConfig {
    fn suspect_after(&self, remote: bool) -> Duration {
        if remote {
            self.suspect_remote_after
        } else {
            self.suspect_after
        }
    }
}

/// Whether a member may get new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum Standing {
    /// The member may get new requests.
    #[display("usable")]
    Usable,
    /// The member was silent for too long, or the last request did not reach it.
    #[display("suspected")]
    Suspected,
    /// The member's report, the list of VMs or a refusal says that the member leaves.
    #[display("leaving")]
    Leaving,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReportEffect {
    /// Nothing, because a newer report arrived first.
    Late,
    /// The load and the counts only.
    Load,
    /// Something that decides whether the member gets requests, or for which weights.
    Standing,
}

/// The last known state of one upstream of the service.
#[derive(Clone, Debug)]
pub struct Member {
    /// The last report.
    pub report: Report,
    /// When the last report was received.
    pub received: Instant,
    /// Whether the member is in another data centre, and its reports are relayed by an entry there.
    pub remote: bool,
    /// Requests of this entry at the member now; exact.
    pub own_in_flight: u32,
    /// Requests of other entries at the member, as of the last report; this count lags behind.
    pub other_in_flight: u32,
    /// Hash of the VM's name, for prefix affinity.
    pub(crate) name_hash: u64,
    leaving_listed: bool,
    leaving_refused: bool,
    unreachable: bool,
    closed: bool,
}

impl Member {
    /// Returns the estimated number of requests at the member.
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight.saturating_add(self.other_in_flight)
    }

    /// Returns whether the member has refused a request as closed since its last report.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Returns the epoch that the member has open, or `None` if the member refused as closed since its last
    /// report.
    pub fn open(&self) -> Option<Epoch> {
        self.report.open.filter(|_| !self.closed)
    }

    /// Returns the digest of the open bundle, or `None` if the member refused as closed since its
    /// last report.
    pub fn open_weights(&self) -> Option<Digest> {
        self.report.open_weights.filter(|_| !self.closed)
    }
}

/// The upstreams of one service.
///
/// Invariant: `leaving` is sticky for one run of an agent. Only a higher incarnation makes a leaving
/// member usable again, or a newer list if the list of VMs marked the member as leaving.
#[derive(Clone, Debug)]
pub struct Membership {
    cfg: MembershipConfig,
    members: BTreeMap<VmId, Member>,
    listed: BTreeMap<VmId, VmState>,
}

impl Membership {
    /// Creates an empty membership.
    pub fn new(cfg: MembershipConfig) -> Self {
        Self {
            cfg,
            members: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Applies a report received at `received`; `remote` says that an entry of another data centre
    /// relayed the report.
    ///
    /// A report with a lower incarnation, or with a sequence that is not higher, is late and is
    /// ignored.
    pub fn report(&mut self, report: &Report, received: Instant, remote: bool) -> ReportEffect {
        let leaving_listed = self.listed.get(&report.vm) == Some(&VmState::Leaving);
        let Some(member) = self.members.get_mut(&report.vm) else {
            let member = Member {
                report: report.clone(),
                received,
                remote,
                own_in_flight: 0,
                other_in_flight: reported_load(report),
                name_hash: affinity_hash(&report.vm),
                leaving_listed,
                leaving_refused: false,
                unreachable: false,
                closed: false,
            };
            self.members.insert(report.vm.clone(), member);
            return ReportEffect::Standing;
        };
        let restarted = report.incarnation > member.report.incarnation;
        let newer = report.incarnation == member.report.incarnation
            && report.sequence > member.report.sequence;
        if !restarted && !newer {
            return ReportEffect::Late;
        }
        let silence = received.saturating_duration_since(member.received);
        let standing = restarted
            || member.unreachable
            || member.closed
            || silence > self.cfg.suspect_after(member.remote)
            || member.report.open != report.open
            || member.report.open_weights != report.open_weights
            || member.report.leaving != report.leaving;
        if restarted {
            member.leaving_refused = false;
        }
        member.report = report.clone();
        member.received = received;
        member.remote = remote;
        member.other_in_flight = reported_load(report).saturating_sub(member.own_in_flight);
        member.unreachable = false;
        member.closed = false;
        if standing {
            ReportEffect::Standing
        } else {
            ReportEffect::Load
        }
    }

    /// Applies the list of VMs; VMs of services other than `service` are ignored.
    pub fn list(&mut self, service: &str, vms: &[VmEntry]) {
        self.listed = vms
            .iter()
            .filter(|vm| vm.role == VmRole::Upstream && vm.service.as_deref() == Some(service))
            .map(|vm| (vm.vm.clone(), vm.state))
            .collect();
        for (name, member) in &mut self.members {
            member.leaving_listed = self.listed.get(name) == Some(&VmState::Leaving);
        }
    }

    /// Records a refusal by `vm`, which counts until the member's next report; a refusal as leaving counts
    /// for as long as the agent runs.
    pub fn refused(&mut self, vm: &str, reason: NotRunReason) {
        let Some(member) = self.members.get_mut(vm) else {
            return;
        };
        match reason {
            NotRunReason::Leaving => member.leaving_refused = true,
            NotRunReason::Closed | NotRunReason::Lease => member.closed = true,
            NotRunReason::Full => {
                let free = member.report.capacity.saturating_sub(member.own_in_flight);
                member.other_in_flight = member.other_in_flight.max(free);
            }
            _ => {}
        }
    }

    /// Records that a request did not reach `vm`, which is suspected until its next report.
    pub fn unreachable(&mut self, vm: &str) {
        if let Some(member) = self.members.get_mut(vm) {
            member.unreachable = true;
        }
    }

    /// Counts a request that is sent to `vm`.
    pub fn started(&mut self, vm: &str) {
        if let Some(member) = self.members.get_mut(vm) {
            member.own_in_flight = member.own_in_flight.saturating_add(1);
        }
    }

    /// Counts a request that has ended at `vm`.
    pub fn finished(&mut self, vm: &str) {
        if let Some(member) = self.members.get_mut(vm) {
            member.own_in_flight = member.own_in_flight.saturating_sub(1);
        }
    }

    /// Removes members that are silent, not listed, and have no request of this entry in flight.
    pub fn prune(&mut self, now: Instant) {
        let Self {
            cfg,
            members,
            listed,
        } = self;
        members.retain(|name, member| {
            let silent = now.saturating_duration_since(member.received) > cfg.prune_after;
            !silent || member.own_in_flight > 0 || listed.contains_key(name)
        });
    }

    /// Returns the standing of `member` at `now`.
    pub fn standing(&self, member: &Member, now: Instant) -> Standing {
        if member.report.leaving || member.leaving_refused || member.leaving_listed {
            return Standing::Leaving;
        }
        let silence = now.saturating_duration_since(member.received);
        if member.unreachable || silence > self.cfg.suspect_after(member.remote) {
            return Standing::Suspected;
        }
        Standing::Usable
    }

    /// Returns the member on `vm`.
    pub fn get(&self, vm: &str) -> Option<&Member> {
        self.members.get(vm)
    }

    /// Returns all members, sorted by VM name.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Returns the members that may get new requests at `now`.
    pub fn usable(&self, now: Instant) -> impl Iterator<Item = &Member> {
        self.members
            .values()
            .filter(move |member| self.standing(member, now) == Standing::Usable)
    }
}

/// Returns the number of requests at the agent: the agent's count, or the engine's if that is higher.
fn reported_load(report: &Report) -> u32 {
    let engine = report
        .load
        .map_or(0, |load| load.running.saturating_add(load.waiting));
    report.in_flight.max(engine)
}

/// Hashes a VM's name once, so that a choice by affinity needs only a few multiplications per member.
fn affinity_hash(name: &str) -> u64 {
    wagtailreel_core::rank_score(b"affinity", name)
}
