//! The cache of prompt prefixes, and the events that it publishes late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use wagtailreel_core::Digest;

use super::EngineConfig;
use crate::token::prefix_hash;

/// Events that are kept for readers.
const MAX_EVENTS: usize = 1024;

/// A prefix under one bundle; other weights can't use its KV cache.
type CacheKey = (Digest, String);

/// A change of the cache.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    seq: u64,
    prefix: String,
    kind: &'static str,
    #[serde(skip)]
    shows_at: Instant,
}

/// Events for a reader.
#[derive(Debug, Serialize)]
pub(super) struct Events {
    next: u64,
    events: Vec<Event>,
}

/// Prefixes, of which the longest unused gives way first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    most: usize,
    lag: Duration,
    /// Every how many events one is missing; 0 for none.
    gap: u64,
    /// When each prefix was last used, by count of uses.
    used: BTreeMap<CacheKey, u64>,
    by_use: BTreeMap<u64, CacheKey>,
    uses: u64,
    sequence: u64,
    events: VecDeque<Event>,
}

impl PrefixCache {
    pub(super) fn new(cfg: &EngineConfig) -> Self {
        Self {
            most: cfg.cache_entries,
            lag: cfg.cache_lag,
            gap: cfg.cache_gap,
            used: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Forgets all prefixes without a word, as a new process would.
    pub(super) fn clear(&mut self) {
        self.used.clear();
        self.by_use.clear();
    }

    /// Uses the prefix of `prompt`; says whether it was there.
    pub(super) fn use_prefix(&mut self, bundle: Digest, prompt: &str) -> bool {
        if self.most == 0 {
            return false;
        }
        let key = (bundle, prefix_hash(prompt));
        self.uses += 1;
        let before = self.used.insert(key.clone(), self.uses);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.uses, key.clone());
        if before.is_none() {
            self.publish(key.1, "stored");
            self.evict();
        }
        before.is_some()
    }

    /// Returns the events from number `since` on that can be read by now.
    pub(super) fn events(&self, since: u64) -> Events {
        let now = Instant::now();
        let shown = self.events.iter().take_while(|event| event.shows_at <= now);
        let events: Vec<Event> = shown.filter(|event| event.seq >= since).cloned().collect();
        let next = events.last().map_or(since, |last| last.seq + 1);
        Events { next, events }
    }

    /// Evicts the prefixes that are too many.
    fn evict(&mut self) {
        while self.used.len() > self.most {
            if let Some((_, key)) = self.by_use.pop_first() {
                self.used.remove(&key);
                self.publish(key.1, "evicted");
            }
        }
    }

    /// Publishes an event, unless it falls into a gap.
    fn publish(&mut self, prefix: String, kind: &'static str) {
        self.sequence += 1;
        if self.gap > 0 && self.sequence.is_multiple_of(self.gap) {
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            seq: self.sequence,
            prefix,
            kind,
            shows_at: Instant::now() + self.lag,
        });
    }
}
