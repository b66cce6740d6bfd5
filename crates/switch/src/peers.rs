//! The other entries of the data centre, and whether this entry knows enough to grant leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use wagtailreel_core::{Epoch, PeerState, ServicePeerState, VmId};

use crate::Timing;

/// Number of grace times after which an entry that is unreachable and no longer listed is evicted.
/// If the entry were evicted as soon as it is gone, peers that notice later would announce it again.
const EVICT_AFTER_GRACE_TIMES: u32 = 8;

/// A run of sync rounds without a gap of more than [`Timing::grant_window`]. A process that was
/// suspended for longer starts a new streak.
#[derive(Clone, Copy, Debug)]
struct Streak {
    start: Instant,
    last_round: Instant,
}

/// One other entry.
#[derive(Clone, Debug)]
struct Peer {
    control: SocketAddr,
    /// Whether the list of VMs contains the entry.
    listed: bool,
    /// The newest state, received in an answer or in a call of the entry.
    state: Option<PeerState>,
    /// Whether the entry has answered a round of this streak.
    answered: bool,
    /// Time of receipt of the last answer or call of the entry.
    received_at: Option<Instant>,
    /// Start of the first call that has failed since the last message from the entry.
    failing_since: Option<Instant>,
}

impl Peer {
    fn new(control: SocketAddr) -> Self {
        Self {
            control,
            listed: false,
            state: None,
            answered: false,
            received_at: None,
            failing_since: None,
        }
    }

    /// Returns whether the entry has been unreachable for so long that its leases have lapsed.
    fn is_gone(&self, now: Instant, timing: Timing) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + timing.grace_time())
    }

    /// Returns whether the entry has been unreachable for so long that every other entry counts it
    /// as gone too.
    fn is_evictable(&self, now: Instant, timing: Timing) -> bool {
        self.failing_since
            .is_some_and(|since| now >= since + timing.grace_time() * EVICT_AFTER_GRACE_TIMES)
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
/// An entry is *settled* in a streak once it knows all epochs that may have been opened before. This
/// is the case when each entry that it knows has answered in this streak or is gone, and one of these
/// holds:
///
/// - An entry that answered was settled itself.
/// - The streak is older than the grace time, so that all leases from before the streak have lapsed
///   and every live agent has reported.
///
/// While the rounds of a settled entry go on, no other entry opens an epoch without it: the other
/// entry must either receive its state, or fail to reach it for the whole grace time, which can't
/// happen while the settled entry is live. So a settled entry with a recent round may go on granting
/// even if a peer dies. An entry that was suspended or has just started may not grant.
#[derive(Clone, Debug)]
pub(crate) struct Peers {
    own_vm: VmId,
    timing: Timing,
    peers: BTreeMap<VmId, Peer>,
    streak: Option<Streak>,
    settled_peer_answered: bool,
    settled: bool,
}

impl Peers {
    pub(crate) fn new(own_vm: VmId, timing: Timing) -> Self {
        Self {
            own_vm,
            timing,
            peers: BTreeMap::new(),
            streak: None,
            settled_peer_answered: false,
            settled: false,
        }
    }

    /// Sets the entries that the list of VMs contains.
    ///
    /// An entry that is no longer listed may still be live and granting, since the list can be wrong.
    /// So the entry stays known until it has been silent for long enough.
    pub(crate) fn set_listed(&mut self, listed: &BTreeMap<VmId, SocketAddr>) {
        for (vm, peer) in &mut self.peers {
            peer.listed = listed.contains_key(vm);
        }
        for (vm, control) in listed {
            if *vm == self.own_vm {
                continue;
            }
            let peer = self.get_or_add(vm, *control);
            peer.listed = true;
            peer.control = *control;
        }
    }

    /// Records the start of a sync round. Returns whether a new streak begins. In that case the
    /// conditions for granting have to be met again, also for epochs that were granted before.
    pub(crate) fn on_round(&mut self, now: Instant) -> bool {
        let continued = self.streak.filter(|streak| {
            now.saturating_duration_since(streak.last_round) <= self.timing.grant_window()
        });
        let start = continued.map_or(now, |streak| streak.start);
        self.streak = Some(Streak {
            start,
            last_round: now,
        });
        if continued.is_some() {
            return false;
        }
        self.settled = false;
        self.settled_peer_answered = false;
        for peer in self.peers.values_mut() {
            peer.answered = false;
            peer.failing_since = None;
        }
        true
    }

    /// Applies the answer to a call that was started at `started`. Returns whether the state was
    /// accepted.
    pub(crate) fn on_answer(&mut self, now: Instant, started: Instant, state: &PeerState) -> bool {
        if !self.merge(now, state) {
            return false;
        }
        let in_streak = self.streak.is_some_and(|streak| started >= streak.start);
        // An answer that was read late, because this process was suspended, does not show the
        // present state of the peer.
        let recent = now.saturating_duration_since(started) <= self.timing.grant_window();
        if in_streak && recent {
            self.settled_peer_answered |= state.settled;
            if let Some(peer) = self.peers.get_mut(&state.vm) {
                peer.answered = true;
            }
        }
        true
    }

    /// Applies the state that a peer sent in a call of its own. Returns whether the state was
    /// accepted.
    ///
    /// The call may have been delayed for long, so it doesn't count as an answer to a round. Its
    /// state is still valid, since the epochs below which a peer has closed never fall within one
    /// start of the peer.
    pub(crate) fn on_call(&mut self, now: Instant, state: &PeerState) -> bool {
        self.merge(now, state)
    }

    /// Records that the call to a peer that was started at `started` failed.
    ///
    /// A call from before the last message from the peer, or from before this streak, is ignored,
    /// because the grace time must not begin before the peer's silence.
    pub(crate) fn on_failure(&mut self, vm: &str, started: Instant) {
        let in_streak = self.streak.is_some_and(|streak| started >= streak.start);
        let Some(peer) = self.peers.get_mut(vm).filter(|_| in_streak) else {
            return;
        };
        if peer
            .received_at
            .is_none_or(|received_at| received_at < started)
        {
            peer.failing_since.get_or_insert(started);
        }
    }

    /// Marks this entry as settled if it now knows enough, and evicts unlisted peers that have been
    /// unreachable for long.
    pub(crate) fn settle(&mut self, now: Instant) {
        let timing = self.timing;
        self.peers
            .retain(|_, peer| peer.listed || !peer.is_evictable(now, timing));
        let Some(streak) = self.streak else {
            return;
        };
        let all_known = self
            .peers
            .values()
            .all(|peer| peer.answered || peer.is_gone(now, timing));
        let waited = now >= streak.start + timing.grace_time();
        self.settled |= all_known && (self.settled_peer_answered || waited);
    }

    /// Returns whether this entry is settled and has started a round recently, so that it may grant.
    pub(crate) fn may_grant(&self, now: Instant) -> bool {
        let recent = self.streak.is_some_and(|streak| {
            now.saturating_duration_since(streak.last_round) < self.timing.grant_window()
        });
        self.settled && recent
    }

    /// Returns whether every peer reports that all its agents have closed below `epoch`, or is gone.
    pub(crate) fn all_closed(&self, now: Instant, service: &str, epoch: Epoch) -> bool {
        self.peers.values().all(|peer| {
            peer.is_gone(now, self.timing) || peer.service(service).all_closed_below >= epoch
        })
    }

    /// Returns whether every peer is gone, or is reachable and has closed below `epoch`, so that a
    /// switch begun now does not wait for a peer that has just died.
    pub(crate) fn is_responsive(&self, now: Instant, service: &str, epoch: Epoch) -> bool {
        let responding = |peer: &Peer| peer.failing_since.is_none();
        self.peers.values().all(|peer| {
            peer.is_gone(now, self.timing)
                || (responding(peer) && peer.service(service).all_closed_below >= epoch)
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

    /// Returns the last known states of the peers.
    pub(crate) fn states(&self) -> impl Iterator<Item = &PeerState> {
        self.peers.values().filter_map(|peer| peer.state.as_ref())
    }

    /// Returns whether `vm` is a known entry that is gone.
    pub(crate) fn is_gone(&self, now: Instant, vm: &str) -> bool {
        self.peers
            .get(vm)
            .is_some_and(|peer| peer.is_gone(now, self.timing))
    }

    fn merge(&mut self, now: Instant, state: &PeerState) -> bool {
        if state.vm == self.own_vm {
            return false;
        }
        // Two entries that don't know each other learn of each other from a third entry.
        for (vm, control) in &state.entries {
            if *vm != self.own_vm {
                self.get_or_add(vm, *control);
            }
        }
        let Some(peer) = self.peers.get_mut(&state.vm) else {
            return false;
        };
        let outdated = peer
            .state
            .as_ref()
            .is_some_and(|known| known.incarnation > state.incarnation);
        if outdated {
            return false;
        }
        peer.received_at = Some(now);
        peer.failing_since = None;
        if let Some(control) = state.entries.get(&state.vm) {
            peer.control = *control;
        }
        peer.state = Some(merge_states(peer.state.take(), state));
        true
    }

    fn get_or_add(&mut self, vm: &VmId, control: SocketAddr) -> &mut Peer {
        self.peers
            .entry(vm.clone())
            .or_insert_with(|| Peer::new(control))
    }
}

/// Merges `state` over `known`. Within one start of a peer, `close_below` and `all_closed_below`
/// never fall, even if messages arrive out of order.
fn merge_states(known: Option<PeerState>, state: &PeerState) -> PeerState {
    let mut merged = state.clone();
    let known = known.filter(|known| known.incarnation == state.incarnation);
    for (service, before) in known.iter().flat_map(|known| &known.services) {
        let now = merged.services.entry(service.clone()).or_default();
        now.close_below = now.close_below.max(before.close_below);
        now.all_closed_below = now.all_closed_below.max(before.all_closed_below);
    }
    merged
}
