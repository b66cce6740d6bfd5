//! What follows from the end of each task: manifests, fetches, checks, neighbours.

use std::sync::Arc;

use bytes::Bytes;
use wagtailreel_adapters::Origin;
use wagtailreel_core::{VmId, WeightsPhase};
use wagtailreel_spread::{ChunkSet, Failure, Fetch, Source};

use super::{Driver, Stage, UnderWay};
use crate::current::Note;
use crate::events;
use crate::fetch::Trouble;
use crate::metrics::Giver;

impl<O> Driver<O>
where
    O: Origin,
{
    /// Takes what a task says, unless its transfer was replaced.
    pub(super) fn note(&mut self, note: Note) {
        let generation = match &note {
            Note::NoManifest { generation, .. }
            | Note::Layout { generation, .. }
            | Note::Fetched { generation, .. }
            | Note::Have { generation, .. }
            | Note::Verified { generation, .. } => *generation,
        };
        let is_current = |it: &UnderWay<O>| it.generation == generation;
        if !self.under_way.as_ref().is_some_and(is_current) {
            return;
        }
        match note {
            Note::NoManifest { text, .. } => self.no_manifest(text),
            Note::Layout { layout, .. } => match layout {
                Ok(layout) => self.place(Arc::new(layout)),
                Err(trouble) => self.fail(trouble),
            },
            Note::Fetched {
                fetch,
                giver,
                result,
                ..
            } => self.fetched(&fetch, giver, result),
            Note::Have { vm, have, .. } => self.have(vm, have),
            Note::Verified { result, .. } => match result {
                Ok(()) => self.staged(),
                Err(trouble) => self.fail(trouble),
            },
        }
    }

    fn no_manifest(&mut self, text: String) {
        self.emit(events::NO_MANIFEST, &[("trouble", &text)]);
        self.set_trouble(Some(text));
    }

    /// Takes the end of a fetch.
    fn fetched(&mut self, fetch: &Fetch, giver: Giver, result: Result<Bytes, Trouble>) {
        let from_origin = fetch.from == Source::Origin;
        match result {
            Ok(bytes) => {
                self.around.shared.metrics.fetched(fetch.reason);
                if from_origin {
                    self.origin_gives();
                }
                if let Some(current) = self.current() {
                    current.take(fetch, bytes);
                }
                self.count();
            }
            Err(trouble) => {
                if trouble.failure == Failure::Corrupt {
                    self.corrupt(fetch, giver);
                }
                if from_origin {
                    self.origin_fails(trouble.text);
                }
                if let Some(current) = self.current() {
                    current.fail(fetch.id, trouble.failure);
                }
            }
        }
    }

    /// Says that a chunk came corrupt.
    fn corrupt(&mut self, fetch: &Fetch, giver: Giver) {
        self.around.shared.metrics.corrupt(giver);
        let Some(current) = self.current() else {
            return;
        };
        let chunk = current.layout.chunk(fetch.chunk).digest.to_string();
        let giver = fetch.from.to_string();
        events::CORRUPT.emit(&[("giver", &giver), ("chunk", &chunk)]);
    }

    /// Says that the origin fails, once until it gives again.
    fn origin_fails(&mut self, text: String) {
        let is_new = self.kept().is_some_and(|kept| kept.trouble.is_none());
        if is_new {
            events::ORIGIN_FAILS.emit(&[("trouble", &text)]);
        }
        self.set_trouble(Some(text));
    }

    /// Says that the origin gives again, if it failed.
    fn origin_gives(&mut self) {
        if self.kept().is_some_and(|kept| kept.trouble.is_some()) {
            events::ORIGIN_GIVES.emit(&[]);
            self.set_trouble(None);
        }
    }

    /// Takes what a neighbour has, or why it doesn't say.
    fn have(&mut self, vm: VmId, have: Result<ChunkSet, String>) {
        match &have {
            Ok(_) if self.lost.remove(&vm) => events::NEIGHBOUR_FOUND.emit(&[("vm", &vm)]),
            Err(text) if self.lost.insert(vm.clone()) => {
                events::NEIGHBOUR_LOST.emit(&[("vm", &vm), ("trouble", text)]);
            }
            _ => {}
        }
        if let Some(current) = self.current() {
            current.set_have(vm, have.ok());
        }
    }

    /// Notes that all is there and verified.
    fn staged(&mut self) {
        let Some(under_way) = self.under_way.take() else {
            return;
        };
        let Stage::Chunks(current) = under_way.stage else {
            return;
        };
        let Some(kept) = self.epochs.get_mut(&under_way.epoch) else {
            return;
        };
        let layout = &current.layout;
        kept.phase = WeightsPhase::Staged;
        kept.have = layout.count();
        kept.trouble = None;
        let epoch = under_way.epoch.to_string();
        let bundle = layout.digest.to_string();
        events::STAGED.emit(&[("epoch", &epoch), ("bundle", &bundle)]);
        let mut staged = self.around.shared.staged();
        staged.insert(under_way.epoch, Arc::clone(layout));
    }

    /// Gives the bundle up, since it can't be right.
    fn fail(&mut self, trouble: String) {
        self.emit(events::BAD_MANIFEST, &[("trouble", &trouble)]);
        if let Some(kept) = self.kept() {
            kept.phase = WeightsPhase::Failed;
            kept.have = 0;
        }
        self.set_trouble(Some(trouble));
        self.under_way = None;
        self.left_over = None;
        self.prune();
    }
}
