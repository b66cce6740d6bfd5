//! The rate at which upstreams that may be cold get requests from all entries together.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use wagtailreel_fleet::{Permit, PermitRequest, WarmupPermitRequest};

use super::permits::{ISSUER_SHARES, Permits};

/// Difference in the time from the permit to the arrival of two requests. An entry sends within 40 ms of its
/// request for the permit; the rest is for links and queues.
const ARRIVAL_SPREAD: Duration = Duration::from_millis(150);

/// Span in which issuers count permits: the second for which the bound holds, and the time by which requests
/// may arrive closer together than they were permitted.
const WINDOW: Duration = Duration::from_secs(1).saturating_add(ARRIVAL_SPREAD);

/// Number of permits in a window beyond which a request is not believed, so that a count stays small.
const MAX_IN_WINDOW: u32 = 100_000;

/// How long an issuer remembers its answers. A request is repeated within the time-out of 20 ms; an entry
/// that starts again, and counts its nonces from the beginning, takes longer than this.
const ANSWER_RETENTION: Duration = Duration::from_millis(100);

/// Maximum number of remembered answers.
const MAX_ANSWERS: usize = 1024;

/// Number of permits that each issuer may issue for one upstream in any window.
///
/// Invariant: in any one second, the issuers together permit at most the warm-up rate times the overage, plus
/// the slack; or one request if that is less.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WarmupLimit {
    issuers: [u32; ISSUER_SHARES.len()],
}

impl WarmupLimit {
    /// Creates the limit for a warm-up rate in requests per second. Returns `None` if there is no such rate.
    pub fn new(per_second: f64, overage: f64, slack: f64) -> Option<Self> {
        if !per_second.is_finite() || per_second <= 0.0 {
            return None;
        }
        let bound = (per_second * overage + slack).floor();
        // Large factors must not let the engine get more in the long run than it tolerates.
        let steady = per_second * WINDOW.as_secs_f64() + slack;
        let sum: f64 = ISSUER_SHARES.iter().sum();
        let issuers = ISSUER_SHARES.map(|share| {
            // The number is bounded, and not negative.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let permits = (bound.min(steady * sum) * share / sum)
                .floor()
                .clamp(0.0, f64::from(MAX_IN_WINDOW)) as u32;
            permits
        });
        let [first, rest @ ..] = issuers;
        let mut limit = [first.max(1); ISSUER_SHARES.len()];
        limit[1..].copy_from_slice(&rest);
        Some(Self { issuers: limit })
    }

    /// Returns the number of permits in a window for each issuer, in the order in which entries turn to them.
    pub const fn issuers(self) -> [u32; ISSUER_SHARES.len()] {
        self.issuers
    }
}

/// An answer that was given.
#[derive(Clone, Debug)]
struct Answer {
    at: Instant,
    from: SocketAddr,
    addr: SocketAddr,
    permit: Permit,
}

/// Permits that an agent issues for upstreams that may be cold.
///
/// Permits are counted by address and not by id, so that an upstream that restarts under the same or another
/// id does not get a fresh count.
#[derive(Clone, Debug)]
pub struct WarmupPermits {
    started: Instant,
    /// Times of the permits of the last window.
    issued: BTreeMap<SocketAddr, VecDeque<Instant>>,
    answers: VecDeque<Answer>,
}

impl WarmupPermits {
    /// Creates the state of an agent that starts at `now`.
    pub const fn new(now: Instant) -> Self {
        Self {
            started: now,
            issued: BTreeMap::new(),
            answers: VecDeque::new(),
        }
    }

    /// Answers a request for a permit that came from `from`. A limit that the upstream names itself is
    /// checked with `named`, and has to allow the request as well.
    ///
    /// A repeated request gets the same answer again.
    pub fn answer(
        &mut self,
        req: &WarmupPermitRequest,
        from: SocketAddr,
        named: &mut Permits,
        now: Instant,
    ) -> Permit {
        self.prune(now);
        let is_repeat =
            |it: &&Answer| it.permit.nonce == req.nonce && it.from == from && it.addr == req.addr;
        if let Some(answer) = self.answers.iter().find(is_repeat) {
            return answer.permit.clone();
        }
        let mut wait = self.wait(req.addr, req.max_in_window, now);
        if wait.is_zero() {
            wait = named_wait(req.named.as_ref(), named, now);
        }
        if wait.is_zero() {
            self.issued.entry(req.addr).or_default().push_back(now);
        }
        let permit = Permit {
            nonce: req.nonce,
            wait_ms: u32::try_from(wait.as_nanos().div_ceil(1_000_000)).unwrap_or(u32::MAX),
        };
        if self.answers.len() >= MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(Answer {
            at: now,
            from,
            addr: req.addr,
            permit: permit.clone(),
        });
        permit
    }

    /// Returns the time until the count allows another permit.
    ///
    /// An agent that has just started may have issued all its permits just before, so that it issues none for
    /// one window.
    fn wait(&self, addr: SocketAddr, max_in_window: u32, now: Instant) -> Duration {
        let since_start = now.saturating_duration_since(self.started);
        if since_start < WINDOW {
            return WINDOW - since_start;
        }
        let max = max_in_window.min(MAX_IN_WINDOW) as usize;
        if max == 0 {
            return WINDOW;
        }
        let issued = self.issued.get(&addr);
        // The permits of an entry with an earlier, larger limit may be more than the maximum.
        let due = issued.and_then(|it| it.get(it.len().checked_sub(max)?));
        due.map_or(Duration::ZERO, |at| {
            (*at + WINDOW).saturating_duration_since(now)
        })
    }

    fn prune(&mut self, now: Instant) {
        let is_old = |at: Instant, age| now.saturating_duration_since(at) >= age;
        self.issued.retain(|_, issued| {
            while issued.front().is_some_and(|at| is_old(*at, WINDOW)) {
                issued.pop_front();
            }
            !issued.is_empty()
        });
        let answers = &mut self.answers;
        while answers
            .front()
            .is_some_and(|it| is_old(it.at, ANSWER_RETENTION))
        {
            answers.pop_front();
        }
    }
}

/// Returns the time until the limit that the upstream names itself allows a request.
fn named_wait(req: Option<&PermitRequest>, named: &mut Permits, now: Instant) -> Duration {
    let permit = req.and_then(|req| named.answer(req, now));
    permit.map_or(Duration::ZERO, |it| {
        Duration::from_millis(it.wait_ms.into())
    })
}
