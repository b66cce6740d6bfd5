//! The fold of the stream `orders`: who may run an order that runs at most once.

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

/// How many windows claims are remembered for. The second is a reserve: one would do.
const RETENTION_WINDOWS: u32 = 2;

/// How far the log's clock may step back. More could hide claims from a fold that starts later.
const MAX_CLOCK_STEP_BACK: Duration = Duration::from_secs(60);

/// Who holds a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ClaimView<'a> {
    /// The one request that may run the order.
    pub request: &'a RequestId,
    /// Entry that made the claim.
    pub holder: &'a VmId,
    /// Start of the entry that made it.
    pub incarnation: Incarnation,
    /// Offset of the claim's record.
    pub offset: Offset,
    /// The holder never dispatched the order; the key can be claimed again.
    pub released: bool,
}

#[derive(Clone, Debug)]
struct Claim {
    claimant: Claimant,
    offset: Offset,
    released: bool,
}

/// What the fold has not seen of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unseen {
    /// Nothing: it read from the first record on.
    Nothing,
    /// Records lapsed, all of them older than the one that is read next.
    BeforeNext,
    /// Records lapsed that may hold claims on keys up to these seconds.
    KeysUpTo(u64),
}

/// Who holds which key, from the records of the stream `orders`.
///
/// Invariant: a key once won is never won by another claimant, unless its holder itself released
/// it. While a claim is remembered it is in the way of every other. It is forgotten when the log's
/// time has passed the key's own seconds by two windows, and a claim is void when the log's time
/// has passed them by one. The log's time never goes back, so a forgotten key can't be won again.
#[derive(Clone, Debug)]
pub struct OrderFold {
    window: Duration,
    applied: Offset,
    /// Latest time of a record so far. A record that says an earlier time counts as this one.
    time: SystemTime,
    claims: BTreeMap<ServiceName, BTreeMap<Key, Claim>>,
    held: BTreeMap<Claimant, (ServiceName, Key)>,
    releases: Releases,
    unseen: Unseen,
    cursor: Cursor,
}

impl OrderFold {
    /// Makes a fold that has applied nothing. `window` is how long keys are honoured.
    ///
    /// Entries with different windows are safe together: each goes by its own for what it
    /// dispatches, and a key that is void for one when first claimed stays void for it.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            applied: 0,
            time: SystemTime::UNIX_EPOCH,
            claims: BTreeMap::new(),
            held: BTreeMap::new(),
            releases: Releases::default(),
            unseen: Unseen::Nothing,
            cursor: Cursor::default(),
        }
    }

    /// Applies the record `data` that the log keeps at `offset` since `at`.
    ///
    /// A record that was applied before is passed over.
    ///
    /// # Errors
    ///
    /// Returns a [`FoldStop`] if the record is not the next one or can't be read, and the same
    /// one for every record after that.
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

    /// Checks the end of the log, as [`ConfigFold::check_head`](crate::ConfigFold::check_head).
    ///
    /// # Errors
    ///
    /// Returns [`FoldStop::Shorter`] if the log ends before `applied`, or the stop that was there
    /// before.
    pub fn check_head(&mut self, applied: Offset, next: Offset) -> Result<(), FoldStop> {
        self.cursor.check_head(applied, next)
    }

    /// Starts over from the oldest record that the log keeps, because it has lapsed the next one.
    ///
    /// Keys that may have been claimed in what lapsed are void for this fold from then on. No
    /// honoured key is among them as long as the log keeps records longer than the window.
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

    /// Returns the offset to read first when the log is back after an outage, as
    /// [`ConfigFold::resume_from`](crate::ConfigFold::resume_from).
    pub fn resume_from(&self) -> Offset {
        self.cursor.resume_from(self.next())
    }

    /// Returns why the fold has stopped, if it has.
    pub fn stop(&self) -> Option<&FoldStop> {
        self.cursor.stop()
    }

    /// Returns who holds `key` of `service`.
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

    /// Checks at `now` whether it is worth claiming `key`.
    ///
    /// # Errors
    ///
    /// Returns the [`KeyProblem`].
    pub fn check_key(&self, key: &str, now: SystemTime) -> Result<(), KeyProblem> {
        let key = Key::parse(key)?;
        key.check_age(now, self.window)?;
        self.check_seen(&key)
    }

    /// Returns how many claims are remembered.
    pub fn len(&self) -> usize {
        self.claims.values().map(BTreeMap::len).sum()
    }

    /// Says whether no claim is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns about how many bytes the claims and releases take up, without what the allocator
    /// and the maps add.
    pub fn approx_bytes(&self) -> usize {
        let claims = self.claims.values().flatten();
        let claims: usize = claims
            .map(|(key, claim)| approx_claim_bytes(key, claim))
            .sum();
        let held = self.held.iter();
        let held: usize = held
            .map(|(claimant, (service, key))| {
                let texts = service.len() + key.text.len();
                claimant.approx_bytes() + size_of::<(ServiceName, Key)>() + texts
            })
            .sum();
        claims + held + self.releases.approx_bytes()
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

    /// Moves the log's time on and forgets what it has passed.
    fn advance(&mut self, at: SystemTime) {
        self.time = self.time.max(at);
        if self.unseen == Unseen::BeforeNext {
            // What lapsed is older than this record, unless the log's clock stepped back, and a
            // key lies at most the skew ahead of the record that claims it.
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
                self.held.remove(&entry.remove().claimant);
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

    /// Gives the free key to the claimant.
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
        self.held
            .insert(claimant.clone(), (service.clone(), parsed));
        match seen {
            Ok(()) => OrderApplied::Won {
                service,
                key,
                claimant,
            },
            // For folds that have seen more it may be won. Only this one must not dispatch it.
            Err(problem) => OrderApplied::Void {
                service,
                key,
                claimant,
                problem,
            },
        }
    }

    fn release(&mut self, claimant: Claimant) -> OrderApplied {
        // Noted even if it held nothing: a copy of its claim may still be on its way to the log.
        self.releases.insert(self.time, claimant.clone());
        let Some((service, key)) = self.held.remove(&claimant) else {
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

    /// Checks a claim's key against the time of the claim's record. The invariant rests on this
    /// being the log's time and not the claimant's, which may have been paused in between.
    fn check_claim(&self, key: &str) -> Result<Key, KeyProblem> {
        let key = Key::parse(key)?;
        key.check_age(self.time, self.window)?;
        Ok(key)
    }

    fn check_seen(&self, key: &Key) -> Result<(), KeyProblem> {
        match self.unseen {
            Unseen::KeysUpTo(seconds) if key.seconds <= seconds => Err(KeyProblem::Unseen),
            // Until the first record is read nothing is known of the time of what lapsed.
            Unseen::BeforeNext => Err(KeyProblem::Unseen),
            _ => Ok(()),
        }
    }
}

fn approx_claim_bytes(key: &Key, claim: &Claim) -> usize {
    let texts = claim.claimant.approx_bytes() - size_of::<Claimant>();
    size_of::<Key>() + key.text.len() + size_of::<Claim>() + texts
}
