//! The registry, read through a neighbour where there is one.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use http::{Request, StatusCode};
use serde::de::DeserializeOwned;
use snafu::{ResultExt as _, Snafu};
use wagtailreel_adapters::{Body, HttpClient, collect_body};
use wagtailreel_core::Offset;
use wagtailreel_fleet::{BootTime, Page, Registry, RegistryError, Snapshot, Topic};

use crate::wire::KnownRecords;
use crate::{Mirror, Neighbours, events};

/// How long a neighbour may wait for news. With the time-out it stays well below the 2 s in which a
/// change of the registry has to be in force.
const NEIGHBOUR_WAIT: Duration = Duration::from_millis(400);

/// How much longer than its wait a neighbour's answer may take. In one data centre it takes a few
/// milliseconds; a large configuration to a dozen neighbours takes 0.1 s.
const NEIGHBOUR_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a connection to a neighbour may take to be made.
const NEIGHBOUR_CONNECT: Duration = Duration::from_millis(250);

/// How long the registry may hold a read whose answer is passed on: neighbours measure its age.
const READER_WAIT: Duration = Duration::from_millis(600);

/// How long after a neighbour's question this entry reads for it.
const READS_FOR: Duration = Duration::from_secs(2);

/// How late a neighbour's read of the registry may come.
const LATE: Duration = Duration::from_millis(300);

/// Time for the neighbour's answer that is too old, and for the own call in its place.
const LAST_CALLS: Duration = Duration::from_millis(1100);

/// How long an entry that starts waits to hear of its neighbours: a read of the upstreams, and two
/// questions to their agents.
const ENTRY_START: Duration = Duration::from_millis(300);

/// How long another process that starts waits to be asked by an entry that has started too.
const GUEST_START: Duration = Duration::from_secs(2);

/// How long a neighbour that starts may take to read the registry.
const FIRST_READ: Duration = Duration::from_millis(1500);

/// How long a copy may take in all, once it has begun. A configuration of 2,000 routes to 14
/// neighbours takes 1.5 s over a link of 60 Mbit/s.
const COPY: Duration = Duration::from_millis(2500);

/// Longest copy that is taken, in bytes. A configuration of 270 routes takes about 150 KB.
const LONGEST: usize = 32 << 20;

/// How old a neighbour's knowledge may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NearbyConfig {
    /// Of the settings.
    pub settings_age: Duration,
    /// Of the upstreams.
    pub upstreams_age: Duration,
    /// How long a neighbour may wait for news.
    pub wait: Duration,
    /// How long the first read of the settings waits to hear of neighbours. Of processes that start
    /// together each would read all of a large configuration over its region's link.
    pub start_wait: Duration,
}

impl NearbyConfig {
    /// Makes the limits under which a change of the settings is in force within `settings`, and one
    /// of the upstreams, which readers read each `pace`, 1.3 s after that time.
    pub fn new(settings: Duration, pace: Duration) -> Self {
        Self {
            settings_age: settings.saturating_sub(LAST_CALLS).max(READER_WAIT + LATE),
            upstreams_age: pace + LATE,
            wait: NEIGHBOUR_WAIT,
            start_wait: ENTRY_START,
        }
    }

    /// Makes the limits of a process that asks now and then, and does not wait for news.
    pub const fn seldom(age: Duration) -> Self {
        Self {
            settings_age: age,
            upstreams_age: age,
            wait: Duration::ZERO,
            start_wait: GUEST_START,
        }
    }

    const fn longest_age(&self, topic: Topic) -> Duration {
        match topic {
            Topic::Settings => self.settings_age,
            Topic::Upstreams => self.upstreams_age,
        }
    }
}

/// A neighbour can't be read from.
#[derive(Debug, Snafu)]
enum NeighbourError {
    #[snafu(display("no answer ({reason}): look at the neighbour"))]
    Silent { reason: String },
    #[snafu(display("refused with {status}: look at the neighbour"))]
    Refused { status: u16 },
    #[snafu(display("what it knows is {age:?} old: look at its link to the registry"))]
    Old { age: Duration },
    #[snafu(display("the answer can't be read ({source}): run the same version everywhere"))]
    Unreadable { source: serde_json::Error },
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
}

impl<R> Nearby<R>
where
    R: Registry,
{
    /// Makes a view of `registry` for a process that gives nothing to others.
    pub fn new(registry: R, cfg: NearbyConfig, neighbours: Arc<Neighbours>) -> Self {
        Self {
            registry,
            client: HttpClient::with_connect_timeout(NEIGHBOUR_CONNECT),
            cfg,
            mirror: None,
            neighbours,
            reader: Arc::default(),
            has_started: Arc::default(),
        }
    }

    /// Keeps what is read in `mirror`, for neighbours.
    #[must_use]
    pub fn with_mirror(mut self, mirror: Arc<Mirror>) -> Self {
        self.mirror = Some(mirror);
        self
    }

    /// Asks the neighbour that reads for this entry; none if there is none, or it is no use.
    async fn ask(&self, question: Question) -> Option<Heard> {
        let topic = question.topic;
        if topic == Topic::Settings && !self.has_started.swap(true, Ordering::Relaxed) {
            self.neighbours.until_named(self.cfg.start_wait).await;
        }
        let reader = self.neighbours.reader(BootTime::now());
        self.note_reader(topic, reader);
        let reader = reader?;
        match self.copy_from(reader, question).await {
            Ok(heard) => Some(heard),
            Err(err) => {
                if self.neighbours.avoid(reader, BootTime::now()) {
                    events::NEIGHBOUR_AVOIDED.emit(&[
                        ("neighbour", &reader.to_string()),
                        ("topic", &topic.to_string()),
                        ("reason", &err.to_string()),
                    ]);
                }
                None
            }
        }
    }

    /// Asks one neighbour.
    async fn copy_from(
        &self,
        neighbour: SocketAddr,
        question: Question,
    ) -> Result<Heard, NeighbourError> {
        let Question { topic, wait, .. } = question;
        let url = format!("http://{neighbour}/v1/registry/{topic}{}", question.path);
        let req = Request::get(&url).body(Body::default());
        let req = req.map_err(|e| silent(&e))?;
        let sent = BootTime::now();
        let answer = self.client.request_within(req, wait + NEIGHBOUR_TIMEOUT);
        let answer = answer.await.map_err(|e| silent(&e))?;
        let status = answer.status();
        if !matches!(status, StatusCode::OK | StatusCode::GONE) {
            let status = status.as_u16();
            return RefusedSnafu { status }.fail();
        }
        let body = collect_body(&url, answer.into_body(), LONGEST, NEIGHBOUR_TIMEOUT);
        let body = tokio::time::timeout(COPY, body).await;
        let body = body.map_err(|e| silent(&e))?.map_err(|e| silent(&e))?;
        if status == StatusCode::GONE {
            return read_json(&body).map(Heard::Expired);
        }
        let copy: KnownRecords = read_json(&body)?;
        if copy.age > self.cfg.longest_age(topic) {
            return OldSnafu { age: copy.age }.fail();
        }
        let has_waited = question.is_for_news && copy.items.is_empty();
        let told = Page::answer_as_of(has_waited, sent, wait, BootTime::now());
        let as_of = told.minus(copy.age);
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

fn read_json<T>(body: &[u8]) -> Result<T, NeighbourError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).context(UnreadableSnafu)
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
        let snapshot = match self.ask(question).await {
            Some(Heard::Known(copy, as_of)) => Snapshot {
                items: copy.items,
                end: copy.next,
                as_of,
                is_second_hand: true,
            },
            Some(Heard::Expired(_)) | None => self.registry.newest(topic, timeout).await?,
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
        let page = match self.ask(question).await {
            Some(Heard::Known(copy, as_of)) => Page {
                items: copy.items,
                next: copy.next,
                end: copy.next,
                as_of,
                is_second_hand: true,
            },
            // In a burst the neighbour reads the newest of each key, time and again; all that follow
            // it would read the registry themselves.
            Some(Heard::Expired(first)) => return Err(RegistryError::Expired { first }),
            None => {
                let wait = self.held_for(wait);
                self.registry.read(topic, from, wait, timeout).await?
            }
        };
        if let Some(mirror) = &self.mirror {
            mirror.take_page(topic, from, &page);
        }
        Ok(page)
    }
}
