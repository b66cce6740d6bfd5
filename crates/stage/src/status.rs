//! Answers queries for load and chunks, and queries other agents for their chunks.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::MissedTickBehavior;
use wagtailreel_core::first_ranked;
use wagtailreel_fleet::{
    BootTime, CRASH_REPORTS_PER_DATAGRAM, CrashReport, Datagram, HeldChunks, LoadStatus,
    NamedWeights, NamingReport, Permit, PermitRequest, Query, Status, WarmupPermitRequest,
    WeightsVersion,
};
use wagtailreel_nearby::Neighbours;
use wagtailreel_route::direct::{PendingArrivals, Permits, ReportedLevels, WarmupPermits};

use crate::EngineReport;
use crate::chunk_store::ChunkStore;
use crate::known_settings::{KnownNaming, KnownSettings};
use crate::quarantine_sync::QuarantineSync;
use crate::subscribers::Subscribers;

/// Longest accepted datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 4096;

/// Entries of the same data centre that are listed in an answer: the first, and its fallback.
const MAX_ENTRIES_REPORTED: usize = 2;

/// Time between two transmissions of recent crash reports to entries.
const CRASH_REPORT_RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// What an agent publishes about its engine.
#[derive(Debug, Default)]
struct PublishedState {
    report: Option<(EngineReport, Instant)>,
    model: String,
    is_switching: bool,
    naming: Option<(NamedWeights, KnownNaming)>,
    /// Requests that entries announced and that are not yet in the engine's figures.
    arrivals: PendingArrivals,
}

/// How long after its bound a naming is still reported, so that an entry that starts then learns that the
/// bound is over.
const NAMING_REPORT_MARGIN: Duration = Duration::from_secs(10);

/// Publishes an agent's state by datagrams, in answers and in pushes to subscribers.
#[derive(Debug)]
pub(crate) struct StatusBoard {
    state: Mutex<PublishedState>,
    subscribers: Subscribers,
    /// The entries of the data centre through which the agent reads the registry.
    neighbours: Arc<Neighbours>,
    chunk_store: Arc<ChunkStore>,
    quarantine_sync: QuarantineSync,
    permits: Mutex<Permits>,
    warmup_permits: Mutex<WarmupPermits>,
    levels: Mutex<ReportedLevels>,
    socket: UdpSocket,
    /// How long the agent reports a naming, and asks entries for proofs of its time.
    naming_report_ttl: Duration,
}

/// Chunks that another agent reports to hold.
#[derive(Clone, Debug)]
pub(crate) struct PeerChunks {
    pub(crate) ip: IpAddr,
    pub(crate) held: HeldChunks,
}

impl StatusBoard {
    /// Creates the board of an agent whose weights may be used for `bound` after newer weights are named.
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
            warmup_permits: Mutex::new(WarmupPermits::new(Instant::now())),
            levels: Mutex::default(),
            socket,
            naming_report_ttl: bound + NAMING_REPORT_MARGIN,
        }
    }

    /// Records the engine's state that was requested at `requested_at`, or `None` if the engine does not
    /// answer.
    ///
    /// Returns whether the engine's weights changed, or whether the engine started or stopped answering.
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
        state.arrivals.figures_read(requested_at);
        if report
            .as_ref()
            .is_some_and(|it| it.running + it.queued == 0)
        {
            state.arrivals.idle(now);
        }
        state.report = report.map(|report| (report, now));
        changed
    }

    /// Records the naming that the agent reports.
    pub(crate) fn set_naming(&self, weights: NamedWeights, naming: KnownNaming) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.naming = Some((weights, naming));
    }

    /// Returns the agent's clock while the agent asks for proofs of when the newest weights were not named
    /// yet.
    fn clock_if_wanted(&self) -> Option<u64> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, naming) = state.naming.as_ref()?;
        let now = BootTime::now();
        let is_recent = now.since(naming.received_at) <= self.naming_report_ttl;
        is_recent.then(|| now.as_millis())
    }

    /// Returns the naming to report, if it is recent and its time is proved.
    fn naming(&self) -> Option<NamingReport> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (weights, naming) = state.naming.as_ref()?;
        let age = BootTime::now().since(naming.named_after?);
        (age <= self.naming_report_ttl).then(|| NamingReport {
            weights: weights.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Records whether the engine is about to load, and pushes a change to all subscribers.
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

    /// Pushes the engine's state to all subscribers.
    pub(crate) fn push_all(&self) {
        let now = Instant::now();
        self.push(&self.subscribers.active(now), now);
    }

    /// Records that an entry is about to send a request, and pushes this to the other entries of the data
    /// centre, so that they do not choose the engine for the same free slot.
    fn record_announced_request(&self, prefill_time: Duration, from: SocketAddr) {
        let now = Instant::now();
        {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.arrivals.add(prefill_time, now);
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
            ..Status::default()
        };
        let datagram = Datagram::Status(status).to_bytes();
        for subscriber in subscribers {
            // A subscriber that misses the datagram polls again.
            let _ = self.socket.try_send_to(&datagram, *subscriber);
        }
    }

    /// Answers an entry's request for a permit to send to an upstream with a limit: with the permit, or how
    /// long the upstream has no capacity.
    fn answer_permit_request(&self, permit_request: &PermitRequest, from: SocketAddr) {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(permit) = permits.answer(permit_request, Instant::now()) else {
            return;
        };
        drop(permits);
        self.send_permit(permit, from);
    }

    /// Answers an entry's request for a permit to send to an upstream that may be cold.
    fn answer_warmup_request(&self, req: &WarmupPermitRequest, from: SocketAddr) {
        let mut named = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let permits = self.warmup_permits.lock();
        let mut permits = permits.unwrap_or_else(PoisonError::into_inner);
        let permit = permits.answer(req, from, &mut named, Instant::now());
        drop((permits, named));
        self.send_permit(permit, from);
    }

    fn send_permit(&self, permit: Permit, to: SocketAddr) {
        let datagram = Datagram::Permit(permit).to_bytes();
        // An entry that gets no answer does not send its request.
        let _ = self.socket.try_send_to(&datagram, to);
    }

    /// Sends crash reports to entries.
    fn send_crash_reports(&self, reports: &[CrashReport], entries: &[SocketAddr]) {
        for reports in reports.chunks(CRASH_REPORTS_PER_DATAGRAM) {
            let datagram = Datagram::CrashReports(reports.to_vec()).to_bytes();
            for entry in entries {
                // Lost datagrams are covered by the next transmission.
                let _ = self.socket.try_send_to(&datagram, *entry);
            }
        }
    }

    /// Queries another agent for the chunks that it holds.
    pub(crate) fn request_chunks(&self, peer: SocketAddr, model: &str, version: WeightsVersion) {
        let query = Query {
            nonce: 0,
            weights: None,
            chunks: Some((model.to_owned(), version)),
            ..Query::default()
        };
        // A lost query is covered by the next poll.
        let datagram = Datagram::Query(query).to_bytes();
        let _ = self.socket.try_send_to(&datagram, peer);
    }

    /// Answers datagrams and forwards reports of held chunks to `chunks`, until dropped.
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
                    prefill_us: Some(micros),
                    ..
                })) => self.record_announced_request(Duration::from_micros(micros.into()), from),
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
                        // The report is not needed if no fetch receives it.
                        let _ = chunks.send(PeerChunks { ip, held });
                    }
                }
                Ok(Datagram::PermitRequest(permit_request)) => {
                    self.answer_permit_request(&permit_request, from)
                }
                Ok(Datagram::WarmupPermitRequest(req)) => self.answer_warmup_request(&req, from),
                Ok(Datagram::CrashReports(reports)) => {
                    let subscribers = self.subscribers.active(Instant::now());
                    self.send_crash_reports(&self.quarantine_sync.merge(&reports), &subscribers);
                }
                // Agents accept no permits, and unreadable datagrams are not from this system.
                Ok(Datagram::Permit(_)) | Err(_) => {}
            }
        }
    }

    fn answer(&self, query: &Query, from: SocketAddr) {
        let now = Instant::now();
        if query.chunks.is_none() && self.subscribers.record(from, query, now) {
            self.send_crash_reports(&self.quarantine_sync.all(), &[from]);
        }
        let chunks = query.chunks.as_ref();
        // Only entries need the list of entries, not other agents.
        let entries = if query.chunks.is_none() {
            let mut entries = self.subscribers.local(now);
            if query.is_local {
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
            admission_permille: self.mean_level(query, from, now),
        };
        let datagram = Datagram::Status(status).to_bytes();
        // The sender repeats its query if the answer is lost.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    /// Records the admission level of an entry that reports one, and returns the mean for the answer.
    fn mean_level(&self, query: &Query, from: SocketAddr, now: Instant) -> Option<u16> {
        let level = query.admission_permille?;
        let mut levels = self.levels.lock().unwrap_or_else(PoisonError::into_inner);
        levels.record(from, level, now);
        levels.mean(now)
    }

    /// Chooses the entry through which the agent reads the registry.
    ///
    /// Agents choose different entries, since a single entry's link would need seconds to send a large
    /// configuration to all of them.
    fn choose_registry_reader(&self, entries: &[SocketAddr]) {
        let Ok(own) = self.socket.local_addr() else {
            return;
        };
        let own = own.to_string();
        let first = first_ranked(own.as_bytes(), entries.iter().copied());
        if let Some(first) = first {
            self.neighbours.note_entries(&[first], BootTime::now());
        }
    }

    fn load(&self, now: Instant) -> Option<LoadStatus> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (report, at) = state.report.as_ref()?;
        // Shares and factors need no more precision than an `f32` has.
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        let (memory, slowdown) = (
            report.memory_used as f32 / report.memory_total.max(1) as f32,
            report.slowdown as f32,
        );
        let age = now.saturating_duration_since(*at).as_millis();
        Some(LoadStatus {
            started: report.started,
            version: report.version_of(&state.model),
            is_switching: state.is_switching || report.is_busy,
            queued: report.queued.saturating_add(state.arrivals.pending(now)),
            prefill_ms: u32::try_from(state.arrivals.prefill_left(now).as_millis())
                .unwrap_or(u32::MAX),
            running: report.running,
            memory,
            slowdown,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the chunks that the agent can serve: those in memory, or all if the engine has loaded them
    /// and so has them staged.
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

/// Value in place of a bit set: all chunks can be read from the engine's staging memory.
pub(crate) const ALL_CHUNKS: &str = "all";
