//! Load reports from remote data centres, read by one entry for all entries of its data centre.
//!
//! Each entry queries the agents of its own data centre. For a remote data centre one entry, the reader,
//! asks one entry there for the load of all its engines, and the reader's neighbours ask the reader. So the
//! traffic between regions grows with the number of data centres and engines, and not with entries times
//! engines: when each entry queried each engine twice a second, that cost 0.7 of the value of all answers
//! at 300 machines.
//!
//! The reader follows from rendezvous ranks, without an election. While the reader or the remote entry does
//! not answer, entries query the remote agents themselves.

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

/// Time between two reads of the load of a data centre.
const READ_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum time for an answer, which crosses between regions at most once.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum age of a load report that is passed on. Together with the read interval it stays below the 1.5 s
/// for which a report is used.
const MAX_REPORT_AGE: Duration = Duration::from_millis(700);

/// How long an answer is cached for other entries.
const ANSWER_TTL: Duration = Duration::from_millis(100);

/// How long after the last answer the load of a data centre counts as reported: two read intervals and the
/// time for an answer.
const REPORTED_TTL: Duration = Duration::from_millis(1300);

/// How long a remote entry is used after an agent named it.
const ENTRY_TTL: Duration = Duration::from_secs(3);

/// Maximum answer, in bytes. An engine takes about 100 bytes.
const MAX_ANSWER: usize = 1 << 20;

/// Why the load of a data centre could not be read.
#[derive(Debug, Snafu)]
enum RemoteLoadError {
    #[snafu(display("no entry of the data centre is known: check its agents"))]
    NoEntry,
    #[snafu(display("{url} is not a valid URL ({source}): report this as a bug"))]
    Address { url: String, source: http::Error },
    #[snafu(display("no answer ({source}): check the entry and the link to it"))]
    NoAnswer { source: PlatformError },
    #[snafu(display("refused with status {status}: run the same version on all entries"))]
    Refused { status: u16 },
    #[snafu(transparent)]
    Unreadable { source: UnpackError },
    #[snafu(display("the entry has no load report of its engines: check its links"))]
    Empty,
}

/// Load report of one engine, as entries pass it on.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SharedReport {
    #[serde(rename = "i")]
    ip: IpAddr,
    /// Time from its receipt to the answer, in milliseconds.
    #[serde(rename = "h")]
    received_ms_ago: u32,
    #[serde(flatten)]
    status: LoadStatus,
}

/// A cached answer for other entries.
#[derive(Debug)]
struct CachedAnswer {
    at: Instant,
    packed: Packed,
}

/// Where the load of a remote data centre is read.
#[derive(Debug, Default)]
struct RemoteDataCentre {
    /// The entries that its agents named, and when.
    entries: BTreeMap<SocketAddr, Instant>,
    answered_at: Option<Instant>,
    /// The source of the last answer; `None` if agents are queried.
    source: Option<SocketAddr>,
}

/// Reads load reports of remote data centres, and answers reads of other entries.
#[derive(Debug)]
pub(crate) struct RemoteLoad {
    view: Arc<View>,
    neighbours: Arc<Neighbours>,
    client: HttpClient,
    home: DataCentre,
    data_centres: Mutex<BTreeMap<DataCentre, RemoteDataCentre>>,
    answers: Mutex<BTreeMap<DataCentre, CachedAnswer>>,
}

impl RemoteLoad {
    pub(crate) fn new(view: Arc<View>, neighbours: Arc<Neighbours>, home: DataCentre) -> Self {
        Self {
            view,
            neighbours,
            client: HttpClient::with_connect_timeout(CONNECT_TIMEOUT),
            home,
            data_centres: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    /// Records which entries query an agent in `data_centre`.
    pub(crate) fn add_entries(&self, data_centre: &str, entries: &[SocketAddr]) {
        if entries.is_empty() {
            return;
        }
        let now = Instant::now();
        let mut data_centres = lock(&self.data_centres);
        let known = data_centres.entry(data_centre.to_owned()).or_default();
        for entry in entries {
            known.entries.insert(*entry, now);
        }
    }

    /// Returns whether another entry lately reported the load of the engines in `data_centre`.
    pub(crate) fn is_reported(&self, data_centre: &str) -> bool {
        let data_centres = lock(&self.data_centres);
        let answered_at = data_centres.get(data_centre).and_then(|it| it.answered_at);
        answered_at.is_some_and(|at| at.elapsed() <= REPORTED_TTL)
    }

    /// Reads the load of the remote data centres periodically, until the future is dropped.
    pub(crate) async fn follow(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(READ_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            let data_centres = self.view.engine_data_centres();
            let remote = data_centres.iter().filter(|it| **it != self.home);
            join_all(remote.map(|data_centre| self.read(data_centre))).await;
        }
    }

    async fn read(&self, data_centre: &str) {
        let own = self.neighbours.own();
        let reader = self.neighbours.reader_of(data_centre, BootTime::now());
        let is_reader = reader == own;
        let source = if is_reader {
            self.entry_in(data_centre)
        } else {
            Some(reader)
        };
        match self.read_from(source, data_centre).await {
            Ok(reports) => {
                self.view.merge_load_reports(&reports);
                self.record_source(data_centre, source, "");
            }
            Err(err) => {
                match source.filter(|_| matches!(err, RemoteLoadError::NoAnswer { .. })) {
                    Some(entry) if is_reader => self.remove_entry(data_centre, entry),
                    Some(neighbour) => {
                        self.neighbours.note_silent(neighbour, BootTime::now());
                    }
                    None => {}
                }
                self.record_source(data_centre, None, &err.to_string());
            }
        }
    }

    async fn read_from(
        &self,
        source: Option<SocketAddr>,
        data_centre: &str,
    ) -> Result<LoadReports, RemoteLoadError> {
        let source = source.context(NoEntrySnafu)?;
        let url = format!("http://{source}/v1/load/{data_centre}");
        let req = Request::get(&url).body(Body::default());
        let req = req.with_context(|_| AddressSnafu { url: url.clone() })?;
        let sent = Instant::now();
        let answer = self.client.request_within(req, READ_TIMEOUT).await;
        let (head, body) = answer.context(NoAnswerSnafu)?.into_parts();
        let body = collect_body(&url, body, MAX_ANSWER, READ_TIMEOUT).await;
        let body = body.context(NoAnswerSnafu)?;
        if head.status != StatusCode::OK {
            let status = head.status.as_u16();
            return RefusedSnafu { status }.fail();
        }
        let age = age_of(&head.headers)?;
        let reports: Vec<SharedReport> = unpack(&head.headers, &body)?;
        if reports.is_empty() {
            return EmptySnafu.fail();
        }
        // The ages count back from the sending of the request, so a report never looks younger than it is.
        let received_at = |report: &SharedReport| {
            sent.checked_sub(age + Duration::from_millis(report.received_ms_ago.into()))
        };
        let load = |report: SharedReport| {
            let received_at = received_at(&report)?;
            let status = report.status;
            Some((
                report.ip,
                LoadReport {
                    status,
                    received_at,
                },
            ))
        };
        Ok(reports.into_iter().filter_map(load).collect())
    }

    /// Returns the entry in `data_centre` to read from. The rank depends on the reader, so readers spread
    /// over the entries.
    fn entry_in(&self, data_centre: &str) -> Option<SocketAddr> {
        let own = self.neighbours.own().to_string();
        let mut data_centres = lock(&self.data_centres);
        let known = data_centres.get_mut(data_centre)?;
        known.entries.retain(|_, at| at.elapsed() <= ENTRY_TTL);
        first_ranked(own.as_bytes(), known.entries.keys().copied())
    }

    fn remove_entry(&self, data_centre: &str, entry: SocketAddr) {
        if let Some(known) = lock(&self.data_centres).get_mut(data_centre) {
            known.entries.remove(&entry);
        }
    }

    /// Records the source of the load of a data centre, and logs a change.
    fn record_source(&self, data_centre: &str, source: Option<SocketAddr>, reason: &str) {
        let before = {
            let mut data_centres = lock(&self.data_centres);
            let known = data_centres.entry(data_centre.to_owned()).or_default();
            if source.is_some() {
                known.answered_at = Some(Instant::now());
            }
            std::mem::replace(&mut known.source, source)
        };
        if before != source {
            let source = source.map_or_else(|| "agents".to_owned(), |it| it.to_string());
            events::REMOTE_LOAD_SOURCE.emit(&[
                ("data_centre", data_centre),
                ("giver", &source),
                ("reason", reason),
            ]);
        }
    }

    /// Returns this entry's load reports of the engines in `data_centre`, and the age of the answer.
    fn answer(&self, data_centre: &str) -> (Packed, Duration) {
        let now = Instant::now();
        let mut answers = lock(&self.answers);
        let last = answers.get(data_centre);
        if let Some(last) = last.filter(|it| it.at.elapsed() <= ANSWER_TTL) {
            return (last.packed.clone(), last.at.elapsed());
        }
        let shared = |(ip, load): (IpAddr, LoadReport)| {
            let received_ago = now.saturating_duration_since(load.received_at).as_millis();
            SharedReport {
                ip,
                received_ms_ago: u32::try_from(received_ago).unwrap_or(u32::MAX),
                status: load.status,
            }
        };
        let reports = self.view.load_reports(data_centre, MAX_REPORT_AGE, now);
        let reports: Vec<SharedReport> = reports.into_iter().map(shared).collect();
        let packed = Packed::new(&reports);
        let fresh = CachedAnswer {
            at: now,
            packed: packed.clone(),
        };
        answers.insert(data_centre.to_owned(), fresh);
        (packed, Duration::ZERO)
    }
}

/// Returns the routes on which other entries read load.
pub(crate) fn router(remote_load: Arc<RemoteLoad>) -> Router {
    Router::new()
        .route("/v1/load/{data_centre}", get(answer_load))
        .with_state(remote_load)
}

async fn answer_load(
    State(remote_load): State<Arc<RemoteLoad>>,
    Path(data_centre): Path<DataCentre>,
) -> Response {
    let (packed, age) = remote_load.answer(&data_centre);
    packed.answer(age)
}
