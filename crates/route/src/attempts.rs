//! Decides what follows when an attempt ends or no upstream can be chosen.
//!
//! The outcome that a caller gets is decided in this module only.

use std::time::{Duration, Instant};

use derive_more::Display;
use rand::{Rng, RngExt as _};
use wagtailreel_core::{Digest, NotRunReason};

use crate::{Requirements, RetryBudget, Unavailable};

/// Limits on the attempts and waits of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptsConfig {
    /// Maximum number of times that a request is sent, including the first.
    pub max_attempts: u32,
    /// Maximum wait while all upstreams are closed for a switch: twice the longest lease.
    pub switch_wait: Duration,
    /// Maximum wait for the first usable upstream. An entry that has just started, or that resumes
    /// after a stall, learns of the upstreams within one report interval.
    pub upstream_wait: Duration,
    /// Maximum wait for a replica that can resume an interrupted stream.
    pub resume_wait: Duration,
    /// Maximum wait for capacity after all upstreams turned out to be full; zero refuses at once.
    ///
    /// The entry admits a request by load reports that lag behind, so other entries may have
    /// used the capacity in the meantime. A request that is to outlast an overload waits for the next
    /// free slot.
    pub capacity_wait: Duration,
}

impl Default for AttemptsConfig {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            switch_wait: Duration::from_secs(2),
            upstream_wait: Duration::from_millis(500),
            resume_wait: Duration::from_secs(1),
            capacity_wait: Duration::ZERO,
        }
    }
}

/// Whether a request may be started a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Repeat {
    /// A token stream that is not marked as an order: a replica may continue it where it was interrupted.
    #[display("resumable")]
    Resumable,
    /// An order, or a call whose effect is unknown: once started, the request is never sent again.
    #[display("never")]
    Never,
}

/// An agent's answer to a cancel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum CancelState {
    /// The request was not started and never will be, because the agent keeps a tombstone.
    #[display("not-run")]
    NotRun,
    /// The request was started.
    #[display("started")]
    Started,
    /// The request was started and has ended.
    #[display("done")]
    Done,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer was relayed to the caller.
    Whole,
    /// No byte of the request was sent.
    NeverSent,
    /// The agent refused the request before running it.
    Refused(NotRunReason, Option<Duration>),
    /// The request was sent, and the connection ended before the answer began.
    Broken,
    /// The agent answered a cancel that followed [`AttemptEnd::Broken`].
    Cancelled(CancelState),
    /// The agent did not answer a cancel that followed [`AttemptEnd::Broken`].
    CancelLost,
    /// The stream ended without its end marker.
    Cut {
        /// Index of the next token that the caller needs.
        next: u64,
        /// Weights that produced the tokens so far.
        weights: Option<Digest>,
    },
}

/// Why the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum UnknownReason {
    /// The request was sent, and no answer arrived.
    #[display("answer-lost")]
    AnswerLost,
    /// The answer was interrupted, and no replica could continue it.
    #[display("cut")]
    Cut,
}

/// What the entry does next with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Next {
    /// Done: the caller has the whole answer.
    Answered,
    /// Choose an upstream and send the request; a resumed request carries the pin of its requirements.
    Send,
    /// Choose again when the upstreams change, and at this time at the latest.
    Await(Instant),
    /// Ask the agent to cancel, to learn whether the request was started.
    AskCancel,
    /// Done: the request was not run and never will be. The time is set if a retry may succeed.
    NotRun(NotRunReason, Option<Duration>),
    /// Done: the entry can't tell whether the request ran, or the answer is incomplete.
    Unknown(UnknownReason),
}

/// The attempts of one request.
///
/// Invariant: [`Next::NotRun`] is returned only if no attempt has started,
/// and a request with [`Repeat::Never`] is sent again only in that case.
#[derive(Clone, Debug)]
pub struct Attempts {
    cfg: AttemptsConfig,
    repeat: Repeat,
    deadline: Option<Instant>,
    needs: Requirements,
    sent: u32,
    resume_from: u64,
    started: bool,
    last_refusal: Option<(NotRunReason, Option<Duration>)>,
    switch_wait_until: Option<Instant>,
    upstream_wait_until: Option<Instant>,
    resume_wait_until: Option<Instant>,
    capacity_wait_until: Option<Instant>,
    has_chosen: bool,
}

impl Attempts {
    /// Creates the attempts of a request that has not been sent.
    pub fn new(cfg: AttemptsConfig, repeat: Repeat, needs: Requirements) -> Self {
        Self {
            cfg,
            repeat,
            deadline: None,
            needs,
            sent: 0,
            resume_from: 0,
            started: false,
            last_refusal: None,
            switch_wait_until: None,
            upstream_wait_until: None,
            resume_wait_until: None,
            capacity_wait_until: None,
            has_chosen: false,
        }
    }

    /// Sets the time by which the request must have started.
    #[must_use]
    pub fn with_deadline(mut self, deadline: Option<Instant>) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the hash of the prompt's prefix, for prefix affinity.
    pub fn set_prefix(&mut self, prefix: u64) {
        self.needs.prefix = Some(prefix);
    }

    /// Returns whether the request may be started a second time.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Returns whether the request has waited because all upstreams were closed for a switch.
    pub fn is_at_switch(&self) -> bool {
        self.switch_wait_until.is_some()
    }

    /// Returns whether the request waits for capacity.
    pub fn awaits_capacity(&self) -> bool {
        self.capacity_wait_until.is_some()
    }

    /// Returns `true` on the first call only, so that the retry budget counts the request once
    /// however often it waits.
    pub fn is_first_choice(&mut self) -> bool {
        !std::mem::replace(&mut self.has_chosen, true)
    }

    /// Returns whether an attempt may have been started.
    pub fn is_started(&self) -> bool {
        self.started
    }

    /// Returns what the request requires of an upstream.
    pub fn needs(&self) -> &Requirements {
        &self.needs
    }

    /// Returns the index of the first token that the next attempt must produce.
    pub fn resume_from(&self) -> u64 {
        self.resume_from
    }

    /// Returns how often the request was sent.
    pub fn sent(&self) -> u32 {
        self.sent
    }

    /// Returns the time by which the request must have started.
    pub fn deadline(&self) -> Option<Instant> {
        self.deadline
    }

    /// Records that an attempt is sent to `vm`.
    pub fn on_send(&mut self, vm: &str) {
        self.sent += 1;
        self.needs.tried.insert(vm.to_owned());
    }

    /// Returns what to do when no upstream can be chosen at `now`.
    pub fn on_unavailable(&mut self, reason: Unavailable, now: Instant) -> Next {
        if self.started {
            return self.await_replica(now);
        }
        if self.is_late(now) {
            return Next::NotRun(NotRunReason::Deadline, None);
        }
        match reason {
            Unavailable::Closed => self.await_switch(now),
            Unavailable::NoUpstream => self.await_upstream(now),
            Unavailable::Weights => Next::NotRun(NotRunReason::Weights, None),
            Unavailable::Full => self.await_capacity(now),
            Unavailable::Tried if self.was_full() => self.await_capacity(now),
            Unavailable::Tried => self.final_refusal(),
        }
    }

    /// Records how the attempt at `vm` ended and returns what to do next.
    pub fn ended(
        &mut self,
        vm: &str,
        ended: AttemptEnd,
        now: Instant,
        budget: &mut RetryBudget,
    ) -> Next {
        match ended {
            AttemptEnd::Whole => Next::Answered,
            AttemptEnd::NeverSent => self.not_started(NotRunReason::NoUpstream, None, now, budget),
            AttemptEnd::Refused(
                reason @ (NotRunReason::Closed | NotRunReason::Lease),
                retry_after,
            ) => {
                // The switch, not the request, is why the agent refused: the refusal consumes neither
                // the retry budget nor an attempt, and the agent may be tried again.
                self.needs.tried.remove(vm);
                self.sent = self.sent.saturating_sub(1);
                self.last_refusal = Some((reason, retry_after));
                Next::Send
            }
            AttemptEnd::Refused(reason, retry_after) => {
                self.not_started(reason, retry_after, now, budget)
            }
            AttemptEnd::Broken => Next::AskCancel,
            AttemptEnd::Cancelled(CancelState::NotRun) => {
                self.not_started(NotRunReason::Cancelled, None, now, budget)
            }
            AttemptEnd::Cancelled(CancelState::Started | CancelState::Done)
            | AttemptEnd::CancelLost => {
                self.resume_at(self.resume_from, self.needs.pin, UnknownReason::AnswerLost)
            }
            AttemptEnd::Cut { next, weights } => self.resume_at(next, weights, UnknownReason::Cut),
        }
    }

    fn not_started(
        &mut self,
        reason: NotRunReason,
        retry_after: Option<Duration>,
        now: Instant,
        budget: &mut RetryBudget,
    ) -> Next {
        if self.started {
            // An earlier attempt was started, so this refusal does not decide the request's outcome.
            return self.resume_at(self.resume_from, self.needs.pin, UnknownReason::Cut);
        }
        self.last_refusal = Some((reason, retry_after));
        if is_final(reason) {
            return Next::NotRun(reason, retry_after);
        }
        if self.is_late(now) {
            return Next::NotRun(NotRunReason::Deadline, None);
        }
        if self.sent < self.cfg.max_attempts && budget.retry() {
            return Next::Send;
        }
        self.final_refusal()
    }

    /// Continues the request from token `next` on another replica, if it may be repeated.
    ///
    /// A resumed request replaces one that was already admitted, so it uses no retry budget.
    fn resume_at(&mut self, next: u64, weights: Option<Digest>, reason: UnknownReason) -> Next {
        self.started = true;
        self.resume_from = self.resume_from.max(next);
        if weights.is_some() {
            self.needs.pin = weights;
        }
        // Only the weights that produced the caller's tokens may continue them.
        let continues = self.resume_from == 0 || self.needs.pin.is_some();
        if self.repeat == Repeat::Never || !continues || self.sent >= self.cfg.max_attempts {
            return Next::Unknown(reason);
        }
        Next::Send
    }

    fn await_switch(&mut self, now: Instant) -> Next {
        let wait = self.cfg.switch_wait;
        let until = *self.switch_wait_until.get_or_insert(now + wait);
        let until = self.deadline.map_or(until, |deadline| deadline.min(until));
        if now < until {
            return Next::Await(until);
        }
        if !self.needs.waited {
            self.needs.waited = true;
            return Next::Send;
        }
        Next::NotRun(NotRunReason::Closed, None)
    }

    fn await_upstream(&mut self, now: Instant) -> Next {
        let wait = self.cfg.upstream_wait;
        let until = *self.upstream_wait_until.get_or_insert(now + wait);
        let until = self.deadline.map_or(until, |deadline| deadline.min(until));
        if now < until {
            return Next::Await(until);
        }
        self.final_refusal()
    }

    fn await_capacity(&mut self, now: Instant) -> Next {
        let wait = self.cfg.capacity_wait;
        let until = *self.capacity_wait_until.get_or_insert(now + wait);
        let until = self.deadline.map_or(until, |deadline| deadline.min(until));
        if now < until {
            // Upstreams that were full may have free slots by then.
            self.needs.tried.clear();
            return Next::Await(until);
        }
        let retry_after = self.last_refusal.and_then(|it| it.1);
        Next::NotRun(NotRunReason::Full, retry_after)
    }

    fn was_full(&self) -> bool {
        matches!(self.last_refusal, Some((NotRunReason::Full, _)))
    }

    fn await_replica(&mut self, now: Instant) -> Next {
        let wait = self.cfg.resume_wait;
        let until = *self.resume_wait_until.get_or_insert(now + wait);
        if now < until {
            return Next::Await(until);
        }
        let reason = if self.resume_from > 0 {
            UnknownReason::Cut
        } else {
            UnknownReason::AnswerLost
        };
        Next::Unknown(reason)
    }

    fn final_refusal(&self) -> Next {
        let (reason, retry_after) = self
            .last_refusal
            .unwrap_or((NotRunReason::NoUpstream, None));
        let reason = match reason {
            // The entry sent the cancel, not the caller: the agent could not be reached in time.
            NotRunReason::Cancelled => NotRunReason::NoUpstream,
            reason => reason,
        };
        Next::NotRun(reason, retry_after)
    }

    fn is_late(&self, now: Instant) -> bool {
        self.deadline.is_some_and(|deadline| deadline <= now)
    }
}

/// Returns whether every other upstream would refuse for the same reason.
fn is_final(reason: NotRunReason) -> bool {
    matches!(
        reason,
        NotRunReason::Deadline
            | NotRunReason::Limit
            | NotRunReason::Claimed
            | NotRunReason::Expired
            | NotRunReason::LogAway
    )
}

/// How long a caller whose request was not run should wait before a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter(pub Duration);

impl RetryAfter {
    /// Returns the wait after `reason`, or `None` if a retry can't succeed.
    ///
    /// The wait is `hint` if there is one, or else a default with a jitter of up to half.
    pub fn for_reason<R>(reason: NotRunReason, hint: Option<Duration>, rng: &mut R) -> Option<Self>
    where
        R: Rng,
    {
        let base = match reason {
            NotRunReason::Closed | NotRunReason::Lease | NotRunReason::Leaving => 500,
            NotRunReason::Full | NotRunReason::Limit | NotRunReason::Refused => 1_000,
            NotRunReason::NoUpstream | NotRunReason::Weights | NotRunReason::LogAway => 2_000,
            NotRunReason::Cancelled
            | NotRunReason::Deadline
            | NotRunReason::Claimed
            | NotRunReason::Expired => return None,
        };
        // A hint already includes jitter.
        let spread = Duration::from_millis(base).mul_f64(1.0 + 0.5 * rng.random::<f64>());
        Some(Self(hint.unwrap_or(spread)))
    }
}
