//! How many requests of one service an entry lets in, and in which order they wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt as _};
use wagtailreel_core::{NotRunReason, Priority};

/// Weight of the newest request in the mean time that a request takes.
const MEAN_WEIGHT: f64 = 0.05;

/// Jitter spreads callers that are told to come back over this share of the wait.
const JITTER: f64 = 0.5;

/// Shortest wait that a caller is told.
const SHORTEST_RETRY: Duration = Duration::from_millis(100);

/// How an entry admits requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadConfig {
    /// Share of the capacity, 0 to 1, up to which requests of low priority are let in.
    pub low_share: f64,
    /// The same for normal priority; high priority has the whole.
    pub normal_share: f64,
    /// Most requests that wait, as a share of the capacity.
    pub queue_share: f64,
    /// Longest wait of a request without a deadline.
    pub longest_wait: Duration,
    /// Mean time that a request takes, until it is measured.
    pub first_mean: Duration,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            low_share: 0.7,
            normal_share: 0.9,
            queue_share: 0.25,
            longest_wait: Duration::from_secs(1),
            first_mean: Duration::from_secs(1),
        }
    }
}

/// Identifies a request that waits.
pub type WaiterId = u64;

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It goes on now.
    Admitted,
    /// It waits until a [`QueueEvent`] names it.
    Waiting(WaiterId),
    /// It is refused now and may come back after the time.
    Refused(NotRunReason, Duration),
}

/// What becomes of a request that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// It goes on now.
    Admit(WaiterId),
    /// It is given up and gets its final answer now; it may come back after the time.
    Reject(WaiterId, NotRunReason, Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    deadline: Option<Instant>,
    until: Instant,
}

/// Orders waiters: the highest priority first, then the first that came.
type Place = (std::cmp::Reverse<Priority>, WaiterId);

/// The requests of one service at one entry: in flight and waiting.
///
/// Invariant: a request waits only while nothing better placed could go on; every waiter gets
/// exactly one event, unless it is cancelled.
#[derive(Clone, Debug)]
pub struct Overload {
    cfg: OverloadConfig,
    capacity: u32,
    other_in_flight: u32,
    in_flight: u32,
    mean: f64,
    waiters: BTreeMap<Place, Waiter>,
    next_id: WaiterId,
}

impl Overload {
    /// Makes the state of an entry with nothing in flight and no known capacity.
    pub fn new(cfg: OverloadConfig) -> Self {
        Self {
            cfg,
            capacity: 0,
            other_in_flight: 0,
            in_flight: 0,
            mean: cfg.first_mean.as_secs_f64(),
            waiters: BTreeMap::new(),
            next_id: 1,
        }
    }

    /// Returns the requests in flight that this entry admitted.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Takes a request that arrives at `now`, with what becomes of others by it.
    pub fn arrive<R>(
        &mut self,
        priority: Priority,
        deadline: Option<Instant>,
        now: Instant,
        rng: &mut R,
    ) -> (Admission, Option<QueueEvent>)
    where
        R: Rng,
    {
        if deadline.is_some_and(|deadline| deadline <= now) {
            return (self.refusal(NotRunReason::Deadline, 1, rng), None);
        }
        let ahead = self.ahead_of(priority);
        // Without any known capacity the choice of an upstream gives the precise answer.
        if self.capacity == 0 || (ahead == 0 && self.has_room(priority)) {
            self.in_flight = self.in_flight.saturating_add(1);
            return (Admission::Admitted, None);
        }
        let until = self.until(deadline, now);
        let expected = self.expected_wait(ahead + 1);
        if now + expected > until {
            return (self.refusal(NotRunReason::Full, ahead + 1, rng), None);
        }
        let mut given_up = None;
        if self.waiters.len() >= self.most_waiting() {
            given_up = self.give_way(priority, rng);
            if given_up.is_none() {
                return (self.refusal(NotRunReason::Full, ahead + 1, rng), None);
            }
        }
        let id = self.next_id;
        self.next_id += 1;
        let place = (std::cmp::Reverse(priority), id);
        self.waiters.insert(place, Waiter { deadline, until });
        (Admission::Waiting(id), given_up)
    }

    /// Takes the end of an admitted request that took `took`, if it ran.
    pub fn finish(&mut self, took: Option<Duration>) -> Vec<QueueEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(took) = took {
            self.mean += MEAN_WEIGHT * (took.as_secs_f64() - self.mean);
        }
        self.admit_waiters()
    }

    /// Takes the capacity of the upstreams and the load of other entries there, which is late.
    pub fn set_capacity(&mut self, capacity: u32, other_in_flight: u32) -> Vec<QueueEvent> {
        self.capacity = capacity;
        self.other_in_flight = other_in_flight;
        self.admit_waiters()
    }

    /// Gives up waiters whose time is over at `now`.
    pub fn tick<R>(&mut self, now: Instant, rng: &mut R) -> Vec<QueueEvent>
    where
        R: Rng,
    {
        let over: Vec<(Place, Waiter)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.until <= now)
            .map(|(place, waiter)| (*place, *waiter))
            .collect();
        over.into_iter()
            .map(|(place, waiter)| {
                self.waiters.remove(&place);
                let reason = match waiter.deadline {
                    Some(deadline) if deadline <= now => NotRunReason::Deadline,
                    _ => NotRunReason::Full,
                };
                QueueEvent::Reject(place.1, reason, self.retry_after(1, rng))
            })
            .collect()
    }

    /// Returns when [`Overload::tick`] has something to do.
    pub fn next_tick(&self) -> Option<Instant> {
        self.waiters.values().map(|waiter| waiter.until).min()
    }

    /// Removes a waiter whose caller has gone; returns whether it was still waiting.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        let place = self.waiters.keys().find(|place| place.1 == id).copied();
        place.is_some_and(|place| self.waiters.remove(&place).is_some())
    }

    fn has_room(&self, priority: Priority) -> bool {
        let share = match priority {
            Priority::Low => self.cfg.low_share,
            Priority::Normal => self.cfg.normal_share,
            Priority::High => 1.0,
        };
        let used = f64::from(self.in_flight) + f64::from(self.other_in_flight);
        // At least one request is let in, so that a service with one slot is open to all.
        used < (f64::from(self.capacity) * share).max(1.0)
    }

    fn ahead_of(&self, priority: Priority) -> usize {
        self.waiters
            .keys()
            .filter(|place| place.0.0 >= priority)
            .count()
    }

    fn most_waiting(&self) -> usize {
        let most = f64::from(self.capacity) * self.cfg.queue_share;
        (most.ceil() as usize).max(1)
    }

    fn until(&self, deadline: Option<Instant>, now: Instant) -> Instant {
        deadline.unwrap_or(now + self.cfg.longest_wait)
    }

    /// Returns the time until `ends` of this entry's requests in flight are over.
    fn expected_wait(&self, ends: usize) -> Duration {
        let rate = f64::from(self.in_flight.max(1)) / self.mean.max(f64::EPSILON);
        Duration::try_from_secs_f64(ends as f64 / rate).unwrap_or(Duration::MAX / 4)
    }

    /// Gives up the last waiter if its priority is below `priority`.
    fn give_way<R>(&mut self, priority: Priority, rng: &mut R) -> Option<QueueEvent>
    where
        R: Rng,
    {
        let last = *self.waiters.last_key_value()?.0;
        if last.0.0 >= priority {
            return None;
        }
        self.waiters.remove(&last);
        let wait = self.retry_after(self.waiters.len() + 1, rng);
        Some(QueueEvent::Reject(last.1, NotRunReason::Full, wait))
    }

    fn admit_waiters(&mut self) -> Vec<QueueEvent> {
        let mut events = Vec::new();
        while let Some((place, _)) = self.waiters.first_key_value() {
            let place = *place;
            if self.capacity != 0 && !self.has_room(place.0.0) {
                break;
            }
            self.waiters.remove(&place);
            self.in_flight = self.in_flight.saturating_add(1);
            events.push(QueueEvent::Admit(place.1));
        }
        events
    }

    fn refusal<R>(&self, reason: NotRunReason, ends: usize, rng: &mut R) -> Admission
    where
        R: Rng,
    {
        Admission::Refused(reason, self.retry_after(ends, rng))
    }

    fn retry_after<R>(&self, ends: usize, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let wait = self.expected_wait(ends).max(SHORTEST_RETRY);
        let wait = wait.min(Duration::from_secs(30));
        wait.mul_f64(1.0 + JITTER * rng.random::<f64>())
    }
}
