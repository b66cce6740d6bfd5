//! The other entries of the data centre, and whether this entry may act on what it knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use wagtailreel_core::{Epoch, PeerState, ServicePeerState, VmId};

use crate::Timing;

/// Grace times after which an entry that is out of reach and no longer listed is forgotten. Were
/// it forgotten at once, entries that noticed a little later would name it anew.
const FORGET_AFTER: u32 = 8;

/// A run of sync rounds without a gap of more than [`Timing::grant_window`]. A process that was frozen
/// for longer starts a new one.
#[derive(Clone, Copy, Debug)]
struct Streak {
    began: Instant,
    last_round: Instant,
}

/// One other entry.
#[derive(Clone, Debug)]
struct Peer {
    control: SocketAddr,
    /// The list of VMs shows the entry.
    listed: bool,
    /// The newest state heard, whichever way.
    state: Option<PeerState>,
    /// The entry answered a round of this streak.
    answered: bool,
    /// When the entry was last heard, whichever way.
    heard: Option<Instant>,
    /// Start of the first of the attempts that have failed since the last message from the entry.
    failing_since: Option<Instant>,
}

impl Peer {
    fn new(control: SocketAddr) -> Self {
        Self {
            control,
            listed: false,
            state: None,
            answered: false,
            heard: None,
            failing_since: None,
        }
    }

    /// Says whether the entry has been out of reach for so long that its leases have lapsed.
    fn is_gone(&self, now: Instant, timing: Timing) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + timing.grace_time())
    }

    /// Says whether the entry has been gone for so long that every other entry has noticed too.
    fn is_forgotten(&self, now: Instant, timing: Timing) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + timing.grace_time() * FORGET_AFTER)
    }

    fn service(&self, service: &str) -> ServicePeerState {
        let state = self.state.as_ref();
        state
            .and_then(|state| state.services.get(service).cloned())
            .unwrap_or_default()
    }
}

/// The other entries of the data centre.
///
/// An entry is *settled* in a streak once it knows all that may have been opened before: each
/// entry that it knows has answered in this streak or is gone, and either one of those that
/// answered was settled itself, or the streak is older than the grace time, so that all leases
/// from before have lapsed and every live agent has reported. From then on nothing is opened
/// without it, as long as its rounds go on: whoever opens must hear from it, or fail to for the
/// whole grace time, which can't be while it is live. So a settled and fresh entry may go on
/// granting even if a peer dies, and an entry that was frozen or has just started may not.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    me: VmId,
    timing: Timing,
    peers: BTreeMap<VmId, Peer>,
    streak: Option<Streak>,
    heard_settled: bool,
    settled: bool,
}

impl Peers {
    pub(crate) fn new(me: VmId, timing: Timing) -> Self {
        Self {
            me,
            timing,
            peers: BTreeMap::new(),
            streak: None,
            heard_settled: false,
            settled: false,
        }
    }

    /// Sets the entries that the list of VMs shows.
    ///
    /// One that is no longer listed may still be live and granting, since the list can be wrong:
    /// it stays known until it is gone by its own silence.
    pub(crate) fn set_listed(&mut self, listed: &BTreeMap<VmId, SocketAddr>) {
        for (vm, peer) in &mut self.peers {
            peer.listed = listed.contains_key(vm);
        }
        for (vm, control) in listed {
            if *vm == self.me {
                continue;
            }
            let peer = self.get_or_add(vm, *control);
            peer.listed = true;
            peer.control = *control;
        }
    }

    /// Notes the start of a sync round. Returns whether a new streak begins, in which case nothing
    /// that was granted before may be granted on.
    pub(crate) fn on_round(&mut self, now: Instant) -> bool {
        let goes_on = self.streak.filter(|streak| {
            now.saturating_duration_since(streak.last_round) <= self.timing.grant_window()
        });
        let began = goes_on.map_or(now, |streak| streak.began);
        self.streak = Some(Streak {
            began,
            last_round: now,
        });
        if goes_on.is_some() {
            return false;
        }
        self.settled = false;
        self.heard_settled = false;
        for peer in self.peers.values_mut() {
            peer.answered = false;
            peer.failing_since = None;
        }
        true
    }

    /// Takes in the answer to an attempt that was started at `started`. Returns whether it is news.
    pub(crate) fn on_answer(&mut self, now: Instant, started: Instant, state: &PeerState) -> bool {
        if !self.merge(now, state) {
            return false;
        }
        let in_streak = self.streak.is_some_and(|streak| started >= streak.began);
        // An answer that lay unread while this process was frozen says nothing of now.
        let recent = now.saturating_duration_since(started) <= self.timing.grant_window();
        if in_streak && recent {
            self.heard_settled |= state.settled;
            if let Some(peer) = self.peers.get_mut(&state.vm) {
                peer.answered = true;
            }
        }
        true
    }

    /// Takes in what a peer said of its own accord. Returns whether it is news.
    ///
    /// It may have been under way for long, so it is no answer to a round; but what a peer says of
    /// closing never falls within one start of it.
    pub(crate) fn on_call(&mut self, now: Instant, state: &PeerState) -> bool {
        self.merge(now, state)
    }

    /// Notes that the attempt started at `started` to reach a peer failed.
    ///
    /// An attempt from before the last message from the peer, or from before this streak, proves
    /// nothing: the grace time must not begin earlier than the silence.
    pub(crate) fn on_failure(&mut self, vm: &str, started: Instant) {
        let in_streak = self.streak.is_some_and(|streak| started >= streak.began);
        let Some(peer) = self.peers.get_mut(vm).filter(|_| in_streak) else {
            return;
        };
        if peer.heard.is_none_or(|heard| heard < started) {
            peer.failing_since.get_or_insert(started);
        }
    }

    /// Settles this entry if it now knows enough, and forgets peers that are gone for good.
    pub(crate) fn settle(&mut self, now: Instant) {
        let timing = self.timing;
        self.peers
            .retain(|_, peer| peer.listed || !peer.is_forgotten(now, timing));
        let Some(streak) = self.streak else {
            return;
        };
        let heard_all = self
            .peers
            .values()
            .all(|peer| peer.answered || peer.is_gone(now, timing));
        let waited = now >= streak.began + timing.grace_time();
        self.settled |= heard_all && (self.heard_settled || waited);
    }

    /// Says whether this entry is settled and has started a round lately, so that it may grant.
    pub(crate) fn may_grant(&self, now: Instant) -> bool {
        let recent = self.streak.is_some_and(|streak| {
            now.saturating_duration_since(streak.last_round) < self.timing.grant_window()
        });
        self.settled && recent
    }

    /// Says whether every peer has closed below `epoch` for good, or is gone.
    pub(crate) fn all_closed(&self, now: Instant, service: &str, epoch: Epoch) -> bool {
        self.peers.values().all(|peer| {
            peer.is_gone(now, self.timing) || peer.service(service).all_closed_below >= epoch
        })
    }

    /// Says whether every peer is in touch or gone, so that a switch begun now needn't wait for
    /// one that has just died.
    pub(crate) fn is_responsive(&self, now: Instant, service: &str, epoch: Epoch) -> bool {
        let in_touch = |peer: &Peer| peer.failing_since.is_none();
        self.peers.values().all(|peer| {
            peer.is_gone(now, self.timing)
                || (in_touch(peer) && peer.service(service).all_closed_below >= epoch)
        })
    }

    /// Returns the peers that are not gone, with the addresses of their control listeners.
    pub(crate) fn present(&self, now: Instant) -> BTreeMap<VmId, SocketAddr> {
        self.peers
            .iter()
            .filter(|(_, peer)| !peer.is_gone(now, self.timing))
            .map(|(vm, peer)| (vm.clone(), peer.control))
            .collect()
    }

    /// Returns all known peers with the addresses of their control listeners.
    pub(crate) fn addresses(&self) -> impl Iterator<Item = (&VmId, SocketAddr)> {
        self.peers.iter().map(|(vm, peer)| (vm, peer.control))
    }

    /// Returns what the peers last said.
    pub(crate) fn states(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter_map(|peer| peer.state.as_ref())
    }

    /// Says whether `vm` is gone: known and long out of reach.
    pub(crate) fn is_gone(&self, now: Instant, vm: &str) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.is_gone(now, self.timing))
    }

    fn merge(&mut self, now: Instant, state: &PeerState) -> bool {
        if state.vm == self.me {
            return false;
        }
        // Two entries that don't know each other learn of each other from a third.
        for (vm, control) in &state.entries {
            if *vm != self.me {
                self.get_or_add(vm, *control);
            }
        }
        let Some(peer) = self.peers.get_mut(&state.vm) else {
            return false;
        };
        let late = peer
            .state
            .as_ref()
            .is_some_and(|known| known.incarnation > state.incarnation);
        if late {
            return false;
        }
        peer.heard = Some(now);
        peer.failing_since = None;
        if let Some(control) = state.entries.get(&state.vm) {
            peer.control = *control;
        }
        peer.state = Some(newest(peer.state.take(), state));
        true
    }

    fn get_or_add(&mut self, vm: &VmId, control: SocketAddr) -> &mut Peer {
        self.peers
            .entry(vm.clone())
            .or_insert_with(|| Peer::new(control))
    }
}

/// Merges `state` over `known` so that, within one start, nothing that only grows falls because
/// two messages overtook each other.
fn newest(known: Option<PeerState>, state: &PeerState) -> PeerState {
    let mut merged = state.clone();
    let known = known.filter(|known| known.incarnation == state.incarnation);
    for (service, before) in known.iter().flat_map(|known| &known.services) {
        let now = merged.services.entry(service.clone()).or_default();
        now.close_below = now.close_below.max(before.close_below);
        now.all_closed_below = now.all_closed_below.max(before.all_closed_below);
    }
    merged
}
