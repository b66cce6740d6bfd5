//! Words of load from other data centres, heard by one entry for all of its own.
//!
//! Each entry hears of the engines nearby from their agents. For those of another data centre one entry
//! asks one entry there for all of them, and its neighbours ask it. So what crosses the links between
//! regions grows with the data centres and the engines, and not with the entries times the engines:
//! each entry before each engine, twice a second, took 0.7 of all worth at 300 machines.
//!
//! Which entry asks follows from rendezvous ranks, without an election; where it or the entry abroad
//! does not answer, entries ask the agents abroad themselves as long as that lasts.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use axum::Router;
use axum::extract::{Path, State};
use axum::response::Response;
use axum::routing::get;
use futures::future::join_all;
use http::{Request, StatusCode};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt as _, ResultExt as _, Snafu};
use tokio::time::MissedTickBehavior;
use wagtailreel_adapters::{Body, HttpClient, PlatformError, collect_body};
use wagtailreel_core::{DataCentre, first_ranked};
use wagtailreel_fleet::{BootTime, LoadStatus};
use wagtailreel_nearby::Neighbours;
use wagtailreel_nearby::packing::{Packed, UnpackError, age_of, unpack};
use wagtailreel_route::direct::{LoadReport, LoadReports};

use crate::events;
use crate::view::{View, lock};

/// Time between two questions for the load of a data centre.
const PACE: Duration = Duration::from_millis(500);

/// How long an answer may take: it crosses between regions at most once.
const TIMEOUT: Duration = Duration::from_millis(300);

/// How long a connection may take to be made.
const CONNECT: Duration = Duration::from_millis(300);

/// Oldest word that is told on. With the pace of two questions it stays below the 1.5 s for which a word
/// counts.
const OLDEST: Duration = Duration::from_millis(700);

/// How long an answer is given to others without being made anew.
const GIVEN_FOR: Duration = Duration::from_millis(100);

/// How long a data centre counts as told of after the last answer: two questions, and an answer.
const TOLD_FOR: Duration = Duration::from_millis(1300);

/// How long an entry abroad counts as there after an agent named it.
const NAMED_FOR: Duration = Duration::from_secs(3);

/// Longest answer, in bytes. An engine takes about 100.
const LONGEST: usize = 1 << 20;

/// The load of a data centre can't be had.
#[derive(Debug, Snafu)]
enum FarError {
    #[snafu(display("no entry there is known: look at the agents of that data centre"))]
    NobodyKnown,
    #[snafu(display("{url} is no address ({source}): report this as a bug"))]
    Address { url: String, source: http::Error },
    #[snafu(display("no answer ({source}): look at the entry and the link to it"))]
    Silent { source: PlatformError },
    #[snafu(display("refused with {status}: run the same version everywhere"))]
    Refused { status: u16 },
    #[snafu(transparent)]
    Unreadable { source: UnpackError },
    #[snafu(display("it hears of none of its engines: look at its link"))]
    Empty,
}

/// A word on one engine, as it is told on.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct ToldWord {
    #[serde(rename = "i")]
    ip: IpAddr,
    /// How long before the answer it was heard, in milliseconds.
    #[serde(rename = "h")]
    heard_ms: u32,
    #[serde(flatten)]
    status: LoadStatus,
}

/// An answer that was made for others.
#[derive(Debug)]
struct Given {
    at: Instant,
    packed: Packed,
}

/// What is known of how another data centre is heard of.
#[derive(Debug, Default)]
struct Abroad {
    /// Its entries, by what its agents say, and when they said it.
    entries: BTreeMap<SocketAddr, Instant>,
    told_at: Option<Instant>,
    /// Whom the last answer came from; none if agents are asked.
    giver: Option<SocketAddr>,
}

/// Words of load from other data centres.
#[derive(Debug)]
pub(crate) struct FarWords {
    view: Arc<View>,
    neighbours: Arc<Neighbours>,
    client: HttpClient,
    home: DataCentre,
    abroad: Mutex<BTreeMap<DataCentre, Abroad>>,
    given: Mutex<BTreeMap<DataCentre, Given>>,
}

impl FarWords {
    pub(crate) fn new(view: Arc<View>, neighbours: Arc<Neighbours>, home: DataCentre) -> Self {
        Self {
            view,
            neighbours,
            client: HttpClient::with_connect_timeout(CONNECT),
            home,
            abroad: Mutex::default(),
            given: Mutex::default(),
        }
    }

    /// Takes which entries an agent in `data_centre` is asked by.
    pub(crate) fn hear_entries(&self, data_centre: &str, entries: &[SocketAddr]) {
        if entries.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut abroad = lock(&self.abroad);
        let known = abroad.entry(data_centre.to_owned()).or_default();
        for entry in entries {
            known.entries.insert(*entry, now);
        }
    }

    /// Says whether others tell of the engines in `data_centre`.
    pub(crate) fn is_told(&self, data_centre: &str) -> bool {
        let abroad = lock(&self.abroad);
        let told_at = abroad.get(data_centre).and_then(|it| it.told_at);
        told_at.is_some_and(|at| at.elapsed() <= TOLD_FOR)
    }

    /// Asks for the load of the other data centres, for as long as it is not dropped.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(PACE);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let data_centres = self.view.engine_data_centres();
            let abroad = data_centres.iter().filter(|it| **it != self.home);
            join_all(abroad.map(|data_centre| self.read(data_centre))).await;
        }
    }

    async fn read(&self, data_centre: &str) {
        let own = self.neighbours.own();
        let reader = self.neighbours.first_for(data_centre, BootTime::now());
        let is_reader = reader == own;
        let giver = if is_reader {
            self.entry_in(data_centre)
        } else {
            Some(reader)
        };
        match self.read_from(giver, data_centre).await {
            Ok(load_reports) => {
                self.view.merge_load_reports(&load_reports);
                self.note_giver(data_centre, giver, "");
            }
            Err(err) => {
                match giver.filter(|_| matches!(err, FarError::Silent { .. })) {
                    Some(entry) if is_reader => self.forget(data_centre, entry),
                    Some(neighbour) => {
                        self.neighbours.avoid(neighbour, BootTime::now());
                    }
                    None => {}
                }
                self.note_giver(data_centre, None, &err.to_string());
            }
        }
    }

    async fn read_from(
        &self,
        giver: Option<SocketAddr>,
        data_centre: &str,
    ) -> Result<LoadReports, FarError> {
        let giver = giver.context(NobodyKnownSnafu)?;
        let url = format!("http://{giver}/v1/load/{data_centre}");
        let req = Request::get(&url).body(Body::default());
        let req = req.with_context(|_| AddressSnafu { url: url.clone() })?;
        let sent = Instant::now();
        let answer = self.client.request_within(req, TIMEOUT).await;
        let (head, body) = answer.context(SilentSnafu)?.into_parts();
        let body = collect_body(&url, body, LONGEST, TIMEOUT).await;
        let body = body.context(SilentSnafu)?;
        if head.status != StatusCode::OK {
            let status = head.status.as_u16();
            return RefusedSnafu { status }.fail();
        }
        let age = age_of(&head.headers)?;
        let told: Vec<ToldWord> = unpack(&head.headers, &body)?;
        if told.is_empty() {
            return EmptySnafu.fail();
        }
        // Counted back from the question, a word never looks younger than it is.
        let received_at =
            |told: &ToldWord| sent.checked_sub(age + Duration::from_millis(told.heard_ms.into()));
        let word = |told: ToldWord| {
            let received_at = received_at(&told)?;
            let status = told.status;
            Some((
                told.ip,
                LoadReport {
                    status,
                    received_at,
                },
            ))
        };
        Ok(told.into_iter().filter_map(word).collect())
    }

    /// Returns the entry in `data_centre` to be asked: each reader another.
    fn entry_in(&self, data_centre: &str) -> Option<SocketAddr> {
        let own = self.neighbours.own().to_string();
        let mut abroad = lock(&self.abroad);
        let known = abroad.get_mut(data_centre)?;
        known.entries.retain(|_, at| at.elapsed() <= NAMED_FOR);
        first_ranked(own.as_bytes(), known.entries.keys().copied())
    }

    fn forget(&self, data_centre: &str, entry: SocketAddr) {
        if let Some(known) = lock(&self.abroad).get_mut(data_centre) {
            known.entries.remove(&entry);
        }
    }

    /// Notes whom the words of a data centre came from; tells of it once.
    fn note_giver(&self, data_centre: &str, giver: Option<SocketAddr>, reason: &str) {
        let before = {
            let mut abroad = lock(&self.abroad);
            let known = abroad.entry(data_centre.to_owned()).or_default();
            if giver.is_some() {
                known.told_at = Some(Instant::now());
            }
            std::mem::replace(&mut known.giver, giver)
        };
        if before != giver {
            let giver = giver.map_or_else(|| "agents".to_owned(), |it| it.to_string());
            events::FAR_WORDS.emit(&[
                ("data_centre", data_centre),
                ("giver", &giver),
                ("reason", reason),
            ]);
        }
    }

    /// Returns what this entry knows of the engines in `data_centre`, and how old the answer is.
    fn give(&self, data_centre: &str) -> (Packed, Duration) {
        let now = Instant::now();
        let mut given = lock(&self.given);
        let last = given.get(data_centre);
        if let Some(last) = last.filter(|it| it.at.elapsed() <= GIVEN_FOR) {
            return (last.packed.clone(), last.at.elapsed());
        }
        let told = |(ip, word): (IpAddr, LoadReport)| {
            let heard = now.saturating_duration_since(word.received_at).as_millis();
            ToldWord {
                ip,
                heard_ms: u32::try_from(heard).unwrap_or(u32::MAX),
                status: word.status,
            }
        };
        let load_reports = self.view.load_reports(data_centre, OLDEST, now);
        let load_reports: Vec<ToldWord> = load_reports.into_iter().map(told).collect();
        let packed = Packed::new(&load_reports);
        let fresh = Given {
            at: now,
            packed: packed.clone(),
        };
        given.insert(data_centre.to_owned(), fresh);
        (packed, Duration::ZERO)
    }
}

/// Returns the routes on which other entries ask for load.
pub(crate) fn router(load_reports: Arc<FarWords>) -> Router {
    Router::new()
        .route("/v1/load/{data_centre}", get(give))
        .with_state(load_reports)
}

async fn give(
    State(load_reports): State<Arc<FarWords>>,
    Path(data_centre): Path<DataCentre>,
) -> Response {
    let (packed, age) = load_reports.give(&data_centre);
    packed.answer(age)
}
