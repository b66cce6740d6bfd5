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

/// How often the entry checks during an attempt whether the upstream still sends reports.
const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// One attempt at one upstream. If the attempt is dropped while it may run, the entry cancels it at the
/// upstream.
#[derive(Debug)]
pub(crate) struct Attempt {
    cx: Arc<Shared>,
    slot: Slot,
    id: RequestId,
    done: bool,
    /// Released if the answer to the cancel shows that the order was not run.
    claim: Option<ClaimTicket>,
    liveness_check: Interval,
    /// How long the entry waits for an answer after the upstream became unresponsive.
    silence_timeout: Duration,
    silent_since: Option<Instant>,
}

impl Attempt {
    /// Creates the attempt `id` at the upstream of `slot`.
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

    /// Returns the VM of the attempt's upstream.
    pub(crate) fn vm(&self) -> &VmId {
        &self.slot.vm
    }

    /// Takes the claim out of the attempt, so that the end of the attempt no longer drops it.
    pub(crate) fn take_claim(&mut self) -> Option<ClaimTicket> {
        self.claim.take()
    }

    /// Asks the upstream's agent to cancel the attempt; returns `None` if the agent does not answer.
    pub(crate) async fn cancel(&self) -> Option<CancelState> {
        let (addr, incarnation) = (self.slot.addr, self.slot.incarnation);
        send_cancel(&self.cx.client, addr, incarnation, &self.id).await
    }

    /// Records that the attempt has ended at the upstream, so that there is nothing to cancel.
    pub(crate) fn set_done(&mut self) {
        self.done = true;
    }

    /// Awaits `f`; returns `None` once the upstream has been unresponsive for the silence time-out.
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
        // Without a runtime the process is ending, and the agent sees the connection close.
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
