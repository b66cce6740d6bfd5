//! Draws from the origin: who, when and in whose place.

use std::time::{Duration, Instant};

use wagtailreel_core::{ChunkIndex, SpreadPolicy, Weigh};

use crate::planner::Planner;
use crate::ranking::NEVER;
use crate::{Action, Reason, Source};

/// Draws of one VM at once, while VMs are few enough that one each would not fill the link.
const FEW_VMS_DRAWS: usize = 2;

/// Up to this many other VMs, one draw each would not fill the origin's link.
const FEW_VMS: usize = 3;

impl Planner {
    /// Starts draws that are due.
    pub(crate) fn draw(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.note_drawn(now);
        let most = if self.peers.iter().count() <= FEW_VMS {
            FEW_VMS_DRAWS
        } else {
            1
        };
        while self.draws() < most && self.origin_pause.is_over(now) {
            let Some((chunk, reason)) = self.next_draw(now) else {
                return;
            };
            let action = self.start(chunk, Source::Origin, reason, now);
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
        if !self.has_learned(now) {
            return None;
        }
        if let Some(chunk) = self.first_draw() {
            return Some((chunk, Reason::Draw));
        }
        let second = self.second_copy().map(|chunk| (chunk, Reason::SecondCopy));
        second.or_else(|| self.takeover(now).map(|chunk| (chunk, Reason::Takeover)))
    }

    /// Says whether the neighbours had their chance to say what they have.
    ///
    /// A VM that starts among others that have the bundle must not draw it again.
    fn has_learned(&self, now: Instant) -> bool {
        let is_late = now.saturating_duration_since(self.started) >= self.tuning.learn;
        is_late || self.settings.policy != SpreadPolicy::Balanced || self.peers.all_answered()
    }

    /// Returns a chunk that the VM is first for and that no neighbour has.
    fn first_draw(&self) -> Option<ChunkIndex> {
        self.wanted()
            .filter(|chunk| self.ranking.position(*chunk) == 0)
            .filter(|chunk| self.peers.holders(*chunk) == 0)
            .min_by_key(|chunk| self.order[*chunk as usize])
    }

    /// Returns the rarest chunk that the VM is second for, if time is weighed and the VM has
    /// drawn all that it is first for.
    fn second_copy(&self) -> Option<ChunkIndex> {
        let is_apt = self.settings.policy == SpreadPolicy::Balanced
            && self.settings.weigh == Weigh::Time
            && self.drawn_at.is_some();
        if !is_apt {
            return None;
        }
        self.wanted()
            .filter(|chunk| self.ranking.position(*chunk) == 1)
            .min_by_key(|chunk| (self.peers.holders(*chunk), self.order[*chunk as usize]))
    }

    /// Returns a chunk that the VM draws in the place of those that rank before it.
    fn takeover(&self, now: Instant) -> Option<ChunkIndex> {
        let drawn_at = self.drawn_at?;
        let unseen = self
            .wanted()
            .filter(|chunk| self.peers.holders(*chunk) == 0)
            .filter(|chunk| self.ranking.position(*chunk) != NEVER)
            .find(|chunk| {
                let since = self.peers.unseen_since(*chunk).max(drawn_at);
                now.saturating_duration_since(since) >= self.stall_of(*chunk)
            });
        unseen.or_else(|| self.rescue(now))
    }

    /// Returns a chunk to draw although neighbours have it, because nothing has arrived for
    /// long. Without this a VM whose neighbours all fail would wait for ever.
    fn rescue(&self, now: Instant) -> Option<ChunkIndex> {
        let quiet = now.saturating_duration_since(self.arrived_at);
        self.wanted()
            .filter(|chunk| self.ranking.position(*chunk) != NEVER)
            .filter(|chunk| quiet >= self.stall() + self.stall_of(*chunk))
            .min_by_key(|chunk| (self.ranking.position(*chunk), self.order[*chunk as usize]))
    }

    /// Goes through the chunks that are missing and not on their way.
    pub(crate) fn wanted(&self) -> impl Iterator<Item = ChunkIndex> + '_ {
        self.have
            .missing()
            .filter(|chunk| self.flying[*chunk as usize] == 0)
    }

    /// Notes when the VM has drawn all that it is first for.
    fn note_drawn(&mut self, now: Instant) {
        if self.drawn_at.is_some() || !self.has_learned(now) {
            return;
        }
        let left = self
            .have
            .missing()
            .any(|chunk| self.ranking.position(chunk) == 0 && self.peers.holders(chunk) == 0);
        if !left {
            self.drawn_at = Some(now);
        }
    }

    /// Returns how long a VM waits for the one before it in a ranking.
    ///
    /// It grows with what the own draws took: an origin that is slow for this VM is slow for the
    /// others, and those are no reason to draw in their place.
    fn stall(&self) -> Duration {
        let span = self.drawn_at.map_or(Duration::ZERO, |at| {
            at.saturating_duration_since(self.started)
        });
        let draw = self.origin_pace.usual() * 2;
        self.tuning.stall.max(draw).max(span / 2)
    }

    /// Returns how long the own VM waits for those that rank before it for `chunk`.
    fn stall_of(&self, chunk: ChunkIndex) -> Duration {
        let ranks = self.ranking.position(chunk).min(self.tuning.stall_ranks);
        // The jitter is fixed per chunk and VM, so that a wait is not drawn anew at every look.
        let jitter = f64::from(self.order[chunk as usize]) / f64::from(self.have.capacity());
        let far = if self.ranking.position(chunk) >= self.tuning.stall_ranks {
            f64::from(self.tuning.stall_ranks)
        } else {
            0.5
        };
        self.stall().mul_f64(f64::from(ranks) + jitter * far)
    }
}
