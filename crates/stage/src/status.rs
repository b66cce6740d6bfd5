//! Answers questions about load and chunks, and asks others for theirs.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;
use wagtailreel_core::first_ranked;
use wagtailreel_fleet::{
    AskPermit, BootTime, Datagram, ENDED_A_DATAGRAM, EndedUnder, HeardNaming, HeldChunks,
    LoadStatus, NamedWeights, Query, Status, WeightsVersion,
};
use wagtailreel_nearby::Neighbours;
use wagtailreel_route::direct::{Permits, Places};

use crate::EngineReport;
use crate::chunk_store::ChunkStore;
use crate::known_settings::{KnownNaming, KnownSettings};
use crate::quarantine_sync::QuarantineSync;
use crate::subscribers::Subscribers;

/// Longest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Entries of the own data centre that are told of: the first, and who stands in if it is silent.
const MAX_ENTRIES_REPORTED: usize = 2;

/// How often entries are told again of requests under which upstreams ended lately.
const CRASH_REPORT_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// What an agent tells of its engine.
#[derive(Debug, Default)]
struct PublishedState {
    report: Option<(EngineReport, Instant)>,
    model: String,
    is_switching: bool,
    naming: Option<(NamedWeights, KnownNaming)>,
    /// Requests on their way to the engine.
    arrivals: Places,
}

/// How much longer than their bound agents tell of weights that were named: an entry that starts then
/// still learns that the bound is over.
const NAMING_REPORT_MARGIN: Duration = Duration::from_secs(10);

/// What an agent tells of its engine, and to whom.
#[derive(Debug)]
pub(crate) struct StatusBoard {
    state: Mutex<PublishedState>,
    subscribers: Subscribers,
    /// The entries of the data centre, to read the registry through.
    neighbours: Arc<Neighbours>,
    chunk_store: Arc<ChunkStore>,
    quarantine_sync: QuarantineSync,
    permits: Mutex<Permits>,
    socket: UdpSocket,
    /// How long the agent tells of weights that were named, and asks since when.
    naming_report_ttl: Duration,
}

/// Chunks that another agent says it has.
#[derive(Clone, Debug)]
pub(crate) struct PeerChunks {
    pub(crate) ip: IpAddr,
    pub(crate) held: HeldChunks,
}

impl StatusBoard {
    /// Makes the board of an agent whose weights may be used for `bound` after newer ones were named.
    pub(crate) fn new(
        chunk_store: Arc<ChunkStore>,
        socket: UdpSocket,
        neighbours: Arc<Neighbours>,
        bound: Duration,
    ) -> Self {
        Self {
            state: Mutex::default(),
            subscribers: Subscribers::default(),
            neighbours,
            chunk_store,
            quarantine_sync: QuarantineSync::default(),
            permits: Mutex::default(),
            socket,
            naming_report_ttl: bound + NAMING_REPORT_MARGIN,
        }
    }

    /// Takes the engine's state that was asked for at `requested_at`, none if it does not answer; returns
    /// whether its weights or its answering changed.
    pub(crate) fn set_report(
        &self,
        model: &str,
        report: Option<EngineReport>,
        requested_at: Instant,
    ) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        model.clone_into(&mut state.model);
        let version = |report: Option<&EngineReport>| report.map(|it| it.version_of(model));
        let before = version(state.report.as_ref().map(|(report, _)| report));
        let changed = before != version(report.as_ref());
        let now = Instant::now();
        state.arrivals.figures(requested_at);
        if report
            .as_ref()
            .is_some_and(|it| it.running + it.queued == 0)
        {
            state.arrivals.idle(now);
        }
        state.report = report.map(|report| (report, now));
        changed
    }

    /// Takes weights that were named, as the agent heard of them.
    pub(crate) fn set_naming(&self, weights: NamedWeights, naming: KnownNaming) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.naming = Some((weights, naming));
    }

    /// Returns the agent's clock while it wants to hear when the newest weights were not named yet.
    fn clock_if_wanted(&self) -> Option<u64> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, naming) = state.naming.as_ref()?;
        let now = BootTime::now();
        let is_recent = now.since(naming.received_at) <= self.naming_report_ttl;
        is_recent.then(|| now.as_millis())
    }

    /// Returns the weights that were named lately.
    fn naming(&self) -> Option<HeardNaming> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (weights, naming) = state.naming.as_ref()?;
        let age = BootTime::now().since(naming.named_after?);
        (age <= self.naming_report_ttl).then(|| HeardNaming {
            weights: weights.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes whether the engine is about to load, and tells all askers at once.
    pub(crate) fn set_switching(&self, is_switching: bool) {
        {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            if state.is_switching == is_switching {
                return;
            }
            state.is_switching = is_switching;
        }
        self.push_all();
    }

    /// Tells all askers the engine's state without being asked.
    pub(crate) fn push_all(&self) {
        let now = Instant::now();
        self.push(&self.subscribers.active(now), now);
    }

    /// Takes that an entry is about to send a request, and tells the other entries of the data centre
    /// at once, so that they don't choose the engine for the same room.
    fn announce_request(&self, prefill_time: Duration, from: SocketAddr) {
        let now = Instant::now();
        {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.arrivals.take(prefill_time, now);
        }
        let mut local_entries = self.subscribers.local(now);
        local_entries.retain(|entry| *entry != from);
        self.push(&local_entries, now);
    }

    fn push(&self, subscribers: &[SocketAddr], now: Instant) {
        let status = Status {
            nonce: 0,
            load: self.load(now),
            naming: self.naming(),
            clock_ms: None,
            chunks: None,
            entries: Vec::new(),
        };
        let datagram = Datagram::Status(status).to_bytes();
        for subscriber in subscribers {
            // An asker that misses it asks again.
            let _ = self.socket.try_send_to(&datagram, *subscriber);
        }
    }

    /// Gives an entry leave to send a request to an upstream that names a limit, or tells when there is room.
    fn answer_permit_request(&self, permit_request: &AskPermit, from: SocketAddr) {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(permit) = permits.answer(permit_request, Instant::now()) else {
            return;
        };
        drop(permits);
        let datagram = Datagram::Permit(permit).to_bytes();
        // An entry without an answer sends nothing.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    /// Tells entries of requests under which upstreams end.
    fn send_crash_reports(&self, reports: &[EndedUnder], entries: &[SocketAddr]) {
        for reports in reports.chunks(ENDED_A_DATAGRAM) {
            let datagram = Datagram::Ended(reports.to_vec()).to_bytes();
            for entry in entries {
                // What is lost is told again.
                let _ = self.socket.try_send_to(&datagram, *entry);
            }
        }
    }

    /// Asks another agent which chunks it has.
    pub(crate) fn request_chunks(&self, peer: SocketAddr, model: &str, version: WeightsVersion) {
        let query = Query {
            nonce: 0,
            weights: None,
            chunks: Some((model.to_owned(), version)),
            ..Query::default()
        };
        // A question that is lost is asked again.
        let datagram = Datagram::Query(query).to_bytes();
        let _ = self.socket.try_send_to(&datagram, peer);
    }

    /// Answers questions, and hands on what others have, for as long as it is not dropped.
    pub(crate) async fn run(
        self: Arc<Self>,
        chunks: UnboundedSender<PeerChunks>,
        known_settings: Arc<KnownSettings>,
    ) {
        let mut buf = vec![0; MAX_DATAGRAM_BYTES];
        let mut resends = tokio::time::interval(CRASH_REPORT_RESEND_INTERVAL);
        resends.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buf) => received,
                _ = resends.tick() => {
                    let subscribers = self.subscribers.active(Instant::now());
                    self.send_crash_reports(&self.quarantine_sync.due_for_resend(), &subscribers);
                    continue;
                }
            };
            let Ok((len, from)) = received else {
                continue;
            };
            match Datagram::from_bytes(&buf[..len]) {
                Ok(Datagram::Query(Query {
                    sends_us: Some(micros),
                    ..
                })) => self.announce_request(Duration::from_micros(micros.into()), from),
                Ok(Datagram::Query(query)) => {
                    self.answer(&query, from);
                    if let Some(weights) = &query.weights {
                        let after = query.weights_after_ms.map(BootTime::from_millis);
                        let age = query.weights_age_ms.map(u64::from);
                        let age = age.map(Duration::from_millis);
                        known_settings.merge_report(weights, age, after);
                    }
                }
                Ok(Datagram::Status(status)) => {
                    if let Some(held) = status.chunks {
                        let ip = from.ip();
                        // Without a fetch under way nobody wants to know.
                        let _ = chunks.send(PeerChunks { ip, held });
                    }
                }
                Ok(Datagram::AskPermit(permit_request)) => {
                    self.answer_permit_request(&permit_request, from)
                }
                Ok(Datagram::Ended(reports)) => {
                    let subscribers = self.subscribers.active(Instant::now());
                    self.send_crash_reports(&self.quarantine_sync.merge(&reports), &subscribers);
                }
                // Whoever speaks otherwise is no part of the system.
                Ok(Datagram::Permit(_)) | Err(_) => {}
            }
        }
    }

    fn answer(&self, query: &Query, from: SocketAddr) {
        let now = Instant::now();
        if query.chunks.is_none() && self.subscribers.record(from, query.is_near, now) {
            self.send_crash_reports(&self.quarantine_sync.all(), &[from]);
        }
        let chunks = query.chunks.as_ref();
        // Other agents have no use for them.
        let entries = if query.chunks.is_none() {
            let mut entries = self.subscribers.local(now);
            if query.is_near {
                self.choose_registry_reader(&entries);
            }
            entries.truncate(MAX_ENTRIES_REPORTED);
            entries
        } else {
            Vec::new()
        };
        let status = Status {
            nonce: query.nonce,
            load: self.load(now),
            naming: self.naming(),
            clock_ms: self.clock_if_wanted(),
            chunks: chunks.and_then(|(model, version)| self.chunks(model, *version)),
            entries,
        };
        let datagram = Datagram::Status(status).to_bytes();
        // An answer that is lost is asked for again.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    /// Takes one of the entries to read the registry through: each agent another, since one link
    /// would carry a large configuration to all of them for seconds.
    fn choose_registry_reader(&self, entries: &[SocketAddr]) {
        let Ok(own) = self.socket.local_addr() else {
            return;
        };
        let own = own.to_string();
        let first = first_ranked(own.as_bytes(), entries.iter().copied());
        if let Some(first) = first {
            self.neighbours.hear(&[first], BootTime::now());
        }
    }

    fn load(&self, now: Instant) -> Option<LoadStatus> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (report, at) = state.report.as_ref()?;
        // Shares and factors need no more digits than a short float has.
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        let (memory, pace) = (
            report.memory_used as f32 / report.memory_total.max(1) as f32,
            report.pace as f32,
        );
        let age = now.saturating_duration_since(*at).as_millis();
        Some(LoadStatus {
            started: report.started,
            version: report.version_of(&state.model),
            is_switching: state.is_switching || report.is_busy,
            queued: report
                .queued
                .saturating_add(state.arrivals.on_their_way(now)),
            reading_ms: u32::try_from(state.arrivals.reading_left(now).as_millis())
                .unwrap_or(u32::MAX),
            running: report.running,
            memory,
            pace,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the chunks that can be given: those in memory, or all that the engine has staged.
    fn chunks(&self, model: &str, version: WeightsVersion) -> Option<HeldChunks> {
        let have = self.chunk_store.have(model, version);
        let is_loaded = {
            let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            let report = state.report.as_ref();
            report.and_then(|(report, _)| report.version_of(model)) == Some(version)
        };
        let is_empty = have.as_ref().is_none_or(|have| have.count() == 0);
        let chunks = if is_loaded && is_empty {
            ALL_CHUNKS.to_owned()
        } else {
            have?.to_hex()
        };
        Some(HeldChunks {
            model: model.to_owned(),
            version,
            chunks,
        })
    }
}

/// Says in place of a bit set that all chunks can be read from the engine's stage.
pub(crate) const ALL_CHUNKS: &str = "all";
