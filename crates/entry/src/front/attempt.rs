//! One attempt of a request at one upstream.

use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::{Interval, MissedTickBehavior};
use wagtailreel_core::{RequestId, VmId};
use wagtailreel_route::CancelState;

use crate::claims::ClaimTicket;
use crate::front::cancel::send_cancel;
use crate::service::Slot;
use crate::shared::Shared;

/// How often it is checked that a silent upstream is still there.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// One attempt at one upstream. Cancelled there if it is dropped while it may run.
#[derive(Debug)]
pub(crate) struct Attempt {
    cx: Arc<Shared>,
    slot: Slot,
    id: RequestId,
    done: bool,
    /// Given up if the cancel shows that the order was not run.
    claim: Option<ClaimTicket>,
    liveness_check: Interval,
    /// How long an answer is waited for after the upstream fell silent.
    silence_timeout: Duration,
    silent_since: Option<Instant>,
}

impl Attempt {
    /// Makes the attempt `id` at the upstream of `slot`.
    pub(crate) fn new(
        cx: &Arc<Shared>,
        slot: Slot,
        id: RequestId,
        claim: Option<ClaimTicket>,
        silence_timeout: Duration,
    ) -> Self {
        let mut liveness_check = tokio::time::interval(LIVENESS_CHECK_INTERVAL);
        liveness_check.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Self {
            cx: Arc::clone(cx),
            slot,
            id,
            done: false,
            claim,
            liveness_check,
            silence_timeout,
            silent_since: None,
        }
    }

    /// Returns the VM that the attempt is at.
    pub(crate) fn vm(&self) -> &VmId {
        &self.slot.vm
    }

    /// Returns the claim that the attempt holds, which is no longer given up with it.
    pub(crate) fn take_claim(&mut self) -> Option<ClaimTicket> {
        self.claim.take()
    }

    /// Asks the upstream's agent to cancel the attempt; none if it does not answer.
    pub(crate) async fn cancel(&self) -> Option<CancelState> {
        let (addr, incarnation) = (self.slot.addr, self.slot.incarnation);
        send_cancel(&self.cx.client, addr, incarnation, &self.id).await
    }

    /// Takes that the attempt is over at the upstream, so that there is nothing to cancel.
    pub(crate) fn set_done(&mut self) {
        self.done = true;
    }

    /// Awaits `f`; returns none if the upstream is gone meanwhile.
    pub(crate) async fn while_alive<F>(&mut self, f: F) -> Option<F::Output>
    where
        F: Future,
    {
        let mut f = pin!(f);
        loop {
            tokio::select! {
                biased;
                output = &mut f => return Some(output),
                _ = self.liveness_check.tick() => {
                    if self.is_timed_out() {
                        return None;
                    }
                }
            }
        }
    }

    fn is_timed_out(&mut self) -> bool {
        if !self.slot.is_unresponsive() {
            self.silent_since = None;
            return false;
        }
        let since = *self.silent_since.get_or_insert_with(Instant::now);
        since.elapsed() >= self.silence_timeout
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.done {
            return;
        }
        let client = self.cx.client.clone();
        let (addr, incarnation) = (self.slot.addr, self.slot.incarnation);
        let id = std::mem::take(&mut self.id);
        let claim = self.claim.take();
        // Without a runtime the process ends, and the agent sees the connection close.
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            let cleanup = self.cx.cleanups.token();
            runtime.spawn(async move {
                let state = send_cancel(&client, addr, incarnation, &id).await;
                if let (Some(CancelState::NotRun), Some(mut claim)) = (state, claim) {
                    claim.not_run();
                }
                drop(cleanup);
            });
        }
    }
}
