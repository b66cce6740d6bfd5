//! Which entry of the data centre reads the registry for the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_core::first_ranked;
use wagtailreel_fleet::BootTime;

/// How long an entry counts as there after an agent named it. Agents are asked each 100 ms.
const ENTRY_TTL: Duration = Duration::from_millis(500);

/// How long an entry that failed to answer is passed over.
const AVOID_DURATION: Duration = Duration::from_secs(3);

/// How long an entry whose knowledge was too old counts as behind. Until then others are asked too.
const BEHIND_DURATION: Duration = Duration::from_secs(3);

/// How long agents take to name entries after they were asked first. Entries that start together ask 100 ms
/// apart at most, and the answer to the second question names all of them.
const POLL_ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Neighbours that are asked, one after the other, before the registry is. Those that are behind say
/// so at once; one in three reads the registry unless most are cut off from it.
const MAX_CANDIDATES: usize = 3;

#[derive(Debug, Default)]
struct KnownEntries {
    named: BTreeMap<SocketAddr, BootTime>,
    avoided: BTreeMap<SocketAddr, BootTime>,
    behind: BTreeMap<SocketAddr, BootTime>,
    /// The seed that is read from until agents name the entries of the data centre.
    seed: Option<SocketAddr>,
}

impl KnownEntries {
    fn prune(&mut self, now: BootTime) {
        self.named.retain(|_, at| now.since(*at) <= ENTRY_TTL);
        self.avoided.retain(|_, until| *until > now);
        self.behind.retain(|_, until| *until > now);
    }

    /// Returns the neighbours that come before `own` and answer, in order.
    fn preceding(&self, own: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let named = self.named.keys().copied().take_while(move |it| *it < own);
        named.filter(|it| !self.avoided.contains_key(it))
    }
}

/// Which entry of the data centre reads the registry for the others: the one whose address comes
/// first among those that agents name.
#[derive(Debug)]
pub struct Neighbours {
    own: SocketAddr,
    known: Mutex<KnownEntries>,
    has_named_entries: watch::Sender<bool>,
    /// Agents were asked, which may name neighbours.
    has_polled: watch::Sender<bool>,
}

impl Neighbours {
    /// Makes the neighbours of the entry at `own`, which knows of no other yet.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            known: Mutex::default(),
            has_named_entries: watch::Sender::new(false),
            has_polled: watch::Sender::new(false),
        }
    }

    /// Makes the neighbours of a process that never reads for others, and so always comes last.
    pub fn for_non_reader() -> Self {
        Self::new(SocketAddr::from(([255, 255, 255, 255], u16::MAX)))
    }

    /// Takes the entries that an agent was asked by lately.
    pub fn note_entries(&self, entries: &[SocketAddr], now: BootTime) {
        // An entry that doesn't know its own address can't tell itself from the others.
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

    /// Takes a seed that has answered: it is read from until agents name the entries of the data centre.
    pub fn set_seed(&self, seed: SocketAddr) {
        let mut known = self.lock();
        if !*self.has_named_entries.borrow() {
            known.seed = Some(seed);
        }
    }

    /// Takes that agents of the data centre are asked from now on.
    pub fn note_agents_polled(&self) {
        self.has_polled
            .send_if_modified(|has_polled| !std::mem::replace(has_polled, true));
    }

    /// Waits until an agent has named entries: for as long as agents take to answer, once they are asked,
    /// and for `limit` at most.
    pub(crate) async fn wait_for_entries(&self, limit: Duration) {
        let mut has_named_entries = self.has_named_entries.subscribe();
        let mut has_polled = self.has_polled.subscribe();
        let unanswered_poll = async {
            // The sender lives as long as the neighbours.
            let _ = has_polled.wait_for(|has_polled| *has_polled).await;
            tokio::time::sleep(POLL_ANSWER_TIMEOUT).await;
        };
        let named = async {
            tokio::select! {
                _ = has_named_entries.wait_for(|has_named_entries| *has_named_entries) => {}
                () = unanswered_poll => {}
            }
        };
        // Without a word there may be no neighbours.
        let _ = tokio::time::timeout(limit, named).await;
    }

    /// Passes over a neighbour for a while; returns whether it was not passed over before.
    pub fn note_silent(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self
            .lock()
            .avoided
            .insert(neighbour, now.plus(AVOID_DURATION));
        before.is_none_or(|until| until < now)
    }

    /// Takes that what a neighbour knows is too old; returns whether it was not behind before.
    pub fn note_behind(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self
            .lock()
            .behind
            .insert(neighbour, now.plus(BEHIND_DURATION));
        before.is_none_or(|until| until < now)
    }

    /// Returns the neighbours to read from, in the order in which they are to be asked; none if this
    /// entry reads the registry itself.
    ///
    /// The first is asked even if it was behind lately: it asks the registry most often.
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

    /// Returns the entry that reads `key` for its data centre, which may be this one: the first by
    /// rendezvous rank of those that are there, so that several matters are shared among them.
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

    /// Returns how many neighbours come before this entry.
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
