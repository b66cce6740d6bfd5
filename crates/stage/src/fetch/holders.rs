//! The other agents that chunks are fetched from, and the chunks that they hold.

use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_core::{VmEntry, VmId};
use wagtailreel_fleet::Registry;
use wagtailreel_spread::{ChunkSet, Event, Source};

use super::ChunkFetcher;
use crate::StagedEngine;
use crate::listing::list_peers;
use crate::origin::ChunkOrigin;
use crate::status::{ALL_CHUNKS, PeerChunks};

/// Agents of other data centres are included in one of this many polls, since their links are narrow.
const REMOTE_POLL_DIVISOR: u32 = 3;

/// An agent that has not answered for this long counts as lost until it answers.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

impl<R, E, O> ChunkFetcher<R, E, O>
where
    R: Registry,
    E: StagedEngine,
    O: ChunkOrigin,
{
    /// Starts a read of the list of other agents in the background, unless one is running.
    ///
    /// Chunks are transferred meanwhile. With a slow registry, a fetch that waited for each read would
    /// stall for 0.6 s of every 1.5 s.
    pub(super) fn read_peers(&mut self) {
        if self.list_reads.is_empty() {
            let cx = Arc::clone(&self.cx);
            self.list_reads.spawn(async move { list_peers(&cx).await });
        }
    }

    /// Applies a new list of the other agents. If a read fails, the previous list stays.
    pub(super) fn apply_peers(&mut self, peers: Vec<VmEntry>) {
        self.peers = peers.iter().map(|it| (it.vm.clone(), it.data)).collect();
        self.apply(Event::Peers(peers));
        self.poll_peers();
    }

    /// Polls the other agents for the chunks that they hold, and reports unresponsive ones as lost.
    pub(super) fn poll_peers(&mut self) {
        let now = Instant::now();
        self.poll_count = self.poll_count.wrapping_add(1);
        let includes_remote = self.poll_count.is_multiple_of(REMOTE_POLL_DIVISOR);
        let watched: Vec<VmId> = self.planner.watched().iter().cloned().collect();
        for vm in watched {
            if !includes_remote && self.is_remote(&Source::Peer(vm.clone())) {
                continue;
            }
            let Some(addr) = self.peers.get(&vm) else {
                continue;
            };
            let (model, version) = (&self.manifest.model, self.manifest.version);
            self.cx.board.request_chunks(*addr, model, version);
            let last_answer = *self.last_answers.entry(vm.clone()).or_insert(now);
            if now.saturating_duration_since(last_answer) > PEER_TIMEOUT {
                self.apply(Event::Lost { vm });
            }
        }
    }

    pub(super) fn apply_held_chunks(&mut self, report: &PeerChunks) {
        let vm = report.ip.to_string();
        self.last_answers.insert(vm.clone(), Instant::now());
        let is_wanted = report.held.model == self.manifest.model
            && report.held.version == self.manifest.version;
        if !is_wanted {
            return;
        }
        let count = self.manifest.count();
        let have = if report.held.chunks == ALL_CHUNKS {
            let mut all = ChunkSet::new(count);
            for chunk in 0..count {
                all.insert(chunk);
            }
            Some(all)
        } else {
            ChunkSet::from_hex(&report.held.chunks, count)
        };
        if let Some(have) = have {
            self.apply(Event::Have { vm, have });
        }
    }

    /// Returns whether a source is an agent in another data centre.
    pub(super) fn is_remote(&self, from: &Source) -> bool {
        let Source::Peer(vm) = from else {
            return false;
        };
        let peers = self.cx.peers.borrow();
        let peer = peers.iter().find(|peer| peer.vm == *vm);
        peer.is_some_and(|peer| peer.data_centre != self.cx.settings.data_centre)
    }
}
