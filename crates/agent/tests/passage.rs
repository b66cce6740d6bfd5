//! The checks before a request is sent to the upstream, and the counts of running requests.
#![allow(clippy::unwrap_used, reason = "a test may panic")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use wagtailreel_agent_core::admitter::Admitter;
use wagtailreel_agent_core::request_guard::{AdmissionRequest, Refusal, RequestGuard, Requests};
use wagtailreel_agent_core::requests::{CancelState, RequestKey, StartMode};
use wagtailreel_core::{Digest, Directive, Epoch, NotRunReason, WeightsPhase};

const LEASE: Duration = Duration::from_millis(50);

struct Agent {
    requests: Arc<Requests>,
    admitter: Arc<Admitter>,
}

impl Agent {
    fn new() -> Self {
        Self {
            requests: Arc::new(Requests::new()),
            admitter: Arc::new(Admitter::new(2)),
        }
    }

    /// Opens `epoch` with a lease of `lease`, and returns the end of the lease.
    fn open(&self, epoch: Epoch, lease: Duration) -> Instant {
        let directive = Directive {
            config: epoch,
            state: None,
            lease,
            close_below: epoch,
            open: Some(epoch),
            swap_to: None,
            peers: Vec::new(),
        };
        let now = Instant::now();
        let weights = Some(Digest::of(&epoch.to_be_bytes()));
        let mut gated = self.admitter.lock();
        gated.gate.set_phase(epoch, WeightsPhase::Loaded, weights);
        gated
            .gate
            .on_directive(now, now, &"e1".to_owned(), &directive);
        now + lease
    }

    fn enter(&self, request: &str) -> Result<RequestGuard, Refusal> {
        let req = AdmissionRequest {
            key: RequestKey::new(request),
            mode: StartMode::Fresh,
            pin: None,
            deadline: None,
        };
        RequestGuard::enter(&self.requests, &self.admitter, req)
    }

    fn in_flight(&self) -> u32 {
        self.admitter.lock().in_flight()
    }
}

#[test]
fn frozen_past_lease() {
    let agent = Agent::new();
    let end = agent.open(5, LEASE);
    let mut guard = agent.enter("r1").unwrap();
    // Simulates a process that is suspended here until its lease has lapsed.
    std::thread::sleep(end.saturating_duration_since(Instant::now()));
    let refused = guard.start();
    assert_eq!(refused, Err(Refusal::NotRun(NotRunReason::Lease)));
    drop(guard);
    assert_eq!(agent.in_flight(), 0);
    // The request was never started, so its id is accepted again.
    agent.open(5, Duration::from_secs(60));
    assert_eq!(agent.enter("r1").unwrap().start(), Ok(()));
}

#[test]
fn frozen_past_switch() {
    let agent = Agent::new();
    agent.open(5, Duration::from_secs(60));
    let mut guard = agent.enter("r1").unwrap();
    agent.open(9, Duration::from_secs(60));
    let refused = guard.start();
    assert_eq!(refused, Err(Refusal::NotRun(NotRunReason::Closed)));
}

#[test]
fn cancelled_in_between() {
    let agent = Agent::new();
    agent.open(5, Duration::from_secs(60));
    let mut guard = agent.enter("r1").unwrap();
    assert_eq!(agent.requests.cancel("r1"), CancelState::NotRun);
    let refused = guard.start();
    assert_eq!(refused, Err(Refusal::NotRun(NotRunReason::Cancelled)));
    drop(guard);
    let again = agent.enter("r1").map(drop);
    assert_eq!(again, Err(Refusal::NotRun(NotRunReason::Cancelled)));
}

#[test]
fn exact_counts() {
    let agent = Agent::new();
    agent.open(5, Duration::from_secs(60));
    let first = agent.enter("r1").unwrap();
    agent.open(9, Duration::from_secs(60));
    let second = agent.enter("r2").unwrap();
    assert_eq!(agent.in_flight(), 2);
    let full = agent.enter("r3").map(drop);
    assert_eq!(full, Err(Refusal::NotRun(NotRunReason::Full)));
    drop(first);
    assert!(!agent.admitter.lock().running().contains_key(&5));
    assert_eq!(agent.admitter.lock().running().get(&9), Some(&1));
    drop(second);
    assert_eq!(agent.in_flight(), 0);
}

#[test]
fn leaving_first() {
    let agent = Agent::new();
    agent.open(5, Duration::from_secs(60));
    let mut entered = agent.enter("r1").unwrap();
    let mut started = agent.enter("r2").unwrap();
    started.start().unwrap();
    agent.admitter.lock().gate.leave();
    let leaving = Err(Refusal::NotRun(NotRunReason::Leaving));
    assert_eq!(entered.start(), leaving);
    assert_eq!(agent.enter("r3").map(drop), leaving);
    assert_eq!(agent.in_flight(), 2);
}
