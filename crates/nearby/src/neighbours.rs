//! Which entry of the data centre reads the registry for the others.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use wagtailreel_fleet::BootTime;

/// How long an entry counts as there after an agent named it. Agents are asked each 100 ms.
const NAMED_FOR: Duration = Duration::from_millis(500);

/// How long an entry that failed to answer is passed over.
const AVOIDED_FOR: Duration = Duration::from_secs(3);

#[derive(Debug, Default)]
struct Seen {
    named: BTreeMap<SocketAddr, BootTime>,
    avoided: BTreeMap<SocketAddr, BootTime>,
}

/// Which entry of the data centre reads the registry for the others: the one whose address comes
/// first among those that agents name.
#[derive(Debug)]
pub struct Neighbours {
    own: SocketAddr,
    seen: Mutex<Seen>,
    was_named: watch::Sender<bool>,
}

impl Neighbours {
    /// Makes the neighbours of the entry at `own`, which knows of no other yet.
    pub fn new(own: SocketAddr) -> Self {
        Self {
            own,
            seen: Mutex::default(),
            was_named: watch::Sender::new(false),
        }
    }

    /// Makes the neighbours of a process that never reads for others, and so always comes last.
    pub fn of_a_guest() -> Self {
        Self::new(SocketAddr::from(([255, 255, 255, 255], u16::MAX)))
    }

    /// Takes the entries that an agent was asked by lately.
    pub fn hear(&self, entries: &[SocketAddr], now: BootTime) {
        // An entry that doesn't know its own address can't tell itself from the others.
        if entries.is_empty() || self.own.ip().is_unspecified() {
            return;
        }
        let mut seen = self.lock();
        for entry in entries.iter().filter(|entry| **entry != self.own) {
            seen.named.insert(*entry, now);
        }
        self.was_named.send_replace(true);
    }

    /// Waits until an agent has named entries, and for `limit` at most.
    pub(crate) async fn until_named(&self, limit: Duration) {
        let mut was_named = self.was_named.subscribe();
        // The sender lives as long as the neighbours; without a word there may be none.
        let _ = tokio::time::timeout(limit, was_named.wait_for(|was_named| *was_named)).await;
    }

    /// Passes over a neighbour for a while; returns whether it was not passed over before.
    pub fn avoid(&self, neighbour: SocketAddr, now: BootTime) -> bool {
        let before = self.lock().avoided.insert(neighbour, now.plus(AVOIDED_FOR));
        before.is_none_or(|until| until < now)
    }

    /// Returns the neighbour to read from, none if this entry reads the registry itself.
    pub fn reader(&self, now: BootTime) -> Option<SocketAddr> {
        let mut seen = self.lock();
        seen.named.retain(|_, at| now.since(*at) <= NAMED_FOR);
        seen.avoided.retain(|_, until| *until > now);
        let mut named = seen.named.keys();
        let first = named.find(|addr| !seen.avoided.contains_key(addr))?;
        (*first < self.own).then_some(*first)
    }

    fn lock(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
