//! Which beginnings of prompts engines are assumed to hold, and what that saves a request.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wagtailreel_core::Digest;
use wagtailreel_fleet::{EngineModel, UpstreamId, UpstreamStart, WeightsVersion};

use super::member::Member;
use super::pick::{Pick, Requirements};
use super::prediction::prefill_time;
use super::upstreams::Upstreams;

/// Share of an engine's memory in use above which it is assumed to hold nothing beside its requests. Engines
/// release what they retain before they preempt requests.
const MAX_MEMORY_SHARE: f32 = 0.9;

/// Steps in the prefill time of a prompt of usual length by which predicted first events are compared. The
/// phase of a pass alone moves a first event by more than that.
const STEPS_PER_USUAL_PROMPT: u32 = 4;

/// Parts of a prompt that are compared, the first ones.
const MAX_PARTS: usize = 32;

/// Wrong assumptions in a row after which an engine is assumed to retain nothing, for the time that engines
/// retain a prompt. A single one may be due to a delay.
const MAX_WRONG: u32 = 3;

/// The beginning of a prompt up to the end of one of its parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPrefix {
    /// Digest of the ids of the parts so far.
    pub digest: Digest,
    /// Tokens of the parts so far.
    pub tokens: u32,
}

impl PromptPrefix {
    /// Returns the beginnings of a prompt of `parts`, each an id with its tokens, from the shortest to the
    /// longest.
    pub fn of_parts<'a, I>(parts: I) -> Vec<Self>
    where
        I: IntoIterator<Item = (&'a str, u32)>,
    {
        let mut digest = Digest::of(&[]);
        let mut tokens = 0_u32;
        let prefixes = parts.into_iter().take(MAX_PARTS).map(|(id, count)| {
            digest = Digest::of_parts([&digest.as_bytes()[..], id.as_bytes()]);
            tokens = tokens.saturating_add(count);
            Self { digest, tokens }
        });
        prefixes.collect()
    }
}

/// How long and how much engines retain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptCacheConfig {
    /// How long an engine retains a prompt that no request uses.
    pub retention: Duration,
    /// Number of beginnings that are remembered for each engine.
    pub max_prefixes: usize,
}

/// What one start of an engine is assumed to hold.
#[derive(Clone, Debug, Default)]
struct Held {
    start: UpstreamStart,
    version: Option<WeightsVersion>,
    used: BTreeMap<Digest, Instant>,
    /// The same by time of the last use.
    by_use: BTreeSet<(Instant, Digest)>,
    /// Wrong assumptions in a row.
    wrong: u32,
    /// Until then the engine is assumed to retain nothing.
    distrusted_until: Option<Instant>,
}

impl Held {
    fn remove(&mut self, digest: Digest) {
        if let Some(at) = self.used.remove(&digest) {
            self.by_use.remove(&(at, digest));
        }
    }

    fn insert(&mut self, digest: Digest, now: Instant, max: usize) {
        self.remove(digest);
        self.used.insert(digest, now);
        self.by_use.insert((now, digest));
        while self.used.len() > max {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                return;
            };
            self.used.remove(&oldest);
        }
    }
}

/// Beginnings of prompts that engines are assumed to hold, because this entry sent requests with them.
#[derive(Clone, Debug)]
pub struct PromptCache {
    cfg: PromptCacheConfig,
    engines: BTreeMap<UpstreamId, Held>,
}

impl PromptCache {
    /// Creates a cache without assumptions.
    pub const fn new(cfg: PromptCacheConfig) -> Self {
        Self {
            cfg,
            engines: BTreeMap::new(),
        }
    }

    /// Records that the engine that ran a request has read its prompt, and that what it was assumed to hold
    /// was right.
    pub fn record(&mut self, pick: &Pick, prefixes: &[PromptPrefix], now: Instant) {
        let max = self.cfg.max_prefixes;
        let held = self.engine(pick);
        if pick.held_tokens > 0 {
            held.wrong = 0;
        }
        // The longest one is the last to be evicted.
        for prefix in prefixes {
            held.insert(prefix.digest, now, max);
        }
    }

    /// Records that the engine that ran a request did not hold what it was assumed to hold.
    pub fn refute(&mut self, pick: &Pick, prefixes: &[PromptPrefix], now: Instant) {
        let retention = self.cfg.retention;
        let held = self.engine(pick);
        for prefix in prefixes {
            held.remove(prefix.digest);
        }
        held.wrong += 1;
        if held.wrong >= MAX_WRONG {
            held.wrong = 0;
            held.distrusted_until = Some(now + retention);
        }
    }

    /// Returns what is assumed of the engine that was chosen, without what is of an earlier start or of other
    /// weights.
    fn engine(&mut self, pick: &Pick) -> &mut Held {
        let held = self.engines.entry(pick.id.clone()).or_default();
        if held.start != pick.started || held.version != pick.version {
            *held = Held {
                start: pick.started,
                version: pick.version,
                ..Held::default()
            };
        }
        held
    }

    /// Forgets the engines that `keep` rejects.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.engines.retain(|id, _| keep(id));
    }

    /// Returns the tokens of the longest of `prefixes` that the engine is assumed to hold.
    pub fn held_tokens(
        &self,
        id: &str,
        start: UpstreamStart,
        version: Option<WeightsVersion>,
        prefixes: &[PromptPrefix],
        now: Instant,
    ) -> u32 {
        let held = self.engines.get(id);
        let Some(held) = held.filter(|it| it.start == start && it.version == version) else {
            return 0;
        };
        if held.distrusted_until.is_some_and(|until| now < until) {
            return 0;
        }
        let is_held = |prefix: &&PromptPrefix| {
            let used = held.used.get(&prefix.digest);
            used.is_some_and(|at| now.saturating_duration_since(*at) <= self.cfg.retention)
        };
        let longest = prefixes.iter().rev().find(is_held);
        longest.map_or(0, |prefix| prefix.tokens)
    }
}

impl Upstreams {
    /// Enables assumptions on the prompts that engines hold.
    #[must_use]
    pub fn with_prompt_cache(mut self, cfg: PromptCacheConfig) -> Self {
        self.prompt_cache = Some(PromptCache::new(cfg));
        self
    }

    /// Returns the tokens of the request's prompt that `member` need not read, or zero if they save less than
    /// a step.
    pub(super) fn held_tokens(
        &self,
        member: &Member,
        needs: &Requirements<'_>,
        version: Option<WeightsVersion>,
        now: Instant,
    ) -> u32 {
        let (Some(cache), Some(engine)) = (&self.prompt_cache, needs.engine) else {
            return 0;
        };
        let status = member.fresh_status(now);
        if status.is_some_and(|it| it.memory >= MAX_MEMORY_SHARE) {
            return 0;
        }
        let upstream = &member.upstream;
        let held = cache.held_tokens(&upstream.id, upstream.started, version, needs.prefixes, now);
        // The last token is always read, since the first event follows from it.
        let held = held.min(needs.prompt.saturating_sub(1));
        if prefill_time(engine, held) >= step(engine) {
            held
        } else {
            0
        }
    }

    /// Records that the first event of a request came `seen` after it was sent to `pick`, so that the engine
    /// has read the prompt.
    ///
    /// If the event came no sooner than it would have come without the tokens that the engine was assumed to
    /// hold, the assumption was wrong and ends.
    pub fn record_prompt(
        &mut self,
        pick: &Pick,
        needs: &Requirements<'_>,
        seen: Duration,
        now: Instant,
    ) {
        let (Some(cache), Some(engine)) = (&mut self.prompt_cache, needs.engine) else {
            return;
        };
        let saved = prefill_time(engine, pick.held_tokens);
        let without = pick.expected.map(|expected| expected + saved);
        let is_wrong = pick.held_tokens > 0 && without.is_some_and(|without| seen >= without);
        if is_wrong {
            cache.refute(pick, needs.prefixes, now);
        } else {
            cache.record(pick, needs.prefixes, now);
        }
    }
}

/// Returns `expected` in steps, by which first events are compared.
pub(super) fn steps(engine: &EngineModel, expected: Duration) -> u128 {
    expected.as_nanos() / step(engine).as_nanos().max(1)
}

fn step(engine: &EngineModel) -> Duration {
    prefill_time(engine, engine.usual_prompt) / STEPS_PER_USUAL_PROMPT
}
