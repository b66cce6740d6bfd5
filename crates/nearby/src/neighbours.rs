//! Selects the entry of the data centre that reads the registry for the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_core::first_ranked;
use wagtailreel_fleet::BootTime;

/// How long an entry counts as running after an agent named it. Agents are polled every 100 ms.
const ENTRY_TTL: Duration = Duration::from_millis(500);

/// How long an entry that failed to answer is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// How long an entry whose records were too old counts as behind. During that time other entries are
/// queried too.
const BEHIND_DURATION: Duration = Duration::from_secs(3);

/// How long agents take to name entries after the first poll. Entries that start together poll at most
/// 100 ms apart, and the answer to the second poll names all of them.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum number of neighbours that are queried, one after the other, before the registry is called.
/// Neighbours that are behind answer so at once. Unless most neighbours are cut off from the registry, one of
/// three can read it.
const MAX_CANDIDATES: usize = 3;

/// Known entries of the data centre and how they answered.
#[derive(Debug, Default)]
struct KnownEntries {
    /// Entries that agents named, with the time of the last report.
    named: BTreeMap<SocketAddr, BootTime>,
    /// Entries that did not answer, with the time until which they are avoided.
    avoided: BTreeMap<SocketAddr, BootTime>,
    /// Entries whose records were too old, with the time until which they count as behind.
    behind: BTreeMap<SocketAddr, BootTime>,
    /// The seed to read from until agents name the entries of the data centre.
    seed: Option<SocketAddr>,
}

impl KnownEntries {
    fn prune(&mut self, now: BootTime) {
        self.named.retain(|_, at| now.since(*at) <= ENTRY_TTL);
        self.avoided.retain(|_, until| *until > now);
        self.behind.retain(|_, until| *until > now);
    }

    /// Returns the neighbours with an address below `own` that are not avoided, in order of address.
    fn preceding(&self, own: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let named = self.named.keys().copied().take_while(move |it| *it < own);
        named.filter(|it| !self.avoided.contains_key(it))
    }
}

/// The entries of the data centre, of which one reads the registry for the others: the one with the lowest
/// address among those that agents name.
#[derive(Debug)]
pub struct Neighbours {
    own: SocketAddr,
    known: Mutex<KnownEntries>,
    has_named_entries: watch::Sender<bool>,
    /// Whether agents have been polled, whose answers may name neighbours.
    has_polled: watch::Sender<bool>,
}

impl Neighbours {
    /// Makes the neighbours of the entry at `own`, which knows no other entry yet.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: Mutex::default(),
            has_named_entries: watch::Sender::new(false),
            has_polled: watch::Sender::new(false),
        }
    }

    /// Makes the neighbours of a process that never reads the registry for others. The process ranks last.
    pub fn for_non_reader() -> Self {
        Self::new(SocketAddr::from(([255, 255, 255, 255], u16::MAX)))
    }

    /// Records the entries that recently polled an agent, as the agent named them.
    pub fn note_entries(&self, entries: &[SocketAddr], now: BootTime) {
        // An entry that doesn't know its own address can't distinguish itself from the others.
        if entries.is_empty() || self.own.ip().is_unspecified() {
            return;
        }
        let mut known = self.lock();
        known.seed = None;
        for entry in entries.iter().filter(|entry| **entry != self.own) {
            known.named.insert(*entry, now);
        }
        self.has_named_entries.send_replace(true);
    }

    /// Records a seed that has answered. The seed is used until agents name the entries of the data centre.
    pub fn set_seed(&self, seed: SocketAddr) {
        let mut known = self.lock();
        if !*self.has_named_entries.borrow() {
            known.seed = Some(seed);
        }
    }

    /// Records that agents of the data centre are polled from now on.
    pub fn note_agents_polled(&self) {
        self.has_polled
            .send_if_modified(|has_polled| !std::mem::replace(has_polled, true));
    }

    /// Waits until an agent has named entries. The wait ends when agents have had time to answer the first
    /// poll, and after `limit` at the latest.
    pub(crate) async fn wait_for_entries(&self, limit: Duration) {
        let mut has_named_entries = self.has_named_entries.subscribe();
        let mut has_polled = self.has_polled.subscribe();
        let unanswered_poll = async {
            // Can't fail: the sender lives as long as the neighbours.
            let _ = has_polled.wait_for(|has_polled| *has_polled).await;
            tokio::time::sleep(POLL_ANSWER_TIMEOUT).await;
        };
        let named = async {
            tokio::select! {
                _ = has_named_entries.wait_for(|has_named_entries| *has_named_entries) => {}
                () = unanswered_poll => {}
            }
        };
        // On a time-out there may be no neighbours.
        let _ = tokio::time::timeout(limit, named).await;
    }

    /// Records that a neighbour gave no valid answer, so that it is avoided for a while; returns whether it
    /// was not avoided before.
    pub fn note_silent(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self
            .lock()
            .avoided
            .insert(neighbour, now.plus(AVOID_DURATION));
        before.is_none_or(|until| until < now)
    }

    /// Records that a neighbour's records are too old; returns whether it was not behind before.
    pub fn note_behind(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self
            .lock()
            .behind
            .insert(neighbour, now.plus(BEHIND_DURATION));
        before.is_none_or(|until| until < now)
    }

    /// Returns the neighbours to read from, in the order in which to query them; empty if this entry reads
    /// the registry itself.
    ///
    /// The first is included even if it was behind recently, since it calls the registry most often.
    pub fn candidates(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut known = self.lock();
        known.prune(now);
        let mut preceding = known.preceding(self.own);
        let first = preceding.next();
        let others = preceding.filter(|it| !known.behind.contains_key(it));
        let seed = known.seed.filter(|it| !known.avoided.contains_key(it));
        let named = first.into_iter().chain(others);
        named.chain(seed).take(MAX_CANDIDATES).collect()
    }

    /// Returns the entry that reads `key` for its data centre, which may be this one: the first of the known
    /// entries by rendezvous rank, so that different keys are spread over the entries.
    pub fn reader_of(&self, key: &str, now: BootTime) -> SocketAddr {
        let mut known = self.lock();
        known.prune(now);
        let named = known
            .named
            .keys()
            .filter(|it| !known.avoided.contains_key(it));
        let all = named.copied().chain([self.own]);
        first_ranked(key.as_bytes(), all).unwrap_or(self.own)
    }

    /// Returns the number of neighbours that precede this entry.
    pub fn rank(&self, now: BootTime) -> usize {
        let mut known = self.lock();
        known.prune(now);
        known.preceding(self.own).count()
    }

    /// Returns the entry's own address.
    pub const fn own(&self) -> SocketAddr {
        self.own
    }

    fn lock(&self) -> MutexGuard<'_, KnownEntries> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
