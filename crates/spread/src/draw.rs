//! Draws (fetches from the origin): which VM draws a chunk, when, and when another VM takes over.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use wagtailreel_core::{ChunkIndex, SpreadGoal, SpreadPolicy};

use crate::planner::Planner;
use crate::ranking::NEVER_DRAWS;
use crate::{Action, Reason, Source};

/// Maximum draws in flight per VM in a fleet of few VMs, where one each would not fill the origin's link.
const MAX_DRAWS_FEW_VMS: usize = 2;

/// Maximum number of other VMs with which one draw each does not fill the origin's link.
const FEW_VMS: usize = 3;

/// Maximum windows of chunks that may be drawn while no neighbour is known to have them: one is being drawn,
/// and the chunks of another take as long again until all VMs know that they are available.
const MAX_WINDOWS: u32 = 2;

/// At a VM that has drawn nothing since the origin failed: number of windows opened by the passing of time
/// per window added to [`MAX_WINDOWS`]. An origin that is unreachable for the time of four copies adds one
/// window.
const TIMED_WINDOWS_PER_EXTRA_WINDOW: u32 = 16;

/// Successive fetches between peers that bring a chunk from any VM to a neighbour.
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

    /// Returns the number of draws in flight.
    fn draws(&self) -> usize {
        self.active
            .values()
            .filter(|active| active.from == Source::Origin)
            .count()
    }

    /// Returns the next chunk to draw and the reason, or `None` if no draw is due.
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

    /// Returns whether the neighbours have reported their chunks, or the time for that is over.
    ///
    /// Without this wait, a VM that starts among VMs that have the bundle would draw it again.
    fn neighbours_known(&self, now: Instant) -> bool {
        let is_late = now.saturating_duration_since(self.started_at) >= self.tuning.learn_timeout;
        is_late || self.settings.policy != SpreadPolicy::Balanced || self.peers.all_answered()
    }

    /// Returns the first chunk within the frontier that this VM ranks first for and that no neighbour has.
    fn own_draw(&self, now: Instant) -> Option<ChunkIndex> {
        let frontier = self.frontier(now);
        self.without_reliable_fetch()
            .take_while(|chunk| *chunk < frontier)
            .filter(|chunk| self.ranking.position(*chunk) == 0)
            .find(|chunk| self.peers.holders(*chunk) == 0)
    }

    /// Returns the exclusive upper limit of the chunks that may be drawn now: one window past the highest
    /// available chunk.
    ///
    /// The origin shares its link evenly. If all VMs drew at once, all draws would end late and together, and
    /// no VM would have a chunk to pass on until then. One more window opens per takeover delay without
    /// progress, so that a window whose VMs are gone does not block the others.
    ///
    /// While the origin is unreachable, the windows of all VMs open. Chunks then arrive out of order, and the
    /// highest available chunk says little about the others, so the number of unavailable chunks is limited
    /// too. Without that limit, 97 VMs drew 36 chunks at once over a link that carries eight in the time of a
    /// window, and then took over each other's draws: 1.36 copies in 1.64 times the time of one.
    fn frontier(&self, now: Instant) -> ChunkIndex {
        let count = self.have.capacity();
        if self.settings.policy != SpreadPolicy::Balanced {
            return count;
        }
        let from = self.highest_available.map_or(0, |chunk| chunk + 1);
        let windows = 1 + self.takeover_delays_since(self.frontier_moved_at, now);
        let by_highest = from.saturating_add(self.tuning.window.saturating_mul(windows));
        let extra_windows = if self.drew_since_failure() {
            self.takeover_delays_since(self.last_arrival_at, now)
        } else {
            windows / TIMED_WINDOWS_PER_EXTRA_WINDOW
        };
        by_highest.min(self.unavailable_frontier(extra_windows))
    }

    /// Returns whether the VM has drawn a chunk since the origin last failed.
    ///
    /// A VM that has drawn none can't tell an unreachable origin from other VMs that do not draw.
    fn drew_since_failure(&self) -> bool {
        self.last_draw_at
            .is_some_and(|at| at > self.origin_failed_at)
    }

    /// Returns the number of takeover delays that have passed since the later of `moment` and the origin's
    /// last failure.
    fn takeover_delays_since(&self, moment: Instant, now: Instant) -> u32 {
        let since = moment.max(self.origin_failed_at);
        let elapsed = now.saturating_duration_since(since);
        let delays = elapsed.as_secs_f64() / self.takeover_delay().as_secs_f64();
        // The value is small and not negative.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let delays = delays as u32;
        delays
    }

    /// Returns the exclusive upper limit that leaves at most [`MAX_WINDOWS`] plus `extra_windows` windows of
    /// chunks that this VM and its neighbours lack.
    ///
    /// A VM that is alive but draws nothing, for lack of memory, never makes its chunks available. Without
    /// more windows, the other VMs would never reach these chunks to take them over.
    fn unavailable_frontier(&self, extra_windows: u32) -> ChunkIndex {
        let windows = MAX_WINDOWS.saturating_add(extra_windows);
        let max_chunks = self.tuning.window.saturating_mul(windows) as usize;
        let unavailable = self.have.missing();
        let mut unavailable = unavailable.filter(|chunk| self.peers.holders(*chunk) == 0);
        unavailable.nth(max_chunks).unwrap_or(self.have.capacity())
    }

    /// Returns the rarest chunk that this VM ranks second for and that its data centre lacks, if time is
    /// weighed.
    ///
    /// First copies come before second ones, so the VM's own draws must be done and every chunk released.
    fn second_copy(&self, now: Instant) -> Option<ChunkIndex> {
        let is_due = self.settings.policy == SpreadPolicy::Balanced
            && self.settings.weigh == SpreadGoal::Time
            && self.own_draws_done_at.is_some()
            && self.frontier(now) >= self.have.capacity();
        if !is_due {
            return None;
        }
        self.unfetched()
            .filter(|chunk| self.ranking.position(*chunk) == 1)
            .filter(|chunk| !self.is_available_locally(*chunk))
            .min_by_key(|chunk| (self.peers.holders(*chunk), self.order[*chunk as usize]))
    }

    /// Returns whether a neighbour in the own data centre has `chunk`.
    fn is_available_locally(&self, chunk: ChunkIndex) -> bool {
        self.peers
            .neighbours()
            .any(|(_, peer)| peer.has(chunk) && peer.site.data_centre == self.own.data_centre)
    }

    /// Returns a chunk to draw in the place of the VMs that rank before this one, which are late with it.
    fn takeover(&self, now: Instant) -> Option<ChunkIndex> {
        let own_draws_ended_at = self.draws_blocked_at.or(self.own_draws_done_at)?;
        let frontier = self.frontier(now);
        let unavailable = self
            .without_reliable_fetch()
            .take_while(|chunk| *chunk < frontier)
            .filter(|chunk| self.peers.holders(*chunk) == 0)
            .filter(|chunk| self.ranking.position(*chunk) != NEVER_DRAWS)
            .find(|chunk| {
                // Before a chunk is released, its draw is not late.
                let released = self.released_at[*chunk as usize].unwrap_or(now);
                let unavailable_since = self
                    .peers
                    .unavailable_since(*chunk)
                    .max(self.origin_failed_at);
                let since = unavailable_since.max(own_draws_ended_at).max(released);
                now.saturating_duration_since(since) >= self.takeover_delay_of(*chunk)
            });
        unavailable.or_else(|| self.fallback_draw(now))
    }

    /// Returns a chunk to draw although neighbours have it, if no chunk has arrived for long.
    ///
    /// Without this, a VM whose neighbours all fail would wait for ever.
    fn fallback_draw(&self, now: Instant) -> Option<ChunkIndex> {
        let since = self.last_arrival_at.max(self.origin_failed_at);
        let elapsed = now.saturating_duration_since(since);
        self.without_reliable_fetch()
            .filter(|chunk| self.ranking.position(*chunk) != NEVER_DRAWS)
            .filter(|chunk| elapsed >= self.takeover_delay() + self.takeover_delay_of(*chunk))
            .min_by_key(|chunk| (self.ranking.position(*chunk), self.order[*chunk as usize]))
    }

    /// Returns the missing chunks that are not being fetched from the origin or from a peer that is not
    /// failing.
    ///
    /// A peer that sends nothing can hold a fetch for long, and must not keep the chunk from being drawn.
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

    /// Returns the missing chunks without a fetch in flight.
    pub(crate) fn unfetched(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.have
            .missing()
            .filter(|chunk| self.in_flight[*chunk as usize] == 0)
    }

    /// Updates the highest available chunk, and releases the chunks within the frontier.
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

    /// Records when the VM has finished its own draws, or when the window blocks them.
    ///
    /// Chunks of VMs that are alive but draw nothing stay unavailable until they fill the windows. Other VMs
    /// then have chunks left to draw, but none of them is released: only taking over those draws moves the
    /// windows.
    fn update_own_draws(&mut self, now: Instant) {
        if self.own_draws_done_at.is_some() || !self.neighbours_known(now) {
            return;
        }
        let has_own_draws = self
            .have
            .missing()
            .any(|chunk| self.ranking.position(chunk) == 0 && self.peers.holders(chunk) == 0);
        if !has_own_draws {
            self.own_draws_done_at = Some(now);
            return;
        }
        let is_quiet =
            self.draws() == 0 && self.takeover_delays_since(self.last_arrival_at, now) > 0;
        if is_quiet && self.drew_since_failure() {
            self.draws_blocked_at.get_or_insert(now);
        }
    }

    /// Returns how long a VM waits for the VM before it in a ranking.
    ///
    /// The delay grows with the duration of this VM's own draws, because an origin that is slow for this VM
    /// is slow for the others too. The delay also covers the hops that a chunk takes from a VM that is not a
    /// neighbour. Time in which the origin fails does not count: the wait starts again at each failure.
    fn takeover_delay(&self) -> Duration {
        let span = self.own_draws_done_at.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(self.started_at)
        });
        let draw = self.origin_fetch_time.average().unwrap_or_default() * 2;
        let hops = self.peer_fetch_time.average().unwrap_or_default() * HOPS_TO_NEIGHBOURS;
        self.tuning.takeover_delay.max(draw).max(span / 2).max(hops)
    }

    /// Returns how long this VM waits for the VMs that rank before it for `chunk`.
    fn takeover_delay_of(&self, chunk: ChunkIndex) -> Duration {
        let ranks = self
            .ranking
            .position(chunk)
            .min(self.tuning.max_takeover_delays);
        // The jitter is fixed per chunk and VM, so that repeated checks see the same delay.
        let jitter = f64::from(self.order[chunk as usize]) / f64::from(self.have.capacity());
        let jitter_range = if self.ranking.position(chunk) >= self.tuning.max_takeover_delays {
            f64::from(self.tuning.max_takeover_delays)
        } else {
            0.5
        };
        self.takeover_delay()
            .mul_f64(f64::from(ranks) + jitter * jitter_range)
    }
}
