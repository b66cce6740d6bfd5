//! Registry client that reads through a neighbour if there is one.

mod reads;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use wagtailreel_fleet::{BootTime, Registry, RegistryError, Topic};

use crate::calls::Cause;
use crate::delays::Delays;
use crate::era::KnownEra;
use crate::heard::HeardEvents;
use crate::neighbour::{
    NeighbourAnswer, NeighbourClient, NeighbourError, NeighbourQuery, RelayedRecords,
};
use crate::{
    CallCounters, Delay, FallbackRead, Mirror, Neighbours, RegistryBackoff, Seeds,
    SharedRegistryConfig, events,
};

/// How long after a neighbour's query this entry counts as a reader for others.
const QUERY_TTL: Duration = Duration::from_secs(2);

/// Pause after a stale answer from a neighbour that has a read in progress.
const READING_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Reads of a process since its start.
#[derive(Debug, Default)]
struct Start {
    /// Time of the first read.
    since: Option<BootTime>,
    /// Topics that have been read at least once.
    topics_read: BTreeSet<Topic>,
}

/// Registry client of a data centre in which one entry reads the registry for all.
#[derive(Clone, Debug)]
pub struct SharedRegistry<R> {
    registry: R,
    client: NeighbourClient,
    cfg: SharedRegistryConfig,
    /// Copies of the records for neighbours; `None` for a process that relays nothing.
    mirror: Option<Arc<Mirror>>,
    neighbours: Arc<Neighbours>,
    seeds: Seeds,
    era: KnownEra,
    /// Source of the last answer, `None` for the registry; a change emits an event.
    reader: Arc<Mutex<Option<SocketAddr>>>,
    start: Arc<Mutex<Start>>,
    /// Whether other starting processes read from this one. A seed does not wait for others.
    is_seed: bool,
    backoff: Arc<Mutex<RegistryBackoff>>,
    fallback: Arc<Mutex<FallbackRead>>,
    heard: HeardEvents,
    counters: Option<CallCounters>,
}

impl<R> SharedRegistry<R>
where
    R: Registry,
{
    /// Makes a client of `registry` for a process that relays nothing to others.
    pub fn new(registry: R, cfg: SharedRegistryConfig, neighbours: Arc<Neighbours>) -> Self {
        let delays = Delays::new(&cfg, neighbours.own());
        Self {
            registry,
            client: NeighbourClient::new(),
            cfg,
            mirror: None,
            neighbours,
            seeds: Seeds::default(),
            era: KnownEra::default(),
            reader: Arc::default(),
            start: Arc::default(),
            is_seed: false,
            backoff: Arc::new(Mutex::new(RegistryBackoff::new(delays.backoff))),
            fallback: Arc::new(Mutex::new(FallbackRead::new(delays.fallback))),
            heard: HeardEvents::default(),
            counters: None,
        }
    }

    /// Stores the records in `mirror`, for neighbours.
    #[must_use]
    pub fn with_mirror(mut self, mirror: Arc<Mirror>) -> Self {
        self.era = mirror.era().clone();
        self.mirror = Some(mirror);
        self
    }

    /// Reads each topic for the first time from the nearest of `seeds` that has read it.
    #[must_use]
    pub fn with_seeds(mut self, seeds: Seeds) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets whether this process is a seed. Other processes wait for a seed, so it reads the registry without
    /// waiting for neighbours.
    #[must_use]
    pub const fn with_is_seed(mut self, is_seed: bool) -> Self {
        self.is_seed = is_seed;
        self
    }

    /// Counts calls to the registry in `counters`.
    #[must_use]
    pub fn with_counters(mut self, counters: CallCounters) -> Self {
        self.counters = Some(counters);
        self
    }

    /// Queries the neighbour that reads for this entry, and a few others if that one is behind.
    ///
    /// # Errors
    ///
    /// Returns the [`Cause`] for calling the registry itself.
    async fn ask_neighbours(&self, query: &NeighbourQuery) -> Result<NeighbourAnswer, Cause> {
        let topic = query.topic;
        if let Some(limit) = self.start_wait_left(topic)
            && let Some(answer) = self.ask_seeds(topic, limit).await
        {
            return Ok(answer);
        }
        let candidates = self.neighbours.candidates(BootTime::now());
        let mut cause = Cause::First;
        let mut is_reading = false;
        let mut stale: Option<(SocketAddr, RelayedRecords)> = None;
        let age_limit = self.cfg.max_age(topic);
        for candidate in &candidates {
            match self.client.ask(*candidate, query, age_limit).await {
                Ok(answer) => {
                    self.note_reader(topic, Some(*candidate));
                    self.lock_fallback().note_fresh_answer(topic);
                    return Ok(answer);
                }
                Err(err) => {
                    is_reading |= err.is_reading();
                    cause = self.note_unusable(*candidate, topic, &err);
                    match err {
                        NeighbourError::Stale { known, .. } => {
                            let known = (*candidate, *known);
                            stale = stale.into_iter().chain([known]).max_by_key(|it| it.1.as_of);
                        }
                        NeighbourError::EarlierEra { .. } => {}
                        // A second time-out would use up the time in which a change has to be in force.
                        _ => break,
                    }
                }
            }
        }
        let as_of = stale.as_ref().map(|(_, known)| known.as_of);
        if !is_reading || !self.waits_for_reader(topic, as_of) {
            return Err(cause);
        }
        // The next answer is stale too until the neighbour's read ends.
        tokio::time::sleep(READING_POLL_INTERVAL).await;
        self.heard.note_delay(topic, Delay::NeighbourReads);
        let (neighbour, known) = stale.ok_or(Cause::NeighbourReads)?;
        self.heard.note_source(topic, Some(neighbour));
        Ok(NeighbourAnswer::Known(known))
    }

    /// Returns how long the first read of `topic` waits for seeds and neighbours; `None` if there is nothing
    /// to wait for, or the topic was read before.
    ///
    /// Agents can name neighbours only after the upstreams have been read, so the first read of the upstreams
    /// waits only if there are seeds.
    fn start_wait_left(&self, topic: Topic) -> Option<Duration> {
        let mut start = self.start.lock().unwrap_or_else(PoisonError::into_inner);
        let now = BootTime::now();
        let since = *start.since.get_or_insert(now);
        let is_first = start.topics_read.insert(topic);
        let may_be_named = topic == Topic::Settings || !self.seeds.is_empty();
        let waits = is_first && may_be_named && !self.is_seed;
        waits.then(|| self.cfg.start_wait.saturating_sub(now.since(since)))
    }

    /// Queries the seeds for `topic` for up to `limit`, until agents have named neighbours or have had time
    /// to do so. Returns the answer of a seed.
    ///
    /// Load pattern: 50 entries of a data centre start together. Without this, each of them reads thousands
    /// of upstreams over its region's link, no read ends before its time-out, and each begins again from the
    /// start.
    async fn ask_seeds(&self, topic: Topic, limit: Duration) -> Option<NeighbourAnswer> {
        let query = NeighbourQuery {
            topic,
            path: "/newest?wait_ms=0".to_owned(),
            era: self.era.get(),
            wait: Duration::ZERO,
            waits_for_records: false,
        };
        let age_limit = self.cfg.max_age(topic);
        let first_known = self.seeds.first_known(&self.client, &query, age_limit);
        tokio::select! {
            () = self.neighbours.wait_for_entries(limit) => None,
            (seed, answer) = first_known => {
                self.neighbours.set_seed(seed);
                self.note_reader(topic, Some(seed));
                Some(answer)
            }
        }
    }

    /// Returns whether to leave the read to neighbours with a read in progress, although their records hold
    /// only as of `as_of`.
    fn waits_for_reader(&self, topic: Topic, as_of: Option<BootTime>) -> bool {
        let now = BootTime::now();
        let is_reader = self.neighbours.rank(now) < self.cfg.readers;
        !is_reader && !self.lock_fallback().is_due(topic, as_of, now)
    }

    fn lock_fallback(&self) -> MutexGuard<'_, FallbackRead> {
        self.fallback.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a neighbour gave no usable answer; returns the cause for a call to the registry.
    fn note_unusable(&self, neighbour: SocketAddr, topic: Topic, err: &NeighbourError) -> Cause {
        let now = BootTime::now();
        let (is_new, cause, delay) = match err {
            // A neighbour that has read nothing yet refuses.
            NeighbourError::Stale { .. }
            | NeighbourError::EarlierEra { .. }
            | NeighbourError::Refused { .. } => (
                self.neighbours.note_behind(neighbour, now),
                Cause::NeighbourOld,
                Delay::NeighbourOld,
            ),
            NeighbourError::Silent { .. } | NeighbourError::Unreadable { .. } => (
                self.neighbours.note_silent(neighbour, now),
                Cause::NeighbourSilent,
                Delay::NeighbourSilent,
            ),
        };
        self.heard.note_delay(topic, delay);
        if is_new {
            events::NEIGHBOUR_AVOIDED.emit(&[
                ("neighbour", &neighbour.to_string()),
                ("topic", &topic.to_string()),
                ("reason", &err.to_string()),
            ]);
        }
        cause
    }

    /// Calls the registry, unless a neighbour is reading it or the backoff has not passed.
    async fn call<F, T>(&self, topic: Topic, cause: Cause, call: F) -> Result<T, RegistryError>
    where
        F: Future<Output = Result<T, RegistryError>>,
    {
        if cause == Cause::NeighbourReads {
            return Err(RegistryError::Pending);
        }
        let sent = BootTime::now();
        let is_reader = self.neighbours.rank(sent) < self.cfg.readers;
        if !self.lock_backoff().is_due(topic, is_reader, sent) {
            self.heard.note_delay(topic, Delay::NotCalled);
            return Err(RegistryError::NotCalled);
        }
        self.note_reader(topic, None);
        if let Some(mirror) = &self.mirror {
            mirror.call_started(topic);
        }
        let answer = call.await;
        let now = BootTime::now();
        let has_answered = answer
            .as_ref()
            .err()
            .is_none_or(RegistryError::needs_snapshot);
        let outcome = if has_answered {
            self.lock_backoff().note_answer();
            "answered"
        } else {
            self.lock_backoff().note_failure(topic, sent);
            self.heard.note_delay(topic, Delay::CallFailed);
            "failed"
        };
        if let Some(mirror) = &self.mirror {
            mirror.call_ended(topic, outcome == "failed");
        }
        if let Some(counters) = &self.counters {
            counters.count(topic, cause, outcome);
        }
        events::REGISTRY_CALLED.emit(&[
            ("topic", &topic.to_string()),
            ("cause", &cause.to_string()),
            ("outcome", outcome),
            ("ms", &now.since(sent).as_millis().to_string()),
        ]);
        answer
    }

    fn lock_backoff(&self) -> MutexGuard<'_, RegistryBackoff> {
        self.backoff.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Emits an event if the settings come from a different source than before.
    fn note_reader(&self, topic: Topic, reader: Option<SocketAddr>) {
        self.heard.note_source(topic, reader);
        if topic != Topic::Settings {
            return;
        }
        let mut known = self.reader.lock().unwrap_or_else(PoisonError::into_inner);
        if *known != reader {
            *known = reader;
            let reader = reader.map_or_else(|| "the registry".to_owned(), |it| it.to_string());
            events::READER_CHANGED.emit(&[("topic", &topic.to_string()), ("reader", &reader)]);
        }
    }

    /// Returns how long the registry may hold a read of `topic` for `cause`.
    fn max_hold(&self, topic: Topic, cause: Cause, wait: Duration) -> Duration {
        let mirror = self.mirror.as_ref();
        let is_queried = mirror.is_some_and(|mirror| mirror.was_queried_within(QUERY_TTL));
        let is_in_trouble = cause != Cause::First || self.lock_backoff().has_failed(topic);
        self.cfg.max_hold(wait, is_queried, is_in_trouble)
    }
}
