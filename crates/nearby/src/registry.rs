//! The registry, read through a neighbour where there is one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use snafu::Snafu;
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_core::{Offset, rank_score};
use wagtailreel_fleet::{BootTime, Page, Registry, RegistryError, Snapshot, Topic};

use crate::calls::Cause;
use crate::config::READER_WAIT;
use crate::packing::{UnpackError, age_of, unpack};
use crate::wire::{KnownRecords, READING_HEADER};
use crate::{CallCounters, Mirror, NearbyConfig, Neighbours, OwnTurn, StandIn, events};

/// How much longer than its wait a neighbour's answer may take. In one data centre it takes a few
/// milliseconds; a large configuration to a dozen neighbours takes 0.1 s.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection to a neighbour may take to be made.
const NEIGHBOUR_CONNECT: Duration = Duration::from_millis(250);

/// How long after a neighbour's question this entry reads for it.
const READS_FOR: Duration = Duration::from_secs(2);

/// How long a neighbour that starts may take to read the registry.
const FIRST_READ: Duration = Duration::from_millis(1500);

/// How long a copy may take in all, once it has begun. A configuration of 2,000 routes to 14
/// neighbours takes 1.5 s over a link of 60 Mbit/s.
const COPY: Duration = Duration::from_millis(2500);

/// Pause after an answer that is old from a neighbour that is reading.
const READING_PAUSE: Duration = Duration::from_millis(100);

/// Longest copy that is taken, in bytes. A configuration of 270 routes takes about 150 KB.
const LONGEST: usize = 32 << 20;

/// A neighbour can't be read from.
#[derive(Debug, Snafu)]
enum NeighbourError {
    #[snafu(display("no answer ({reason}): look at the neighbour"))]
    Silent { reason: String },
    #[snafu(display("refused with {status}: look at the neighbour"))]
    Refused { status: u16, is_reading: bool },
    #[snafu(display("what it knows is {age:?} old: look at its link to the registry"))]
    Old {
        age: Duration,
        is_reading: bool,
        /// What it knows all the same.
        heard: Box<Heard>,
    },
    #[snafu(transparent)]
    Unreadable { source: UnpackError },
}

impl NeighbourError {
    /// Says whether the neighbour is about to know more.
    const fn is_reading(&self) -> bool {
        match self {
            Self::Refused { is_reading, .. } | Self::Old { is_reading, .. } => *is_reading,
            Self::Silent { .. } | Self::Unreadable { .. } => false,
        }
    }
}

/// Returns of two old answers the one that speaks of a later moment.
fn newer_of(known: Option<Heard>, other: Heard) -> Heard {
    match (known, other) {
        (Some(Heard::Known(copy, as_of)), Heard::Known(_, other)) if as_of >= other => {
            Heard::Known(copy, as_of)
        }
        (_, other) => other,
    }
}

/// What a neighbour is asked.
#[derive(Debug)]
struct Question {
    topic: Topic,
    path: String,
    wait: Duration,
    /// An empty answer comes at the end of the wait.
    is_for_news: bool,
}

/// What a neighbour answers.
#[derive(Debug)]
enum Heard {
    /// What it knows, and the moment of which it speaks.
    Known(KnownRecords, BootTime),
    /// It knows only the newest of what stood before this place.
    Expired(Offset),
}

/// The registry, read through a neighbour where there is one.
#[derive(Clone, Debug)]
pub struct Nearby<R> {
    registry: R,
    client: HttpClient,
    cfg: NearbyConfig,
    /// Where what was read is kept for others.
    mirror: Option<Arc<Mirror>>,
    neighbours: Arc<Neighbours>,
    /// Whom the last answer came from, for the event of a change.
    reader: Arc<Mutex<Option<SocketAddr>>>,
    has_started: Arc<AtomicBool>,
    own_turn: Arc<Mutex<OwnTurn>>,
    stand_in: Arc<Mutex<StandIn>>,
    counters: Option<CallCounters>,
}

impl<R> Nearby<R>
where
    R: Registry,
{
    /// Makes a view of `registry` for a process that gives nothing to others.
    pub fn new(registry: R, cfg: NearbyConfig, neighbours: Arc<Neighbours>) -> Self {
        let share = share_of(neighbours.own());
        let pause = cfg.own_pause + cfg.own_pause.mul_f64(share / 2.0);
        let stand_in_after = cfg.stand_in_after + cfg.stand_in_spread.mul_f64(share);
        Self {
            registry,
            client: HttpClient::with_connect_timeout(NEIGHBOUR_CONNECT),
            cfg,
            mirror: None,
            neighbours,
            reader: Arc::default(),
            has_started: Arc::default(),
            own_turn: Arc::new(Mutex::new(OwnTurn::new(pause))),
            stand_in: Arc::new(Mutex::new(StandIn::new(stand_in_after))),
            counters: None,
        }
    }

    /// Keeps what is read in `mirror`, for neighbours.
    #[must_use]
    pub fn with_mirror(mut self, mirror: Arc<Mirror>) -> Self {
        self.mirror = Some(mirror);
        self
    }

    /// Counts calls to the registry in `counters`.
    #[must_use]
    pub fn with_counters(mut self, counters: CallCounters) -> Self {
        self.counters = Some(counters);
        self
    }

    /// Asks the neighbour that reads for this entry, and a few others if it is behind.
    ///
    /// # Errors
    ///
    /// Returns the [`Cause`] for asking the registry itself.
    async fn ask(&self, question: &Question) -> Result<Heard, Cause> {
        let topic = question.topic;
        if topic == Topic::Settings && !self.has_started.swap(true, Ordering::Relaxed) {
            self.neighbours.until_named(self.cfg.start_wait).await;
        }
        let candidates = self.neighbours.candidates(BootTime::now());
        let mut cause = Cause::First;
        let mut is_reading = false;
        let mut old: Option<Heard> = None;
        for candidate in &candidates {
            match self.copy_from(*candidate, question).await {
                Ok(heard) => {
                    self.note_reader(topic, Some(*candidate));
                    self.lock_stand_in().heard(topic);
                    return Ok(heard);
                }
                Err(err) => {
                    is_reading |= err.is_reading();
                    cause = self.pass_over(*candidate, topic, &err);
                    // Another wait would take the rest of the time that a change has.
                    let NeighbourError::Old { heard, .. } = err else {
                        break;
                    };
                    old = Some(newer_of(old, *heard));
                }
            }
        }
        if !is_reading || !self.waits_for_reader(topic, old.as_ref()) {
            return Err(cause);
        }
        // The answer to the next question is old too for a while.
        tokio::time::sleep(READING_PAUSE).await;
        old.ok_or(Cause::NeighbourReads)
    }

    /// Says whether to leave the read to a neighbour that is reading, though what it knows is as old as
    /// `old` says.
    fn waits_for_reader(&self, topic: Topic, old: Option<&Heard>) -> bool {
        let now = BootTime::now();
        let is_reader = self.neighbours.place(now) < self.cfg.readers;
        let as_of = match old {
            Some(Heard::Known(_, as_of)) => Some(*as_of),
            Some(Heard::Expired(_)) | None => None,
        };
        !is_reader && !self.lock_stand_in().is_due(topic, as_of, now)
    }

    fn lock_stand_in(&self) -> MutexGuard<'_, StandIn> {
        self.stand_in.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes that a neighbour was no use.
    fn pass_over(&self, neighbour: SocketAddr, topic: Topic, err: &NeighbourError) -> Cause {
        let now = BootTime::now();
        let (is_news, cause) = match err {
            // One that has read nothing yet refuses.
            NeighbourError::Old { .. } | NeighbourError::Refused { .. } => {
                (self.neighbours.behind(neighbour, now), Cause::NeighbourOld)
            }
            NeighbourError::Silent { .. } | NeighbourError::Unreadable { .. } => (
                self.neighbours.avoid(neighbour, now),
                Cause::NeighbourSilent,
            ),
        };
        if is_news {
            events::NEIGHBOUR_AVOIDED.emit(&[
                ("neighbour", &neighbour.to_string()),
                ("topic", &topic.to_string()),
                ("reason", &err.to_string()),
            ]);
        }
        cause
    }

    /// Makes a call to the registry itself, if one is due.
    async fn call<F, T>(&self, topic: Topic, cause: Cause, call: F) -> Result<T, RegistryError>
    where
        F: Future<Output = Result<T, RegistryError>>,
    {
        let sent = BootTime::now();
        let is_reader = self.neighbours.place(sent) < self.cfg.readers;
        if !self.lock_turn().is_due(is_reader, sent) {
            let reason = "it did not answer lately, and neighbours know only old things".to_owned();
            return Err(RegistryError::Away { reason });
        }
        self.note_reader(topic, None);
        if let Some(mirror) = &self.mirror {
            mirror.call_begins(topic);
        }
        let answer = call.await;
        let now = BootTime::now();
        let outcome = match &answer {
            Ok(_) | Err(RegistryError::Expired { .. }) => {
                self.lock_turn().answered();
                "answered"
            }
            Err(_) => {
                self.lock_turn().failed(now);
                "failed"
            }
        };
        if let Some(mirror) = &self.mirror {
            mirror.call_ends(topic, outcome == "failed");
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

    fn lock_turn(&self) -> MutexGuard<'_, OwnTurn> {
        self.own_turn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Asks one neighbour.
    async fn copy_from(
        &self,
        neighbour: SocketAddr,
        question: &Question,
    ) -> Result<Heard, NeighbourError> {
        let Question { topic, wait, .. } = *question;
        let oldest = self.cfg.longest_age(topic);
        let url = format!(
            "http://{neighbour}/v1/registry/{topic}{}&oldest_ms={}",
            question.path,
            oldest.as_millis()
        );
        let req = Request::get(&url).body(Body::default());
        let req = req.map_err(|e| silent(&e))?;
        let sent = BootTime::now();
        let answer = self.client.request_within(req, wait + NEIGHBOUR_TIMEOUT);
        let answer = answer.await.map_err(|e| silent(&e))?;
        let status = answer.status();
        if !matches!(status, StatusCode::OK | StatusCode::GONE) {
            let status = status.as_u16();
            let is_reading = is_reading(answer.headers());
            return RefusedSnafu { status, is_reading }.fail();
        }
        let (head, body) = answer.into_parts();
        let body = collect_body(&url, body, LONGEST, NEIGHBOUR_TIMEOUT);
        let body = tokio::time::timeout(COPY, body).await;
        let body = body.map_err(|e| silent(&e))?.map_err(|e| silent(&e))?;
        if status == StatusCode::GONE {
            return Ok(Heard::Expired(unpack(&head.headers, &body)?));
        }
        let age = age_of(&head.headers)?;
        if age > oldest {
            // Who is behind answers at once.
            let copy = unpack(&head.headers, &body)?;
            let heard = Box::new(Heard::Known(copy, sent.minus(age)));
            let is_reading = is_reading(&head.headers);
            return OldSnafu {
                age,
                is_reading,
                heard,
            }
            .fail();
        }
        let copy: KnownRecords = unpack(&head.headers, &body)?;
        let has_waited = question.is_for_news && copy.items.is_empty();
        let told = Page::answer_as_of(has_waited, sent, wait, BootTime::now());
        let as_of = told.minus(age);
        Ok(Heard::Known(copy, as_of))
    }

    /// Tells once that a topic comes from somewhere else than before.
    fn note_reader(&self, topic: Topic, reader: Option<SocketAddr>) {
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

    /// Returns how long the registry may hold a read.
    fn held_for(&self, wait: Duration) -> Duration {
        let mirror = self.mirror.as_ref();
        if mirror.is_some_and(|mirror| mirror.was_asked_within(READS_FOR)) {
            wait.min(READER_WAIT)
        } else {
            wait
        }
    }
}

/// Returns a share from 0 to 1 that is a process's own, by its address, so that processes which wait for
/// the same don't call together.
fn share_of(own: SocketAddr) -> f64 {
    let share = rank_score(&[], &own.to_string()) % 1000;
    // Below 1,000, so that nothing is lost.
    f64::from(u16::try_from(share).unwrap_or_default()) / 1000.0
}

fn is_reading(headers: &HeaderMap) -> bool {
    headers.contains_key(READING_HEADER)
}

fn silent<E>(err: &E) -> NeighbourError
where
    E: std::fmt::Display,
{
    let reason = err.to_string();
    NeighbourError::Silent { reason }
}

impl<R> Registry for Nearby<R>
where
    R: Registry,
{
    async fn newest(&self, topic: Topic, timeout: Duration) -> Result<Snapshot, RegistryError> {
        let question = Question {
            topic,
            path: format!("/newest?wait_ms={}", FIRST_READ.as_millis()),
            wait: FIRST_READ,
            is_for_news: false,
        };
        let snapshot = match self.ask(&question).await {
            Ok(Heard::Known(copy, as_of)) => Snapshot {
                items: copy.items,
                end: copy.next,
                as_of,
                is_second_hand: true,
            },
            Ok(Heard::Expired(_)) => {
                let call = self.registry.newest(topic, timeout);
                self.call(topic, Cause::NeighbourOld, call).await?
            }
            Err(Cause::NeighbourReads) => return Err(RegistryError::Pending),
            Err(cause) => {
                let call = self.registry.newest(topic, timeout);
                self.call(topic, cause, call).await?
            }
        };
        if let Some(mirror) = &self.mirror {
            mirror.take_snapshot(topic, &snapshot);
        }
        Ok(snapshot)
    }

    async fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        let question = Question {
            topic,
            path: format!("?from={from}&wait_ms={}", self.cfg.wait.as_millis()),
            wait: self.cfg.wait,
            is_for_news: true,
        };
        let page = match self.ask(&question).await {
            Ok(Heard::Known(copy, as_of)) => Page {
                items: copy.items,
                next: copy.next,
                end: copy.next,
                as_of,
                is_second_hand: true,
            },
            // In a burst the neighbour reads the newest of each key, time and again; all that follow
            // it would read the registry themselves.
            Ok(Heard::Expired(first)) => return Err(RegistryError::Expired { first }),
            Err(Cause::NeighbourReads) => return Err(RegistryError::Pending),
            Err(cause) => {
                let wait = self.held_for(wait);
                let call = self.registry.read(topic, from, wait, timeout);
                self.call(topic, cause, call).await?
            }
        };
        if let Some(mirror) = &self.mirror {
            mirror.take_page(topic, from, &page);
        }
        Ok(page)
    }
}
