//! Admission control by rank: which requests are refused under overload before any engine gets them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time in which an offered request fades to about a third: what counts is the last second.
const OFFERED_TIME: Duration = Duration::from_secs(1);

/// Share of the offered requests that is kept at least from one request to the next, so that an entry with
/// fewer than 50 requests a second knows the shares of classes from its last 50. By fewer, a few urgent requests
/// in a row look like a larger class than the level admits: with the last 20, 0.947 of the most urgent requests
/// were in time where it were 0.961 with 50.
const MIN_KEPT: f64 = 0.98;

/// Pause after which the offered requests are forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// Time in which a first choice fades to about a third, so that nearly all that counts is from the last second.
/// With 0.5 s, the mean level of 35 entries swings by 0.09 at a steady overload and is at 0.97 3 s after it, with 0.3 s
/// it swings by 0.07 and is at 1.
const CHOICE_TIME: Duration = Duration::from_millis(300);

/// Number of first choices over which failures are counted at least, so that a failure at an entry without
/// other requests fades too. With 0.7, the mean level of an entry with one request a second was 0.82 where that
/// of an entry with 100 was 0.54; with 0.3 it is 0.73.
const MIN_CHOICES: f64 = 0.3;

/// Share of first choices without an engine in time up to which the level rises. Bursts of a few requests at
/// the same moment cause some of these without an overload.
const FULL_SHARE: f64 = 0.05;

/// Fall of the level per second for each unit of failed choices above [`FULL_SHARE`].
const FALL: f64 = 0.8;

/// Rise of the level per second after [`CALM`] without failures above [`FULL_SHARE`]; slower before. With it,
/// entries have recovered 3 s after an overload ends, including the time in which its failures fade.
const RISE: f64 = 0.35;

/// Time in which the rise reaches its full speed. With full speed at once, the level swings under a steady
/// overload, since the failures that a rise causes are seen 0.3 s later.
const CALM: Duration = Duration::from_secs(1);

/// Lowest level. Some requests have to be admitted for an entry to see that the overload has ended.
const MIN_LEVEL: f64 = 0.1;

/// Time in which the distance to the mean level of other entries shrinks to about a third. Entries of busier data
/// centres see more failures, and their callers would be served worse.
const MEAN_TIME: Duration = Duration::from_millis(500);

/// How long a mean level counts.
const MEAN_TTL: Duration = Duration::from_secs(2);

/// Time after the last decision in which an entry reports its level. Without requests it says nothing about the
/// load.
const REPORTED_FOR: Duration = Duration::from_secs(2);

/// Longest step in which the level is integrated.
const STEP: Duration = Duration::from_millis(50);

/// Longest time that one observation integrates. After it the level is back at 1 from any value.
const MAX_GAP: Duration = Duration::from_secs(5);

/// Mean load of the engines, in requests per slot, below which nothing is shed.
const MIN_LOAD: f64 = 0.85;

/// Floor of a class that may be in time, as a share of how often requests are admitted overall. No kind of
/// request may be served less than a quarter as often as all.
const FLOOR: f64 = 0.3;

/// Floor of a late class. A late answer is worth about a third of one in time.
const LATE_FLOOR: f64 = 0.1;

/// Passes in which the floors and the overall share, which depend on each other, are computed. The third
/// changes neither by more than 0.01.
const PASSES: usize = 3;

/// Time in which the count of requests of a rank fades to about a third.
const RANK_TIME: Duration = Duration::from_secs(5);

/// Share of the requests that have to be of another rank than most for ranks to matter. A few requests on a
/// route that is configured with another rank, such as checks of operators, are none that compete.
const OTHER_RANKS_SHARE: f64 = 0.05;

/// Requests below which a class is forgotten.
const MIN_COUNT: f64 = 0.01;

/// Part of a caller's remaining time within which it is told to retry. Callers do not heed a longer pause than
/// a third.
const MAX_RETRY_SHARE: f64 = 0.33;

/// Shortest retry delay as a part of the longest. A caller that retries at once meets the same overload.
const MIN_RETRY: f64 = 0.1;

/// Share of the objective of more urgent requests by which an engine is chosen for a less urgent one. The queues
/// then keep room for the urgent. With 0.7 in place of 0.6, 0.85 in place of 0.96 of the most urgent requests were
/// in time during an overload by less urgent ones.
const LESS_URGENT_SHARE: f64 = 0.6;

/// Width of the range of retry delays of one class, as a part of the longest, if there are several classes.
const RETRY_RANGE: f64 = 0.5;

/// Requests between which the admission control doesn't distinguish, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class {
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
    /// Whether the request can no longer begin within the objective since the caller's first attempt.
    pub is_late: bool,
}

/// A request on which [`Admission`] decides.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    /// The class of the request.
    pub class: Class,
    /// The engine time that it uses.
    pub engine_time: Duration,
    /// Mean load of the engines that accept requests, in requests per slot.
    pub load: f64,
    /// A random number from 0 to 1, drawn for this request only.
    pub draw: f64,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Decision {
    /// Whether the request is admitted.
    pub is_admitted: bool,
    /// The level of the entry, 0 to 1.
    pub level: f64,
    /// The share of the requests of its class that the level admits.
    pub class_share: f64,
    /// Parts of the longest retry delay between which a caller that is refused draws its delay.
    pub retry_range: (f64, f64),
}

impl Decision {
    /// Returns the retry delay of a refused caller with `left` of its time remaining. `draw` is a random number
    /// from 0 to 1, which spreads callers evenly over the range of their class.
    pub fn retry_after(&self, draw: f64, left: Duration) -> Duration {
        let (from, to) = self.retry_range;
        left.mul_f64(MAX_RETRY_SHARE * (from + (to - from) * draw.clamp(0.0, 1.0)))
    }
}

/// Requests of one class in the last second.
#[derive(Clone, Copy, Debug, Default)]
struct Offered {
    count: f64,
    /// Their engine time in seconds.
    work: f64,
}

/// The admission level of one service at one entry.
///
/// Load pattern: requests need 1.35 times the engine time that there is, for seconds, and those with the longest
/// objective are the least urgent. Without this they fill the queues, and the urgent ones are refused.
///
/// Invariant: the level is between [`MIN_LEVEL`] and 1.
#[derive(Clone, Debug)]
pub struct Admission {
    level: f64,
    offered: BTreeMap<Class, Offered>,
    offered_at: Instant,
    /// First choices in the last second.
    chosen: f64,
    /// Those of them that found no engine in time, by rank.
    full: BTreeMap<u8, f64>,
    level_at: Instant,
    /// Time without failures above [`FULL_SHARE`], at most [`CALM`].
    calm: Duration,
    /// The mean level of the entries that an agent heard of, and when it was received.
    mean: Option<(f64, Instant)>,
    decided_at: Option<Instant>,
    /// Requests of each rank in the last seconds.
    ranks: BTreeMap<u8, f64>,
    ranks_at: Instant,
}

impl Admission {
    /// Creates the admission of a service without requests so far.
    pub const fn new(now: Instant) -> Self {
        Self {
            level: 1.0,
            offered: BTreeMap::new(),
            offered_at: now,
            chosen: 0.0,
            full: BTreeMap::new(),
            level_at: now,
            calm: Duration::ZERO,
            mean: None,
            decided_at: None,
            ranks: BTreeMap::new(),
            ranks_at: now,
        }
    }

    /// Returns the level after its movement until `now`.
    pub fn level(&mut self, now: Instant) -> f64 {
        self.advance(now);
        self.level
    }

    /// Counts a request of `rank` that may be decided on.
    pub fn count_rank(&mut self, rank: u8, now: Instant) {
        let keep = kept(now.saturating_duration_since(self.ranks_at), RANK_TIME);
        self.ranks_at = now;
        self.ranks.retain(|_, count| {
            *count *= keep;
            *count > MIN_COUNT
        });
        *self.ranks.entry(rank).or_default() += 1.0;
    }

    /// Returns whether requests of several ranks compete for the service.
    pub fn has_several_ranks(&self) -> bool {
        let all: f64 = self.ranks.values().sum();
        let most = self.ranks.values().copied().fold(0.0, f64::max);
        self.ranks.len() > 1 && all - most >= OTHER_RANKS_SHARE * all
    }

    /// Counts a request and decides whether it is admitted.
    pub fn decide(&mut self, offer: Offer, now: Instant) -> Decision {
        self.advance(now);
        self.count(offer, now);
        self.decided_at = Some(now);
        let is_loaded = offer.load >= MIN_LOAD;
        let class_share = if is_loaded && self.level < 1.0 {
            self.class_share(offer.class)
        } else {
            1.0
        };
        Decision {
            is_admitted: offer.draw < class_share || class_share >= 1.0,
            level: self.level,
            class_share,
            retry_range: self.retry_range(offer.class),
        }
    }

    /// Records the first choice of an admitted request of `rank`, and whether it found no engine in time.
    pub fn record_choice(&mut self, rank: u8, is_full: bool, now: Instant) {
        self.advance(now);
        self.chosen += 1.0;
        if is_full {
            *self.full.entry(rank).or_default() += 1.0;
        }
    }

    /// Returns the level to report to other entries in thousandths, if the entry decided on requests recently.
    pub fn reported_level(&mut self, now: Instant) -> Option<u16> {
        let decided_at = self.decided_at?;
        if now.saturating_duration_since(decided_at) > REPORTED_FOR {
            return None;
        }
        // The level is at most 1.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let permille = (self.level(now) * 1000.0).round() as u16;
        Some(permille)
    }

    /// Records the mean level of other entries in thousandths. An entry that knew none adopts it at once.
    pub fn receive_mean(&mut self, permille: u16, now: Instant) {
        self.advance(now);
        let mean = (f64::from(permille) / 1000.0).clamp(MIN_LEVEL, 1.0);
        if self.mean_at(now).is_none() {
            self.level = mean;
        }
        self.mean = Some((mean, now));
    }

    fn mean_at(&self, now: Instant) -> Option<f64> {
        let (mean, at) = self.mean?;
        (now.saturating_duration_since(at) <= MEAN_TTL).then_some(mean)
    }

    fn count(&mut self, offer: Offer, now: Instant) {
        let passed = now.saturating_duration_since(self.offered_at);
        self.offered_at = now;
        if passed > FORGOTTEN_AFTER {
            self.offered.clear();
        }
        let keep = kept(passed, OFFERED_TIME).max(MIN_KEPT);
        self.offered.retain(|_, offered| {
            offered.count *= keep;
            offered.work *= keep;
            offered.count > MIN_COUNT
        });
        let offered = self.offered.entry(offer.class).or_default();
        offered.count += 1.0;
        offered.work += offer.engine_time.as_secs_f64();
    }

    /// Moves the level by the time that has passed since its last movement.
    fn advance(&mut self, now: Instant) {
        let mut left = now.saturating_duration_since(self.level_at).min(MAX_GAP);
        self.level_at = self.level_at.max(now);
        let mean = self.mean_at(now);
        while !left.is_zero() {
            let step = left.min(STEP);
            left -= step;
            let full_share = self.full.values().sum::<f64>() / self.chosen.max(MIN_CHOICES);
            let rate = if full_share > FULL_SHARE {
                self.calm = Duration::ZERO;
                -FALL * (full_share - FULL_SHARE)
            } else {
                self.calm = (self.calm + step).min(CALM);
                RISE * self.calm.div_duration_f64(CALM)
            };
            let level = self.level + rate * step.as_secs_f64();
            let least = if rate < 0.0 {
                self.least_level().min(self.level)
            } else {
                MIN_LEVEL
            };
            self.level = level.clamp(least, 1.0);
            if let Some(mean) = mean {
                self.level += (mean - self.level) * (1.0 - kept(step, MEAN_TIME));
            }
            let keep = kept(step, CHOICE_TIME);
            self.chosen *= keep;
            self.full.retain(|_, full| {
                *full *= keep;
                *full > MIN_COUNT
            });
        }
    }

    /// Returns the level below which failures do not take it: the most urgent ranks, of which no more than
    /// [`FULL_SHARE`] failed, stay admitted completely, beside the floors of the others.
    fn least_level(&self) -> f64 {
        let most = FULL_SHARE * self.chosen.max(MIN_CHOICES);
        let mut failed = 0.0;
        let failing = self.full.iter().find(|(_, full)| {
            failed += **full;
            failed > most
        });
        let Some((failing, _)) = failing else {
            return self.level;
        };
        let (mut before, mut all) = (0.0, 0.0);
        for (class, offered) in &self.offered {
            all += offered.work;
            if class.rank < *failing {
                before += offered.work;
            }
        }
        if all <= 0.0 {
            return MIN_LEVEL;
        }
        let before = before / all;
        (before + FLOOR * (1.0 - before) * self.level).max(MIN_LEVEL)
    }

    /// Returns the share of the requests of `class` that the level admits.
    fn class_share(&self, class: Class) -> f64 {
        let (count, work) = self.offered.values().fold((0.0, 0.0), |(count, work), it| {
            (count + it.count, work + it.work)
        });
        if work <= 0.0 {
            return 1.0;
        }
        let mut overall = self.level;
        let mut share = 1.0;
        for _ in 0..PASSES {
            let floor = |class: &Class| overall * if class.is_late { LATE_FLOOR } else { FLOOR };
            let floors = self.offered.iter().map(|(it, of)| floor(it) * of.work);
            let mut left = self.level * work - floors.sum::<f64>();
            let mut admitted = 0.0;
            for (it, of) in &self.offered {
                let above = of.work * (1.0 - floor(it));
                let of_class = (left / above.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0);
                left -= above;
                let of_class = floor(it) + (1.0 - floor(it)) * of_class;
                admitted += of_class * of.count;
                if *it == class {
                    share = of_class;
                }
            }
            overall = admitted / count;
        }
        share
    }

    /// Returns the range of retry delays of `class`: less urgent classes come back later.
    fn retry_range(&self, class: Class) -> (f64, f64) {
        let others = self.offered.keys().filter(|it| **it != class).count();
        if others == 0 {
            return (MIN_RETRY, 1.0);
        }
        let before = self.offered.keys().filter(|it| **it < class).count();
        // At most 512 classes.
        #[allow(clippy::cast_precision_loss)]
        let place = before as f64 / others as f64;
        let from = MIN_RETRY + (1.0 - RETRY_RANGE - MIN_RETRY) * place;
        (from, from + RETRY_RANGE)
    }
}

/// Returns the time to the first event for which an engine is chosen, for a request with the objective `own`;
/// `urgent` is the shortest objective of more urgent requests to the service, if there are any.
///
/// Load pattern: an overload by less urgent requests with a longer objective. By their own objective they fill
/// the queues so far that each urgent request is refused.
pub fn choice_objective(own: Duration, urgent: Option<Duration>) -> Duration {
    urgent.map_or(own, |urgent| own.min(urgent.mul_f64(LESS_URGENT_SHARE)))
}

/// Returns the part of a sum that is kept after `passed`, if a third of it is kept after `time`.
fn kept(passed: Duration, time: Duration) -> f64 {
    (-passed.as_secs_f64() / time.as_secs_f64()).exp()
}
