//! Admission of the requests of one service at one entry, and the queue of those that wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt as _};
use wagtailreel_core::{NotRunReason, Priority};

/// Weight of the newest request in the moving average of run times.
const RUN_TIME_WEIGHT: f64 = 0.05;

/// Retry waits are lengthened by up to this fraction, so that refused callers don't retry together.
const RETRY_JITTER: f64 = 0.5;

/// Minimum retry wait told to a caller, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Limits on admission and waiting at one entry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadConfig {
    /// Share of the capacity, 0 to 1, up to which requests of low priority are admitted.
    pub low_share: f64,
    /// The same for normal priority; high priority may use all of the capacity.
    pub normal_share: f64,
    /// Maximum number of waiting requests, as a share of the capacity.
    pub queue_share: f64,
    /// Maximum wait of a request without a deadline.
    pub max_wait: Duration,
    /// Initial value of the mean run time, before any request has completed.
    pub initial_mean: Duration,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            low_share: 0.7,
            normal_share: 0.9,
            queue_share: 0.25,
            max_wait: Duration::from_secs(1),
            initial_mean: Duration::from_secs(1),
        }
    }
}

/// Identifier of a waiting request.
pub type WaiterId = u64;

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request proceeds now.
    Admitted,
    /// The request waits until a [`QueueEvent`] with this identifier.
    Waiting(WaiterId),
    /// The request is refused, and the caller may retry after this time.
    Refused(NotRunReason, Duration),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueEvent {
    /// The request proceeds now.
    Admit(WaiterId),
    /// The request is refused with a final answer, and the caller may retry after this time.
    Reject(WaiterId, NotRunReason, Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    deadline: Option<Instant>,
    wait_until: Instant,
}

/// Sorts waiters by priority, highest first, then by order of arrival.
type QueueKey = (std::cmp::Reverse<Priority>, WaiterId);

/// The requests of one service at one entry, in flight and waiting.
///
/// Invariant: requests wait only while the first waiter in the queue can't be admitted, and every
/// waiter gets exactly one event unless it is cancelled.
#[derive(Clone, Debug)]
pub struct Overload {
    cfg: OverloadConfig,
    capacity: u32,
    other_in_flight: u32,
    in_flight: u32,
    mean_run_time: f64,
    waiters: BTreeMap<QueueKey, Waiter>,
    next_id: WaiterId,
}

impl Overload {
    /// Creates the state of an entry with no requests in flight and no known capacity.
    pub fn new(cfg: OverloadConfig) -> Self {
        Self {
            cfg,
            capacity: 0,
            other_in_flight: 0,
            in_flight: 0,
            mean_run_time: cfg.initial_mean.as_secs_f64(),
            waiters: BTreeMap::new(),
            next_id: 1,
        }
    }

    /// Returns the number of requests in flight that this entry admitted.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Decides on a request that arrives at `now`, and returns the event of a waiter that it displaces.
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
        // Without known capacity, the request is admitted so that the choice of an upstream returns the
        // precise reason.
        if self.capacity == 0 || (ahead == 0 && self.has_room(priority)) {
            self.in_flight = self.in_flight.saturating_add(1);
            return (Admission::Admitted, None);
        }
        let wait_until = self.wait_until(deadline, now);
        let expected = self.expected_wait(ahead + 1);
        if now + expected > wait_until {
            return (self.refusal(NotRunReason::Full, ahead + 1, rng), None);
        }
        let mut rejected = None;
        if self.waiters.len() >= self.max_waiting() {
            rejected = self.evict_lower(priority, rng);
            if rejected.is_none() {
                return (self.refusal(NotRunReason::Full, ahead + 1, rng), None);
            }
        }
        let id = self.next_id;
        self.next_id += 1;
        let key = (std::cmp::Reverse(priority), id);
        self.waiters.insert(
            key,
            Waiter {
                deadline,
                wait_until,
            },
        );
        (Admission::Waiting(id), rejected)
    }

    /// Records the end of an admitted request; `run_time` is `None` if the request did not run.
    pub fn finish(&mut self, run_time: Option<Duration>) -> Vec<QueueEvent> {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(run_time) = run_time {
            self.mean_run_time += RUN_TIME_WEIGHT * (run_time.as_secs_f64() - self.mean_run_time);
        }
        self.admit_waiters()
    }

    /// Sets the capacity of the upstreams and the load of other entries there, which lags behind.
    pub fn set_capacity(&mut self, capacity: u32, other_in_flight: u32) -> Vec<QueueEvent> {
        self.capacity = capacity;
        self.other_in_flight = other_in_flight;
        self.admit_waiters()
    }

    /// Refuses the waiters whose wait is over at `now`.
    pub fn tick<R>(&mut self, now: Instant, rng: &mut R) -> Vec<QueueEvent>
    where
        R: Rng,
    {
        let expired: Vec<(QueueKey, Waiter)> = self
            .waiters
            .iter()
            .filter(|(_, waiter)| waiter.wait_until <= now)
            .map(|(key, waiter)| (*key, *waiter))
            .collect();
        expired
            .into_iter()
            .map(|(key, waiter)| {
                self.waiters.remove(&key);
                let reason = match waiter.deadline {
                    Some(deadline) if deadline <= now => NotRunReason::Deadline,
                    _ => NotRunReason::Full,
                };
                QueueEvent::Reject(key.1, reason, self.retry_after(1, rng))
            })
            .collect()
    }

    /// Returns the time of the next expiry, at which [`Overload::tick`] is due.
    pub fn next_tick(&self) -> Option<Instant> {
        self.waiters.values().map(|waiter| waiter.wait_until).min()
    }

    /// Removes a waiter whose caller disconnected; returns whether the request was still waiting.
    pub fn cancel(&mut self, id: WaiterId) -> bool {
        let key = self.waiters.keys().find(|key| key.1 == id).copied();
        key.is_some_and(|key| self.waiters.remove(&key).is_some())
    }

    fn has_room(&self, priority: Priority) -> bool {
        let share = match priority {
            Priority::Low => self.cfg.low_share,
            Priority::Normal => self.cfg.normal_share,
            Priority::High => 1.0,
        };
        let used = f64::from(self.in_flight) + f64::from(self.other_in_flight);
        // At least one request is admitted, so that a service with one slot accepts every priority.
        used < (f64::from(self.capacity) * share).max(1.0)
    }

    fn ahead_of(&self, priority: Priority) -> usize {
        self.waiters
            .keys()
            .filter(|key| key.0.0 >= priority)
            .count()
    }

    fn max_waiting(&self) -> usize {
        let most = f64::from(self.capacity) * self.cfg.queue_share;
        (most.ceil() as usize).max(1)
    }

    fn wait_until(&self, deadline: Option<Instant>, now: Instant) -> Instant {
        deadline.unwrap_or(now + self.cfg.max_wait)
    }

    /// Returns the expected time until `completions` of this entry's requests in flight have ended.
    fn expected_wait(&self, completions: usize) -> Duration {
        let rate = f64::from(self.in_flight.max(1)) / self.mean_run_time.max(f64::EPSILON);
        Duration::try_from_secs_f64(completions as f64 / rate).unwrap_or(Duration::MAX / 4)
    }

    /// Refuses the last waiter if its priority is below `priority`.
    fn evict_lower<R>(&mut self, priority: Priority, rng: &mut R) -> Option<QueueEvent>
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
        while let Some((key, _)) = self.waiters.first_key_value() {
            let key = *key;
            if self.capacity != 0 && !self.has_room(key.0.0) {
                break;
            }
            self.waiters.remove(&key);
            self.in_flight = self.in_flight.saturating_add(1);
            events.push(QueueEvent::Admit(key.1));
        }
        events
    }

    fn refusal<R>(&self, reason: NotRunReason, completions: usize, rng: &mut R) -> Admission
    where
        R: Rng,
    {
        Admission::Refused(reason, self.retry_after(completions, rng))
    }

    fn retry_after<R>(&self, completions: usize, rng: &mut R) -> Duration
    where
        R: Rng,
    {
        let wait = self.expected_wait(completions).max(MIN_RETRY_AFTER);
        let wait = wait.min(Duration::from_secs(30));
        wait.mul_f64(1.0 + RETRY_JITTER * rng.random::<f64>())
    }
}
