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
use wagtailreel_route::direct::{PendingArrivals, Permits};

use crate::EngineReport;
use crate::askers::Askers;
use crate::beliefs::{Beliefs, HeardWeights};
use crate::shelf::Shelf;
use crate::suspects::Suspects;

/// Longest datagram in bytes.
const DATAGRAM: usize = 4096;

/// Entries of the own data centre that are told of: the first, and who stands in if it is silent.
const NEAR_TOLD: usize = 2;

/// How often entries are told again of requests under which upstreams ended lately.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// What an agent tells of its engine.
#[derive(Debug, Default)]
struct Known {
    report: Option<(EngineReport, Instant)>,
    model: String,
    is_switching: bool,
    naming: Option<(NamedWeights, HeardWeights)>,
    /// Requests on their way to the engine.
    places: PendingArrivals,
}

/// How much longer than their bound agents tell of weights that were named: an entry that starts then
/// still learns that the bound is over.
const TOLD_LONGER: Duration = Duration::from_secs(10);

/// What an agent tells of its engine, and to whom.
#[derive(Debug)]
pub(crate) struct StatusBoard {
    known: Mutex<Known>,
    askers: Askers,
    /// The entries of the data centre, to read the registry through.
    neighbours: Arc<Neighbours>,
    shelf: Arc<Shelf>,
    suspects: Suspects,
    permits: Mutex<Permits>,
    socket: UdpSocket,
    /// How long the agent tells of weights that were named, and asks since when.
    naming_told: Duration,
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
        shelf: Arc<Shelf>,
        socket: UdpSocket,
        neighbours: Arc<Neighbours>,
        bound: Duration,
    ) -> Self {
        Self {
            known: Mutex::default(),
            askers: Askers::default(),
            neighbours,
            shelf,
            suspects: Suspects::default(),
            permits: Mutex::default(),
            socket,
            naming_told: bound + TOLD_LONGER,
        }
    }

    /// Takes the engine's state that was asked for at `asked_at`, none if it does not answer; returns
    /// whether its weights or its answering changed.
    pub(crate) fn set_report(
        &self,
        model: &str,
        report: Option<EngineReport>,
        asked_at: Instant,
    ) -> bool {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        model.clone_into(&mut known.model);
        let version = |report: Option<&EngineReport>| report.map(|it| it.version_of(model));
        let before = version(known.report.as_ref().map(|(report, _)| report));
        let changed = before != version(report.as_ref());
        let now = Instant::now();
        known.places.figures_read(asked_at);
        if report
            .as_ref()
            .is_some_and(|it| it.running + it.queued == 0)
        {
            known.places.idle(now);
        }
        known.report = report.map(|report| (report, now));
        changed
    }

    /// Takes weights that were named, as the agent heard of them.
    pub(crate) fn set_naming(&self, weights: NamedWeights, heard: HeardWeights) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.naming = Some((weights, heard));
    }

    /// Returns the agent's clock while it wants to hear when the newest weights were not named yet.
    fn clock(&self) -> Option<u64> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let (_, heard) = known.naming.as_ref()?;
        let now = BootTime::now();
        let is_wanted = now.since(heard.heard_at) <= self.naming_told;
        is_wanted.then(|| now.as_millis())
    }

    /// Returns the weights that were named lately.
    fn naming(&self) -> Option<HeardNaming> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let (weights, heard) = known.naming.as_ref()?;
        let age = BootTime::now().since(heard.after?);
        (age <= self.naming_told).then(|| HeardNaming {
            weights: weights.clone(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes whether the engine is about to load, and tells all askers at once.
    pub(crate) fn set_switching(&self, is_switching: bool) {
        {
            let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            if known.is_switching == is_switching {
                return;
            }
            known.is_switching = is_switching;
        }
        self.tell_all();
    }

    /// Tells all askers the engine's state without being asked.
    pub(crate) fn tell_all(&self) {
        let now = Instant::now();
        self.tell(&self.askers.recent(now), now);
    }

    /// Takes that an entry is about to send a request, and tells the other entries of the data centre
    /// at once, so that they don't choose the engine for the same room.
    fn take_place(&self, reading: Duration, from: SocketAddr) {
        let now = Instant::now();
        {
            let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            known.places.add(reading, now);
        }
        let mut near = self.askers.near(now);
        near.retain(|entry| *entry != from);
        self.tell(&near, now);
    }

    fn tell(&self, askers: &[SocketAddr], now: Instant) {
        let status = Status {
            nonce: 0,
            load: self.load(now),
            naming: self.naming(),
            clock_ms: None,
            chunks: None,
            entries: Vec::new(),
        };
        let datagram = Datagram::Status(status).to_bytes();
        for asker in askers {
            // An asker that misses it asks again.
            let _ = self.socket.try_send_to(&datagram, *asker);
        }
    }

    /// Gives an entry leave to send a request to an upstream that names a limit, or tells when there is room.
    fn give_permit(&self, ask: &AskPermit, from: SocketAddr) {
        let mut permits = self.permits.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(permit) = permits.answer(ask, Instant::now()) else {
            return;
        };
        drop(permits);
        let datagram = Datagram::Permit(permit).to_bytes();
        // An entry without an answer sends nothing.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    /// Tells entries of requests under which upstreams end.
    fn tell_of(&self, told: &[EndedUnder], entries: &[SocketAddr]) {
        for told in told.chunks(ENDED_A_DATAGRAM) {
            let datagram = Datagram::Ended(told.to_vec()).to_bytes();
            for entry in entries {
                // What is lost is told again.
                let _ = self.socket.try_send_to(&datagram, *entry);
            }
        }
    }

    /// Asks another agent which chunks it has.
    pub(crate) fn ask(&self, peer: SocketAddr, model: &str, version: WeightsVersion) {
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
        beliefs: Arc<Beliefs>,
    ) {
        let mut buf = vec![0; DATAGRAM];
        let mut tell_again = tokio::time::interval(TELL_AGAIN);
        tell_again.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let received = tokio::select! {
                received = self.socket.recv_from(&mut buf) => received,
                _ = tell_again.tick() => {
                    let askers = self.askers.recent(Instant::now());
                    self.tell_of(&self.suspects.again(), &askers);
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
                })) => self.take_place(Duration::from_micros(micros.into()), from),
                Ok(Datagram::Query(query)) => {
                    self.answer(&query, from);
                    if let Some(weights) = &query.weights {
                        let after = query.weights_after_ms.map(BootTime::from_millis);
                        let age = query.weights_age_ms.map(u64::from);
                        let age = age.map(Duration::from_millis);
                        beliefs.hear(weights, age, after);
                    }
                }
                Ok(Datagram::Status(status)) => {
                    if let Some(held) = status.chunks {
                        let ip = from.ip();
                        // Without a fetch under way nobody wants to know.
                        let _ = chunks.send(PeerChunks { ip, held });
                    }
                }
                Ok(Datagram::AskPermit(ask)) => self.give_permit(&ask, from),
                Ok(Datagram::Ended(told)) => {
                    let askers = self.askers.recent(Instant::now());
                    self.tell_of(&self.suspects.hear(&told), &askers);
                }
                // Whoever speaks otherwise is no part of the system.
                Ok(Datagram::Permit(_)) | Err(_) => {}
            }
        }
    }

    fn answer(&self, query: &Query, from: SocketAddr) {
        let now = Instant::now();
        if query.chunks.is_none() && self.askers.note(from, query.is_near, now) {
            self.tell_of(&self.suspects.all(), &[from]);
        }
        let chunks = query.chunks.as_ref();
        // Other agents have no use for them.
        let entries = if query.chunks.is_none() {
            let mut entries = self.askers.near(now);
            if query.is_near {
                self.hear_one(&entries);
            }
            entries.truncate(NEAR_TOLD);
            entries
        } else {
            Vec::new()
        };
        let status = Status {
            nonce: query.nonce,
            load: self.load(now),
            naming: self.naming(),
            clock_ms: self.clock(),
            chunks: chunks.and_then(|(model, version)| self.chunks(model, *version)),
            entries,
        };
        let datagram = Datagram::Status(status).to_bytes();
        // An answer that is lost is asked for again.
        let _ = self.socket.try_send_to(&datagram, from);
    }

    /// Takes one of the entries to read the registry through: each agent another, since one link
    /// would carry a large configuration to all of them for seconds.
    fn hear_one(&self, entries: &[SocketAddr]) {
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
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let (report, at) = known.report.as_ref()?;
        // Shares and factors need no more digits than a short float has.
        #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation)]
        let (memory, pace) = (
            report.memory_used as f32 / report.memory_total.max(1) as f32,
            report.pace as f32,
        );
        let age = now.saturating_duration_since(*at).as_millis();
        Some(LoadStatus {
            started: report.started,
            version: report.version_of(&known.model),
            is_switching: known.is_switching || report.is_busy,
            queued: report.queued.saturating_add(known.places.pending(now)),
            reading_ms: u32::try_from(known.places.prefill_left(now).as_millis())
                .unwrap_or(u32::MAX),
            running: report.running,
            memory,
            pace,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        })
    }

    /// Returns the chunks that can be given: those in memory, or all that the engine has staged.
    fn chunks(&self, model: &str, version: WeightsVersion) -> Option<HeldChunks> {
        let have = self.shelf.have(model, version);
        let is_loaded = {
            let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
            let report = known.report.as_ref();
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
