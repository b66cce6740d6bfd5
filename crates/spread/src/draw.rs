//! Draws from the origin: who, when and in whose place.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use wagtailreel_core::{ChunkIndex, SpreadPolicy, Weigh};

use crate::planner::Planner;
use crate::ranking::NEVER_DRAWS;
use crate::{Action, Reason, Source};

/// Draws of one VM at once, while VMs are few enough that one each would not fill the link.
const MAX_DRAWS_FEW_VMS: usize = 2;

/// Up to this many other VMs, one draw each would not fill the origin's link.
const FEW_VMS: usize = 3;

/// Most windows of chunks that nobody is seen to have and that are drawn at once: one is under way, and another
/// takes as long until its chunks are seen everywhere.
const MAX_WINDOWS: u32 = 2;

/// Windows that open with time for each one more of unseen chunks, at a VM that has not drawn since the origin
/// failed: an origin that is away for four copies' time opens one.
const TIMED_WINDOWS_PER_EXTRA_WINDOW: u32 = 16;

/// Fetches from peers in a row until a chunk is seen among the neighbours.
const HOPS_TO_NEIGHBOURS: u32 = 8;

impl Planner {
    /// Starts draws that are due.
    pub(crate) fn draw(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.update_frontier(now);
        self.update_own_draws(now);
        let max_draws = if self.peers.iter().count() <= FEW_VMS {
            MAX_DRAWS_FEW_VMS
        } else {
            1
        };
        while self.draws() < max_draws && self.origin_backoff.is_over(now) {
            let Some((chunk, reason)) = self.next_draw(now) else {
                return;
            };
            let action = self.start_fetch(chunk, Source::Origin, reason, now);
            out.push(action);
        }
    }

    /// Returns how many draws are under way.
    fn draws(&self) -> usize {
        self.active
            .values()
            .filter(|active| active.from == Source::Origin)
            .count()
    }

    /// Chooses the next draw, if one is due.
    fn next_draw(&self, now: Instant) -> Option<(ChunkIndex, Reason)> {
        if !self.neighbours_known(now) {
            return None;
        }
        if let Some(chunk) = self.own_draw(now) {
            return Some((chunk, Reason::Draw));
        }
        let second = self
            .second_copy(now)
            .map(|chunk| (chunk, Reason::SecondCopy));
        second.or_else(|| self.takeover(now).map(|chunk| (chunk, Reason::Takeover)))
    }

    /// Says whether the neighbours had their chance to say what they have.
    ///
    /// A VM that starts among others that have the bundle must not draw it again.
    fn neighbours_known(&self, now: Instant) -> bool {
        let is_late = now.saturating_duration_since(self.started_at) >= self.tuning.learn_timeout;
        is_late || self.settings.policy != SpreadPolicy::Balanced || self.peers.all_answered()
    }

    /// Returns the first chunk that the VM is first for and that no neighbour has.
    fn own_draw(&self, now: Instant) -> Option<ChunkIndex> {
        let frontier = self.frontier(now);
        self.without_reliable_fetch()
            .take_while(|chunk| *chunk < frontier)
            .filter(|chunk| self.ranking.position(*chunk) == 0)
            .find(|chunk| self.peers.holders(*chunk) == 0)
    }

    /// Returns up to where chunks are drawn now: a window after the last chunk that was seen.
    ///
    /// The origin shares its link evenly. Were all VMs to draw at once, then all draws would end
    /// late and together, and until then nobody would have anything to give. A window that never
    /// moves, because its VMs are gone, opens with time.
    ///
    /// While the origin is away the windows of all VMs open, and after its return chunks come out of order, so
    /// that the last one seen says little. Bounded by it alone, 97 VMs drew 36 chunks at once of a link that
    /// carries eight in the time of a window, and then drew in each other's place: 1.36 copies in 1.64 times
    /// the time of one.
    fn frontier(&self, now: Instant) -> ChunkIndex {
        let count = self.have.capacity();
        if self.settings.policy != SpreadPolicy::Balanced {
            return count;
        }
        let from = self.highest_available.map_or(0, |chunk| chunk + 1);
        let windows = 1 + self.takeover_delays_since(self.frontier_moved_at, now);
        let by_last = from.saturating_add(self.tuning.window.saturating_mul(windows));
        let more = if self.drew_since_failure() {
            self.takeover_delays_since(self.last_arrival_at, now)
        } else {
            windows / TIMED_WINDOWS_PER_EXTRA_WINDOW
        };
        by_last.min(self.unavailable_frontier(more))
    }

    /// Says whether the origin has given a chunk since it last failed.
    ///
    /// A VM that it gave none can't tell an origin that is away from others that draw nothing.
    fn drew_since_failure(&self) -> bool {
        self.last_draw_at
            .is_some_and(|at| at > self.origin_failed_at)
    }

    /// Returns how many waits for another VM's draw have passed since `moment` without a failure of the origin.
    fn takeover_delays_since(&self, moment: Instant, now: Instant) -> u32 {
        let since = moment.max(self.origin_failed_at);
        let quiet = now.saturating_duration_since(since);
        let delays = quiet.as_secs_f64() / self.takeover_delay().as_secs_f64();
        // The value is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let delays = delays as u32;
        delays
    }

    /// Returns up to where [`MAX_WINDOWS`] and `more` hold the chunks that are missing and at no neighbour.
    ///
    /// A VM that is there and draws nothing, for want of memory, leaves its chunks unseen for good: without more
    /// windows the others would never get as far as to draw them in its place.
    fn unavailable_frontier(&self, more: u32) -> ChunkIndex {
        let windows = MAX_WINDOWS.saturating_add(more);
        let max_chunks = self.tuning.window.saturating_mul(windows) as usize;
        let unavailable = self.have.missing();
        let mut unavailable = unavailable.filter(|chunk| self.peers.holders(*chunk) == 0);
        unavailable.nth(max_chunks).unwrap_or(self.have.capacity())
    }

    /// Returns the rarest chunk that the VM is second for and that its data centre lacks, if time
    /// is weighed. First copies go before second ones: at every VM, all first draws must have been
    /// let go.
    fn second_copy(&self, now: Instant) -> Option<ChunkIndex> {
        let is_apt = self.settings.policy == SpreadPolicy::Balanced
            && self.settings.weigh == Weigh::Time
            && self.own_draws_done_at.is_some()
            && self.frontier(now) >= self.have.capacity();
        if !is_apt {
            return None;
        }
        self.unfetched()
            .filter(|chunk| self.ranking.position(*chunk) == 1)
            .filter(|chunk| !self.is_at_home(*chunk))
            .min_by_key(|chunk| (self.peers.holders(*chunk), self.order[*chunk as usize]))
    }

    /// Says whether a neighbour in the own data centre has `chunk`.
    fn is_at_home(&self, chunk: ChunkIndex) -> bool {
        self.peers
            .neighbours()
            .any(|(_, peer)| peer.has(chunk) && peer.site.data_centre == self.own.data_centre)
    }

    /// Returns a chunk that the VM draws in the place of those that rank before it.
    fn takeover(&self, now: Instant) -> Option<ChunkIndex> {
        let free_at = self.draws_blocked_at.or(self.own_draws_done_at)?;
        let frontier = self.frontier(now);
        let unavailable = self
            .without_reliable_fetch()
            .take_while(|chunk| *chunk < frontier)
            .filter(|chunk| self.peers.holders(*chunk) == 0)
            .filter(|chunk| self.ranking.position(*chunk) != NEVER_DRAWS)
            .find(|chunk| {
                // Until a chunk was let go, nobody was late with it.
                let released = self.released_at[*chunk as usize].unwrap_or(now);
                let unavailable_since = self
                    .peers
                    .unavailable_since(*chunk)
                    .max(self.origin_failed_at);
                let since = unavailable_since.max(free_at).max(released);
                now.saturating_duration_since(since) >= self.takeover_delay_of(*chunk)
            });
        unavailable.or_else(|| self.fallback_draw(now))
    }

    /// Returns a chunk to draw although neighbours have it, because nothing has arrived for
    /// long. Without this a VM whose neighbours all fail would wait for ever.
    fn fallback_draw(&self, now: Instant) -> Option<ChunkIndex> {
        let since = self.last_arrival_at.max(self.origin_failed_at);
        let quiet = now.saturating_duration_since(since);
        self.without_reliable_fetch()
            .filter(|chunk| self.ranking.position(*chunk) != NEVER_DRAWS)
            .filter(|chunk| quiet >= self.takeover_delay() + self.takeover_delay_of(*chunk))
            .min_by_key(|chunk| (self.ranking.position(*chunk), self.order[*chunk as usize]))
    }

    /// Goes through the chunks that are missing and whose fetches can't be counted on.
    ///
    /// A peer that gives nothing may hold a fetch for long; that must not keep a chunk from being
    /// drawn.
    fn without_reliable_fetch(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        let reliable: BTreeSet<ChunkIndex> = self
            .active
            .values()
            .filter(|active| match &active.from {
                Source::Origin => true,
                Source::Peer(vm) => !self.peers.is_failing(vm),
            })
            .map(|active| active.chunk)
            .collect();
        self.have
            .missing()
            .filter(move |chunk| !reliable.contains(chunk))
    }

    /// Goes through the chunks that are missing and not on their way.
    pub(crate) fn unfetched(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.have
            .missing()
            .filter(|chunk| self.in_flight[*chunk as usize] == 0)
    }

    /// Notes when the last chunk that was seen moved on.
    fn update_frontier(&mut self, now: Instant) {
        let highest = (0..self.have.capacity())
            .rev()
            .find(|chunk| self.have.contains(*chunk) || self.peers.holders(*chunk) > 0);
        if highest > self.highest_available {
            self.highest_available = highest;
            self.frontier_moved_at = now;
        }
        let frontier = self.frontier(now) as usize;
        for released in self.released_at.iter_mut().take(frontier) {
            released.get_or_insert(now);
        }
    }

    /// Notes when the VM has drawn all that it is first for, or can't go on with it.
    ///
    /// VMs that are there and draw nothing leave chunks unseen until these fill the windows. The others have chunks
    /// left to draw then, but none that was let go: only draws in the place of those VMs move the windows on.
    fn update_own_draws(&mut self, now: Instant) {
        if self.own_draws_done_at.is_some() || !self.neighbours_known(now) {
            return;
        }
        let left = self
            .have
            .missing()
            .any(|chunk| self.ranking.position(chunk) == 0 && self.peers.holders(chunk) == 0);
        if !left {
            self.own_draws_done_at = Some(now);
            return;
        }
        let is_quiet =
            self.draws() == 0 && self.takeover_delays_since(self.last_arrival_at, now) > 0;
        if is_quiet && self.drew_since_failure() {
            self.draws_blocked_at.get_or_insert(now);
        }
    }

    /// Returns how long a VM waits for the one before it in a ranking.
    ///
    /// It grows with what the own draws took: an origin that is slow for this VM is slow for the
    /// others. A chunk drawn by a VM that is no neighbour takes some hops to be seen. Neither is a
    /// reason to draw in the others' place. Nor is time in which the origin fails: whoever waits
    /// starts anew when it does.
    fn takeover_delay(&self) -> Duration {
        let span = self.own_draws_done_at.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(self.started_at)
        });
        let draw = self.origin_fetch_time.average().unwrap_or_default() * 2;
        let hops = self.peer_fetch_time.average().unwrap_or_default() * HOPS_TO_NEIGHBOURS;
        self.tuning.takeover_delay.max(draw).max(span / 2).max(hops)
    }

    /// Returns how long the own VM waits for those that rank before it for `chunk`.
    fn takeover_delay_of(&self, chunk: ChunkIndex) -> Duration {
        let ranks = self
            .ranking
            .position(chunk)
            .min(self.tuning.max_takeover_delays);
        // The jitter is fixed per chunk and VM, so that a wait is not drawn anew at every look.
        let jitter = f64::from(self.order[chunk as usize]) / f64::from(self.have.capacity());
        let deep_factor = if self.ranking.position(chunk) >= self.tuning.max_takeover_delays {
            f64::from(self.tuning.max_takeover_delays)
        } else {
            0.5
        };
        self.takeover_delay()
            .mul_f64(f64::from(ranks) + jitter * deep_factor)
    }
}
