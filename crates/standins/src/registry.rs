//! A registry in memory that can be away; it is handed over as it is, without a protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use wagtailreel_fleet::{
    BootTime, Change, Directory, Era, Keyed, NamedWeights, Page, Position, Registry, RegistryError,
    Snapshot, Topic, Upstream, UpstreamState,
};

/// What happens to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum CallFate {
    #[default]
    Answered,
    /// Calls are answered once this ends.
    Held,
    /// Calls are never answered, also once this has ended.
    Lost,
}

#[derive(Debug, Default)]
struct Log {
    era: Era,
    records: Vec<(Topic, Change)>,
}

#[derive(Debug, Default)]
struct Inner {
    log: Mutex<Log>,
    is_away: AtomicBool,
    delay_ms: AtomicU64,
    page_len: AtomicUsize,
    hides_era: AtomicBool,
    /// The newest era of which a client was told.
    known_era: AtomicU64,
    handed: AtomicUsize,
    calls: AtomicUsize,
    refused: watch::Sender<BTreeMap<Topic, u64>>,
    changed: Notify,
    fate: watch::Sender<CallFate>,
}

/// A registry in memory.
#[derive(Clone, Debug, Default)]
pub struct RegistryStandin {
    inner: Arc<Inner>,
}

impl RegistryStandin {
    /// Puts a configuration in force.
    pub fn config(&self, directory: Directory) {
        self.push(Topic::Settings, Change::Config(Box::new(directory)));
    }

    /// Names weights that are to be served.
    pub fn weights(&self, weights: NamedWeights) {
        self.push(Topic::Settings, Change::Weights(weights));
    }

    /// Evacuates `data_centre`, or withdraws that.
    pub fn evacuate(&self, data_centre: &str, is_evacuated: bool) {
        let data_centre = data_centre.to_owned();
        let change = Change::Evacuation {
            data_centre,
            is_evacuated,
        };
        self.push(Topic::Settings, change);
    }

    /// Appends a record of the settings.
    pub fn setting(&self, change: Change) {
        self.push(Topic::Settings, change);
    }

    /// Appends a record of the upstreams.
    pub fn upstream(&self, change: Change) {
        self.push(Topic::Upstreams, change);
    }

    /// Names no era in any answer, which then count as of the newest era of which a client was told.
    pub fn hide_era(&self) {
        self.inner.hides_era.store(true, Ordering::SeqCst);
    }

    /// Makes every call fail, or none.
    pub fn set_away(&self, is_away: bool) {
        self.inner.is_away.store(is_away, Ordering::SeqCst);
        self.inner.changed.notify_waiters();
    }

    /// Holds all answers back, or none.
    pub fn set_holding(&self, is_holding: bool) {
        self.set_fate(is_holding, CallFate::Held);
    }

    /// Loses all calls that are made or in progress, or answers new calls again.
    pub fn set_losing(&self, is_losing: bool) {
        self.set_fate(is_losing, CallFate::Lost);
    }

    fn set_fate(&self, is_set: bool, fate: CallFate) {
        let fate = if is_set { fate } else { CallFate::Answered };
        self.inner.fate.send_replace(fate);
    }

    /// Returns the answer of `call`. An answer that is held back for longer than `limit` after the call, or
    /// lost, is a time-out; one that is only slow is not, as if its data kept arriving.
    async fn answer_within<F, T>(&self, limit: Duration, call: F) -> Result<T, RegistryError>
    where
        F: Future<Output = Result<T, RegistryError>>,
    {
        let deadline = tokio::time::Instant::now() + limit;
        let answer = async {
            let answer = call.await;
            let released = self.until_fate(|fate| *fate != CallFate::Held);
            let released = tokio::time::timeout_at(deadline, released).await;
            released.is_ok().then_some(answer)
        };
        let answer = tokio::select! {
            biased;
            () = self.until_fate(|fate| *fate == CallFate::Lost) => {
                tokio::time::sleep_until(deadline).await;
                None
            }
            answer = answer => answer,
        };
        let reason = "no answer in time".to_owned();
        answer.unwrap_or(Err(RegistryError::Unreachable { reason }))
    }

    async fn until_fate<F>(&self, is_wanted: F)
    where
        F: FnMut(&CallFate) -> bool,
    {
        let mut fate = self.inner.fate.subscribe();
        // The sender lives as long as the registry.
        let _ = fate.wait_for(is_wanted).await;
    }

    /// Makes every answer take `delay` longer.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.inner.delay_ms.store(ms, Ordering::SeqCst);
    }

    async fn delay(&self) {
        let ms = self.inner.delay_ms.load(Ordering::SeqCst);
        if ms > 0 {
            tokio::time::sleep(Duration::from_millis(ms)).await;
        }
    }

    /// Makes an answer hold at most `records`, or all if it is 0.
    pub fn set_page_len(&self, records: usize) {
        self.inner.page_len.store(records, Ordering::SeqCst);
    }

    /// Returns how many records were handed out.
    pub fn handed(&self) -> usize {
        self.inner.handed.load(Ordering::SeqCst)
    }

    /// Returns how many calls were made.
    pub fn calls(&self) -> usize {
        self.inner.calls.load(Ordering::SeqCst)
    }

    /// Waits until a read of `topic` was refused from now on.
    pub async fn until_refused(&self, topic: Topic) {
        let mut refused = self.inner.refused.subscribe();
        let count = |refused: &BTreeMap<Topic, u64>| refused.get(&topic).copied();
        let before = count(&refused.borrow_and_update());
        // The sender lives as long as the registry.
        let _ = refused.wait_for(|now| count(now) > before).await;
    }

    /// Comes back from an older copy that lacks the last `records` records; their offsets are given out again.
    pub fn restore(&self, records: usize) {
        let mut log = self.log();
        let left = log.records.len().saturating_sub(records);
        log.records.truncate(left);
        log.era += 1;
        drop(log);
        self.inner.changed.notify_waiters();
    }

    fn push(&self, topic: Topic, change: Change) {
        self.log().records.push((topic, change));
        self.inner.changed.notify_waiters();
    }

    fn check(&self, topic: Topic) -> Result<(), RegistryError> {
        if self.inner.is_away.load(Ordering::SeqCst) {
            let refused = &self.inner.refused;
            refused.send_modify(|refused| *refused.entry(topic).or_default() += 1);
            let reason = "told to be away".to_owned();
            return Err(RegistryError::Unreachable { reason });
        }
        Ok(())
    }

    fn log(&self) -> MutexGuard<'_, Log> {
        let log = self.inner.log.lock();
        log.unwrap_or_else(PoisonError::into_inner)
    }

    /// Cuts a page to what one answer holds.
    fn page(&self, mut items: Vec<Keyed>, end: Position, as_of: BootTime) -> Page {
        let most = self.inner.page_len.load(Ordering::SeqCst);
        let mut next = end;
        if most > 0 && items.len() > most {
            items.truncate(most);
            next = items.last().map_or(end, |last| last.position.following());
        }
        self.note_handed(items.len());
        Page {
            items,
            next,
            end,
            as_of,
            is_relayed: false,
        }
    }

    fn note_handed(&self, records: usize) {
        self.inner.handed.fetch_add(records, Ordering::SeqCst);
    }

    fn from(&self, topic: Topic, from: u64) -> (Vec<Keyed>, Position) {
        let log = self.log();
        let era = if self.inner.hides_era.load(Ordering::SeqCst) {
            self.inner.known_era.load(Ordering::SeqCst)
        } else {
            log.era
        };
        let all = log.records.iter().zip(0..);
        let items = all
            .filter(|((of, _), offset)| *of == topic && *offset >= from)
            .map(|((_, change), offset)| Keyed {
                position: Position::new(era, offset),
                change: change.clone(),
            });
        (
            items.collect(),
            Position::new(era, log.records.len() as u64),
        )
    }
}

impl Registry for RegistryStandin {
    async fn newest(&self, topic: Topic, timeout: Duration) -> Result<Snapshot, RegistryError> {
        self.inner.calls.fetch_add(1, Ordering::SeqCst);
        self.answer_within(timeout, self.answer_newest(topic)).await
    }

    async fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Page, RegistryError> {
        self.inner.calls.fetch_add(1, Ordering::SeqCst);
        let answer = self.answer_read(topic, from, wait);
        self.answer_within(wait + timeout, answer).await
    }

    fn note_era(&self, era: Era) {
        self.inner.known_era.fetch_max(era, Ordering::SeqCst);
    }
}

impl RegistryStandin {
    async fn answer_newest(&self, topic: Topic) -> Result<Snapshot, RegistryError> {
        let sent = BootTime::now();
        self.delay().await;
        self.check(topic)?;
        let (items, end) = self.from(topic, 0);
        let items = newest_of_each(items);
        self.note_handed(items.len());
        Ok(Snapshot {
            items,
            end,
            as_of: sent,
            is_relayed: false,
        })
    }

    async fn answer_read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> Result<Page, RegistryError> {
        let sent = BootTime::now();
        self.note_era(from.era);
        let deadline = tokio::time::Instant::now() + wait;
        let (items, end, as_of) = loop {
            let changed = self.inner.changed.notified();
            self.check(topic)?;
            let (items, end) = self.from(topic, from.offset);
            if from.era < end.era {
                return Err(RegistryError::Restored { era: end.era });
            }
            if from > end {
                return Err(RegistryError::Expired { first: 0 });
            }
            if !items.is_empty() {
                break (items, end, sent);
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                break (items, end, sent.plus(wait));
            }
        };
        self.delay().await;
        Ok(self.page(items, end, as_of))
    }
}

/// Keeps the newest record of each key.
fn newest_of_each(items: Vec<Keyed>) -> Vec<Keyed> {
    let key = |item: &Keyed| match &item.change {
        Change::Config(_) => "config".to_owned(),
        Change::Weights(weights) => format!("weights/{}", weights.model),
        Change::Upstream(upstream) => format!("upstream/{}", upstream.id),
        Change::Gone(id) => format!("upstream/{id}"),
        Change::Evacuation { data_centre, .. }
        | Change::UnreadableEvacuation { data_centre, .. } => format!("evacuate/{data_centre}"),
        Change::Unreadable { key, .. } => key.clone(),
    };
    let newest: BTreeMap<String, Keyed> = items.into_iter().map(|it| (key(&it), it)).collect();
    let mut items: Vec<Keyed> = newest.into_values().collect();
    items.retain(|item| {
        let is_deleted = matches!(
            item.change,
            Change::Gone(_)
                | Change::Evacuation {
                    is_evacuated: false,
                    ..
                }
        );
        !is_deleted
    });
    items.sort_by_key(|item| item.position);
    items
}

/// Returns the record of an upstream that is ready and holds no weights.
pub fn ready_upstream(id: &str) -> Change {
    Change::Upstream(Box::new(Upstream {
        id: id.to_owned(),
        started: 0,
        service: "scribes".to_owned(),
        addr: SocketAddr::from(([10, 0, 0, 1], 80)),
        data_centre: "hall".to_owned(),
        slots: 4,
        state: UpstreamState::Ready,
        warmup_left: Duration::ZERO,
        models: Vec::new(),
    }))
}
