//! Requests under which upstreams end, told apart by their fingerprints.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_fleet::{BootTime, EndedUnder, Fingerprint, UpstreamId, UpstreamStart};

/// Upstreams that have to end under a request before it is quarantined. Whoever is on an upstream when it
/// ends is suspected with the request that ended it, and seldom a third time.
const QUARANTINED_AFTER: usize = 3;

/// Upstreams that have to end under a request before it is told to all entries, and sent to no
/// second upstream by itself.
const TOLD_AFTER: usize = 2;

/// How long the end of an upstream counts against a request: a service team has time to mend the engine
/// that the request ends.
const REMEMBERED: Duration = Duration::from_secs(3600);

/// Shortest time after the last end in which a quarantined request is tried again, doubled with each
/// further end.
const TRIED_AFTER: Duration = Duration::from_secs(60);

/// The same for a request that ran to its end here before.
const TRIED_SOON: Duration = Duration::from_secs(5);

/// Span after it over which entries begin to try, each at a time of its own: the first one finds out
/// for all of them.
const TRIED_WITHIN: Duration = Duration::from_secs(600);

/// How long a request that ran to its end is not suspected. Those that many callers send alike are under way on every upstream that ends.
const TRUSTED_FOR: Duration = Duration::from_secs(10);

/// Requests that are remembered. At 200 bytes each they take 0.8 MB of an entry.
const MOST_REQUESTS: usize = 4096;

/// Upstreams that are remembered for a request.
const MOST_ENDS: usize = 6;

/// How long word of an end may be under way: a request that was cleared is remembered for as long, so
/// that no earlier word counts against it.
const SETTLED_AFTER: Duration = Duration::from_secs(10);

/// Difference within which two words tell of the same moment.
const SLACK: Duration = Duration::from_millis(200);

/// How often a request that comes again is told of again.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// What is thought of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// It is a request like any other.
    None,
    /// Upstreams ended under it: it is not sent on to another one by itself.
    Suspected,
    /// It is sent to no upstream for that long, and then to one.
    Quarantined(Duration),
}

#[derive(Clone, Debug, Default)]
struct Account {
    /// The upstreams that ended, and when.
    ends: BTreeMap<UpstreamId, BootTime>,
    /// When it last ran to its end: no upstream that ended before counts.
    finished: Option<BootTime>,
    /// When an end was last heard of.
    heard: Option<BootTime>,
    told: Option<BootTime>,
    tried: Option<BootTime>,
}

impl Account {
    /// Keeps the latest ends that count; returns when the last one was.
    fn trim(&mut self, now: BootTime) -> Option<BootTime> {
        let finished = self.finished;
        self.ends
            .retain(|_, at| now.since(*at) <= REMEMBERED && finished.is_none_or(|it| *at > it));
        while self.ends.len() > MOST_ENDS {
            let first = self.ends.iter().min_by_key(|(_, at)| **at);
            let Some(first) = first.map(|(upstream, _)| upstream.clone()) else {
                break;
            };
            self.ends.remove(&first);
        }
        self.ends.values().max().copied()
    }

    /// Says what is thought of the request by a process that tries it again `tried_after` the third end.
    fn suspicion(&self, tried_after: Duration, now: BootTime) -> Suspicion {
        let last = self.ends.values().copied().chain(self.tried).max();
        match (self.ends.len(), last) {
            (ends @ QUARANTINED_AFTER.., Some(last)) => {
                let wait = tried_after * (1 << (ends - QUARANTINED_AFTER).min(MOST_ENDS));
                Suspicion::Quarantined(wait.saturating_sub(now.since(last)))
            }
            (TOLD_AFTER.., _) => Suspicion::Suspected,
            _ => Suspicion::None,
        }
    }

    fn last_change(&self) -> Option<BootTime> {
        self.ends.values().copied().chain(self.finished).max()
    }

    fn told(&self, fingerprint: Fingerprint, now: BootTime) -> EndedUnder {
        let ms = |at: BootTime| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let upstreams = self.ends.iter();
        EndedUnder {
            fingerprint,
            upstreams: upstreams.map(|(id, at)| (id.clone(), ms(*at))).collect(),
            finished_ms: self.finished.map(ms),
        }
    }
}

/// Requests under which upstreams ended.
///
/// Any request that was on an upstream when it ended is suspected. One that ends every upstream is found
/// out by its third; one that runs to its end is cleared. A quarantined request is tried again, seldom
/// and one at a time, for the case that it was taken for another one.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    accounts: BTreeMap<Fingerprint, Account>,
    tried_after: Duration,
    trusted: Trusted,
}

/// Requests that ran to their ends, in two generations: those that come often stay.
#[derive(Clone, Debug, Default)]
struct Trusted {
    finished: BTreeMap<Fingerprint, BootTime>,
    before: BTreeMap<Fingerprint, BootTime>,
}

impl Trusted {
    fn insert(&mut self, fingerprint: Fingerprint, now: BootTime) {
        if self.finished.len() >= MOST_REQUESTS && !self.finished.contains_key(&fingerprint) {
            self.before = std::mem::take(&mut self.finished);
        }
        self.finished.insert(fingerprint, now);
    }

    /// Returns when a request last ran to its end.
    fn last(&self, fingerprint: Fingerprint) -> Option<BootTime> {
        let last = self.finished.get(&fingerprint);
        last.or_else(|| self.before.get(&fingerprint)).copied()
    }
}

impl Quarantine {
    /// Makes the account of a process that tries requests again in its own turn: `turn` is drawn at
    /// random from 0 to 1.
    pub fn new(turn: f64) -> Self {
        Self {
            tried_after: TRIED_AFTER + TRIED_WITHIN.mul_f64(turn.clamp(0.0, 1.0)),
            ..Self::default()
        }
    }

    /// Says whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes that the start `start` of an upstream ended under a request; it counts only if the request has
    /// not run to its end lately.
    pub fn ended(
        &mut self,
        fingerprint: Fingerprint,
        id: &str,
        start: UpstreamStart,
        now: BootTime,
    ) {
        let upstream = if start == 0 {
            id.to_owned()
        } else {
            format!("{id}@{start}")
        };
        let last = self.trusted.last(fingerprint);
        if last.is_some_and(|at| now.since(at) <= TRUSTED_FOR) {
            return;
        }
        self.make_room(fingerprint);
        let account = self.accounts.entry(fingerprint).or_default();
        account.ends.entry(upstream).or_insert(now);
        account.heard = Some(now);
        account.trim(now);
    }

    /// Takes that a request ran to its end; returns whether others have to be told.
    pub fn finished(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        self.trusted.insert(fingerprint, now);
        let Some(account) = self.accounts.get_mut(&fingerprint) else {
            return false;
        };
        account.finished = Some(now);
        account.trim(now);
        self.should_report_again(fingerprint, now)
    }

    /// Returns what is thought of a request.
    pub fn suspicion(&mut self, fingerprint: Fingerprint, now: BootTime) -> Suspicion {
        let Some(account) = self.accounts.get_mut(&fingerprint) else {
            return Suspicion::None;
        };
        account.trim(now);
        let ran_before = self.trusted.last(fingerprint).is_some();
        let tried_after = if ran_before {
            TRIED_SOON
        } else {
            self.tried_after
        };
        account.suspicion(tried_after, now)
    }

    /// Returns the same for a request that has come; one that is due to be tried again is only suspected.
    pub fn admit(&mut self, fingerprint: Fingerprint, now: BootTime) -> Suspicion {
        let thought = self.suspicion(fingerprint, now);
        if thought != Suspicion::Quarantined(Duration::ZERO) {
            return thought;
        }
        if let Some(account) = self.accounts.get_mut(&fingerprint) {
            account.tried = Some(now);
        }
        Suspicion::Suspected
    }

    /// Says whether a request that comes again is to be told of again, and takes that it is.
    pub fn should_report_again(&mut self, fingerprint: Fingerprint, now: BootTime) -> bool {
        let Some(account) = self.accounts.get_mut(&fingerprint) else {
            return false;
        };
        let is_due = account.told.is_none_or(|at| now.since(at) >= TOLD_EVERY);
        if is_due {
            account.told = Some(now);
        }
        is_due
    }

    /// Takes what another process tells; returns whether that is news.
    pub fn merge(&mut self, heard: &EndedUnder, now: BootTime) -> bool {
        let ago = |ms: u32| now.minus(Duration::from_millis(ms.into()));
        self.make_room(heard.fingerprint);
        let account = self.accounts.entry(heard.fingerprint).or_default();
        account.heard.get_or_insert(now);
        let before = account.clone();
        for (upstream, ms) in &heard.upstreams {
            if !account.ends.contains_key(upstream) {
                account.ends.insert(upstream.clone(), ago(*ms));
                account.heard = Some(now);
            }
        }
        let finished = heard.finished_ms.map(ago);
        // The same end of a run is a little later each time that it is told of.
        if finished > before.finished.map(|at| at.plus(SLACK)) {
            account.finished = finished;
        }
        account.finished = account.finished.max(self.trusted.last(heard.fingerprint));
        account.trim(now);
        !account.ends.keys().eq(before.ends.keys()) || account.finished != before.finished
    }

    /// Returns what is known of a request, to be told to others.
    pub fn crash_report(&self, fingerprint: Fingerprint, now: BootTime) -> Option<EndedUnder> {
        let account = self.accounts.get(&fingerprint)?;
        Some(account.told(fingerprint, now))
    }

    /// Returns the requests that all entries are to know of, and of which something was learned within
    /// `age`.
    pub fn to_report(&mut self, age: Duration, now: BootTime) -> Vec<EndedUnder> {
        let mut told = Vec::new();
        for (fingerprint, account) in &mut self.accounts {
            let is_young = account.last_change().is_some_and(|at| now.since(at) <= age);
            let was_told = account.told.is_some() && account.finished.is_some();
            if is_young && (account.ends.len() >= TOLD_AFTER || was_told) {
                account.told = Some(now);
                told.push(account.told(*fingerprint, now));
            }
        }
        told
    }

    /// Forgets what no longer counts.
    pub fn forget(&mut self, now: BootTime) {
        self.accounts.retain(|_, account| {
            let is_settled = |at: BootTime| now.since(at) > SETTLED_AFTER;
            account.trim(now).is_some() || !account.heard.is_none_or(is_settled)
        });
    }

    /// Forgets an eighth of the requests if there is no room for another one: those that the fewest
    /// upstreams ended under, and of these the oldest.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.accounts.len() < MOST_REQUESTS || self.accounts.contains_key(&fingerprint) {
            return;
        }
        let accounts = self.accounts.iter();
        let mut ranked: Vec<_> = accounts
            .map(|(fingerprint, it)| (it.ends.len(), it.last_change(), *fingerprint))
            .collect();
        ranked.sort_unstable();
        for (_, _, fingerprint) in ranked.into_iter().take(MOST_REQUESTS / 8) {
            self.accounts.remove(&fingerprint);
        }
    }
}
