//! The fold of the stream `orders`: decides which request may run an order that runs at most once.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use serde::Serialize;
use serde_json::Value;
use wagtailreel_core::{Incarnation, Offset, OrderKey, OrderRecord, RequestId, ServiceName, VmId};

use crate::codec::decode;
use crate::cursor::{Cursor, record_digest};
use crate::keys::{Key, KeyProblem, MAX_KEY_SKEW, unix_seconds};
use crate::order_applied::OrderApplied;
use crate::releases::{Claimant, Releases};
use crate::stop::{FoldStop, UnknownFormatSnafu};

/// Number of windows for which claims are kept. One window is sufficient; the second is a safety margin.
const RETENTION_WINDOWS: u32 = 2;

/// Maximum step back of the log's clock. A larger step could hide claims from a fold that starts later.
const MAX_CLOCK_STEP_BACK: Duration = Duration::from_secs(60);

/// Claim that holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimView<'a> {
    /// The only request that may run the order.
    pub request: &'a RequestId,
    /// Entry that made the claim.
    pub holder: &'a VmId,
    /// Incarnation of the entry that made the claim.
    pub incarnation: Incarnation,
    /// Offset of the claim's record.
    pub offset: Offset,
    /// Whether the holder released the claim without dispatching the order. The key can then be
    /// claimed again.
    pub released: bool,
}

#[derive(Clone, Debug)]
struct Claim {
    claimant: Claimant,
    offset: Offset,
    released: bool,
}

/// Records of the stream that the log dropped before the fold could read them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unseen {
    /// None: the fold has read the stream from the first record on.
    Nothing,
    /// Records were dropped, all of them older than the next record to read.
    BeforeNext,
    /// Records were dropped that may contain claims on keys up to these Unix seconds.
    KeysUpTo(u64),
}

/// Holders of keys, from the records of the stream `orders`.
///
/// Invariant: a key that was won is never won by another claimant, unless its holder released it. A
/// claim that is kept blocks every other claim on its key. It is removed when the log's time has
/// passed the seconds of the key by two windows, and a new claim is void when the log's time has
/// passed them by one. The log's time never goes back, so a removed key can't be won again.
#[derive(Clone, Debug)]
pub struct OrderFold {
    window: Duration,
    applied: Offset,
    /// Latest time of a record so far. A record with an earlier time is treated as having this time.
    time: SystemTime,
    claims: BTreeMap<ServiceName, BTreeMap<Key, Claim>>,
    keys_by_claimant: BTreeMap<Claimant, (ServiceName, Key)>,
    releases: Releases,
    unseen: Unseen,
    cursor: Cursor,
}

impl OrderFold {
    /// Makes a fold that has applied nothing. `window` is the time for which keys are accepted.
    ///
    /// Entries may use different windows safely: each entry uses its own window for the orders that
    /// it dispatches, and a key that is void for an entry at the first claim stays void for it.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            applied: 0,
            time: SystemTime::UNIX_EPOCH,
            claims: BTreeMap::new(),
            keys_by_claimant: BTreeMap::new(),
            releases: Releases::default(),
            unseen: Unseen::Nothing,
            cursor: Cursor::default(),
        }
    }

    /// Applies the record `data`, which was appended to the log at `offset` at the time `at`.
    ///
    /// A record that was applied before is ignored.
    ///
    /// # Errors
    ///
    /// Returns a [`FoldStop`] if the record is not the next one or can't be read. All later calls
    /// return the same stop.
    pub fn apply(
        &mut self,
        offset: Offset,
        at: SystemTime,
        data: &Value,
    ) -> Result<Vec<OrderApplied>, FoldStop> {
        self.cursor.check_running()?;
        let applied = self.apply_next(offset, at, data);
        self.cursor.record_stop(applied)
    }

    /// Checks the end of the log, like [`ConfigFold::check_head`](crate::ConfigFold::check_head).
    ///
    /// # Errors
    ///
    /// Returns [`FoldStop::Shorter`] if the log ends before `applied`, or the earlier stop if the fold
    /// has already stopped.
    pub fn check_head(&mut self, applied: Offset, next: Offset) -> Result<(), FoldStop> {
        self.cursor.check_head(applied, next)
    }

    /// Continues from `first`, the oldest record that the log keeps, after the log has dropped the
    /// next one.
    ///
    /// Keys that may have been claimed in the dropped records are void for this fold from then on.
    /// No key within the window is among them as long as the log keeps records longer than the
    /// window.
    pub fn start_from(&mut self, first: Offset) {
        if first > self.next() {
            self.applied = first - 1;
            self.unseen = Unseen::BeforeNext;
        }
    }

    /// Returns the offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.applied
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        self.applied + 1
    }

    /// Returns the offset to read first after an outage of the log, like
    /// [`ConfigFold::resume_from`](crate::ConfigFold::resume_from).
    pub fn resume_from(&self) -> Offset {
        self.cursor.resume_from(self.next())
    }

    /// Returns why the fold has stopped, if it has.
    pub fn stop(&self) -> Option<&FoldStop> {
        self.cursor.stop()
    }

    /// Returns the claim that holds `key` of `service`.
    pub fn holder_of(&self, service: &str, key: &str) -> Option<ClaimView<'_>> {
        let key = Key::parse(key).ok()?;
        let claim = self.claims.get(service)?.get(&key)?;
        Some(ClaimView {
            request: &claim.claimant.request,
            holder: &claim.claimant.holder,
            incarnation: claim.claimant.incarnation,
            offset: claim.offset,
            released: claim.released,
        })
    }

    /// Checks at `now` that a claim on `key` would not be void for this fold.
    ///
    /// # Errors
    ///
    /// Returns a [`KeyProblem`] if the claim would be void.
    pub fn check_key(&self, key: &str, now: SystemTime) -> Result<(), KeyProblem> {
        let key = Key::parse(key)?;
        key.check_age(now, self.window)?;
        self.check_seen(&key)
    }

    /// Returns the number of claims that are kept.
    pub fn len(&self) -> usize {
        self.claims.values().map(BTreeMap::len).sum()
    }

    /// Returns whether no claim is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the approximate memory use of the claims and releases in bytes, without the overhead
    /// of the allocator and the maps.
    pub fn approx_bytes(&self) -> usize {
        let claims = self.claims.values().flatten();
        let claims: usize = claims
            .map(|(key, claim)| approx_claim_bytes(key, claim))
            .sum();
        let keys = self.keys_by_claimant.iter();
        let keys: usize = keys
            .map(|(claimant, (service, key))| {
                let texts = service.len() + key.text.len();
                claimant.approx_bytes() + size_of::<(ServiceName, Key)>() + texts
            })
            .sum();
        claims + keys + self.releases.approx_bytes()
    }

    fn apply_next(
        &mut self,
        offset: Offset,
        at: SystemTime,
        data: &Value,
    ) -> Result<Vec<OrderApplied>, FoldStop> {
        if !self.cursor.check_offset(self.next(), offset, data)? {
            return Ok(Vec::new());
        }
        let record: OrderRecord = match decode(data) {
            Ok(record) => record,
            Err(e) => {
                let why = e.to_string();
                return UnknownFormatSnafu { offset, why }.fail();
            }
        };
        self.applied = offset;
        self.cursor.advance(offset, record_digest(data));
        self.advance(at);
        Ok(self.apply_record(offset, record))
    }

    /// Advances the log's time and removes expired claims and releases.
    fn advance(&mut self, at: SystemTime) {
        self.time = self.time.max(at);
        if self.unseen == Unseen::BeforeNext {
            // The dropped records are older than this one, unless the log's clock stepped back, and
            // a key lies at most `MAX_KEY_SKEW` ahead of the record that claims it.
            let ahead = MAX_CLOCK_STEP_BACK + MAX_KEY_SKEW;
            self.unseen = Unseen::KeysUpTo(unix_seconds(self.time) + ahead.as_secs());
        }
        let kept = self.window * RETENTION_WINDOWS;
        self.releases.prune(self.time, kept);
        let oldest = Key {
            seconds: unix_seconds(self.time).saturating_sub(kept.as_secs()),
            text: String::new(),
        };
        for claims in self.claims.values_mut() {
            while let Some(entry) = claims.first_entry().filter(|entry| *entry.key() < oldest) {
                self.keys_by_claimant.remove(&entry.remove().claimant);
            }
        }
        self.claims.retain(|_, claims| !claims.is_empty());
    }

    fn apply_record(&mut self, offset: Offset, record: OrderRecord) -> Vec<OrderApplied> {
        match record {
            OrderRecord::Claims {
                holder,
                incarnation,
                claims,
            } => claims
                .into_iter()
                .map(|claim| {
                    let claimant = Claimant {
                        holder: holder.clone(),
                        incarnation,
                        request: claim.request,
                    };
                    self.claim(offset, claim.service, claim.key, claimant)
                })
                .collect(),
            OrderRecord::Releases {
                holder,
                incarnation,
                requests,
            } => requests
                .into_iter()
                .map(|request| {
                    self.release(Claimant {
                        holder: holder.clone(),
                        incarnation,
                        request,
                    })
                })
                .collect(),
        }
    }

    fn claim(
        &mut self,
        offset: Offset,
        service: ServiceName,
        key: OrderKey,
        claimant: Claimant,
    ) -> OrderApplied {
        let parsed = match self.check_claim(&key) {
            Ok(parsed) => parsed,
            Err(problem) => {
                return OrderApplied::Void {
                    service,
                    key,
                    claimant,
                    problem,
                };
            }
        };
        if self.releases.contains(&claimant) {
            return OrderApplied::GivenUp {
                service,
                key,
                claimant,
            };
        }
        let claims = self.claims.entry(service.clone()).or_default();
        if let Some(claim) = claims.get(&parsed).filter(|claim| !claim.released) {
            let holder = claim.claimant.clone();
            if holder == claimant {
                return OrderApplied::Repeated {
                    service,
                    key,
                    claimant,
                };
            }
            return OrderApplied::Lost {
                service,
                key,
                claimant,
                holder,
            };
        }
        self.grant(offset, service, key, parsed, claimant)
    }

    /// Assigns the free key to the claimant.
    fn grant(
        &mut self,
        offset: Offset,
        service: ServiceName,
        key: OrderKey,
        parsed: Key,
        claimant: Claimant,
    ) -> OrderApplied {
        let claim = Claim {
            claimant: claimant.clone(),
            offset,
            released: false,
        };
        let seen = self.check_seen(&parsed);
        let claims = self.claims.entry(service.clone()).or_default();
        claims.insert(parsed.clone(), claim);
        self.keys_by_claimant
            .insert(claimant.clone(), (service.clone(), parsed));
        match seen {
            Ok(()) => OrderApplied::Won {
                service,
                key,
                claimant,
            },
            // The claim may have won in folds that read the dropped records, so it is stored; this
            // entry must not dispatch the order.
            Err(problem) => OrderApplied::Void {
                service,
                key,
                claimant,
                problem,
            },
        }
    }

    fn release(&mut self, claimant: Claimant) -> OrderApplied {
        // Recorded even if the claimant holds no key, because its claim may still reach the log later.
        self.releases.insert(self.time, claimant.clone());
        let Some((service, key)) = self.keys_by_claimant.remove(&claimant) else {
            return OrderApplied::ReleaseIgnored { claimant };
        };
        let claims = self.claims.get_mut(&service);
        if let Some(claim) = claims.and_then(|claims| claims.get_mut(&key)) {
            claim.released = true;
        }
        let key = format!("{}.{}", key.seconds, key.text);
        OrderApplied::Released {
            service,
            key,
            claimant,
        }
    }

    /// Checks a claim's key against the time of the claim's record. The invariant requires the log's
    /// time and not the claimant's, because the claimant may have been suspended in between.
    fn check_claim(&self, key: &str) -> Result<Key, KeyProblem> {
        let key = Key::parse(key)?;
        key.check_age(self.time, self.window)?;
        Ok(key)
    }

    fn check_seen(&self, key: &Key) -> Result<(), KeyProblem> {
        match self.unseen {
            Unseen::KeysUpTo(seconds) if key.seconds <= seconds => Err(KeyProblem::Unseen),
            // The time of the dropped records is unknown until the first record is read.
            Unseen::BeforeNext => Err(KeyProblem::Unseen),
            _ => Ok(()),
        }
    }
}

fn approx_claim_bytes(key: &Key, claim: &Claim) -> usize {
    let texts = claim.claimant.approx_bytes() - size_of::<Claimant>();
    size_of::<Key>() + key.text.len() + size_of::<Claim>() + texts
}
