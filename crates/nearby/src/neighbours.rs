//! Which entry of the data centre reads the registry for the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_core::first_ranked;
use wagtailreel_fleet::BootTime;

/// How long an entry counts as there after an agent named it. Agents are asked each 100 ms.
const NAMED_FOR: Duration = Duration::from_millis(500);

/// How long an entry that failed to answer is passed over.
const AVOIDED_FOR: Duration = Duration::from_secs(3);

/// How long an entry whose knowledge was too old counts as behind. Until then others are asked too.
const BEHIND_FOR: Duration = Duration::from_secs(3);

/// How long agents take to name entries after they were asked first. Entries that start together ask 100 ms
/// apart at most, and the answer to the second question names all of them.
const ANSWERED_WITHIN: Duration = Duration::from_millis(250);

/// Neighbours that are asked, one after the other, before the registry is. Those that are behind say
/// so at once; one in three reads the registry unless most are cut off from it.
const MOST_ASKED: usize = 3;

#[derive(Debug, Default)]
struct Seen {
    named: BTreeMap<SocketAddr, BootTime>,
    avoided: BTreeMap<SocketAddr, BootTime>,
    behind: BTreeMap<SocketAddr, BootTime>,
    /// The seed that is read from until agents name the entries of the data centre.
    seed: Option<SocketAddr>,
}

impl Seen {
    fn forget(&mut self, now: BootTime) {
        self.named.retain(|_, at| now.since(*at) <= NAMED_FOR);
        self.avoided.retain(|_, until| *until > now);
        self.behind.retain(|_, until| *until > now);
    }

    /// Returns the neighbours that come before `own` and answer, in order.
    fn before(&self, own: SocketAddr) -> impl Iterator<Item = SocketAddr> {
        let named = self.named.keys().copied().take_while(move |it| *it < own);
        named.filter(|it| !self.avoided.contains_key(it))
    }
}

/// Which entry of the data centre reads the registry for the others: the one whose address comes
/// first among those that agents name.
#[derive(Debug)]
pub struct Neighbours {
    own: SocketAddr,
    seen: Mutex<Seen>,
    was_named: watch::Sender<bool>,
    /// Agents were asked, which may name neighbours.
    has_asked: watch::Sender<bool>,
}

impl Neighbours {
    /// Makes the neighbours of the entry at `own`, which knows of no other yet.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            seen: Mutex::default(),
            was_named: watch::Sender::new(false),
            has_asked: watch::Sender::new(false),
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
        let mut seen = self.lock();
        seen.seed = None;
        for entry in entries.iter().filter(|entry| **entry != self.own) {
            seen.named.insert(*entry, now);
        }
        self.was_named.send_replace(true);
    }

    /// Takes a seed that has answered: it is read from until agents name the entries of the data centre.
    pub fn set_seed(&self, seed: SocketAddr) {
        let mut seen = self.lock();
        if !*self.was_named.borrow() {
            seen.seed = Some(seed);
        }
    }

    /// Takes that agents of the data centre are asked from now on.
    pub fn note_agents_polled(&self) {
        self.has_asked
            .send_if_modified(|has_asked| !std::mem::replace(has_asked, true));
    }

    /// Waits until an agent has named entries: for as long as agents take to answer, once they are asked,
    /// and for `limit` at most.
    pub(crate) async fn until_named(&self, limit: Duration) {
        let mut was_named = self.was_named.subscribe();
        let mut has_asked = self.has_asked.subscribe();
        let asked_in_vain = async {
            // The sender lives as long as the neighbours.
            let _ = has_asked.wait_for(|has_asked| *has_asked).await;
            tokio::time::sleep(ANSWERED_WITHIN).await;
        };
        let named = async {
            tokio::select! {
                _ = was_named.wait_for(|was_named| *was_named) => {}
                () = asked_in_vain => {}
            }
        };
        // Without a word there may be no neighbours.
        let _ = tokio::time::timeout(limit, named).await;
    }

    /// Passes over a neighbour for a while; returns whether it was not passed over before.
    pub fn avoid(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self.lock().avoided.insert(neighbour, now.plus(AVOIDED_FOR));
        before.is_none_or(|until| until < now)
    }

    /// Takes that what a neighbour knows is too old; returns whether it was not behind before.
    pub fn behind(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self.lock().behind.insert(neighbour, now.plus(BEHIND_FOR));
        before.is_none_or(|until| until < now)
    }

    /// Returns the neighbours to read from, in the order in which they are to be asked; none if this
    /// entry reads the registry itself.
    ///
    /// The first is asked even if it was behind lately: it asks the registry most often.
    pub fn candidates(&self, now: BootTime) -> Vec<SocketAddr> {
        let mut seen = self.lock();
        seen.forget(now);
        let mut before = seen.before(self.own);
        let first = before.next();
        let others = before.filter(|it| !seen.behind.contains_key(it));
        let seed = seen.seed.filter(|it| !seen.avoided.contains_key(it));
        let named = first.into_iter().chain(others);
        named.chain(seed).take(MOST_ASKED).collect()
    }

    /// Returns the entry that reads `matter` for its data centre, which may be this one: the first by
    /// rendezvous rank of those that are there, so that several matters are shared among them.
    pub fn reader_of(&self, matter: &str, now: BootTime) -> SocketAddr {
        let mut seen = self.lock();
        seen.forget(now);
        let named = seen
            .named
            .keys()
            .filter(|it| !seen.avoided.contains_key(it));
        let all = named.copied().chain([self.own]);
        first_ranked(matter.as_bytes(), all).unwrap_or(self.own)
    }

    /// Returns how many neighbours come before this entry.
    pub fn rank(&self, now: BootTime) -> usize {
        let mut seen = self.lock();
        seen.forget(now);
        seen.before(self.own).count()
    }

    /// Returns the entry's own address.
    pub const fn own(&self) -> SocketAddr {
        self.own
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
