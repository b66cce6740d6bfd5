//! Claims on the keys of orders in the stream `orders`, so that each order runs at most once.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use http::StatusCode;
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::{Effect, LogPage, LogService, PlatformError};
use wagtailreel_core::{
    ClaimRecord, Incarnation, Offset, OrderRecord, RequestId, ServiceName, VmId,
};
use wagtailreel_fold::{Claimant, FoldStop, KeyProblem, OrderApplied, OrderFold, encode_orders};

use crate::backoff::Backoff;
use crate::events;
use crate::follower::StreamSink;
use crate::metrics::Metrics;

/// Most claims in one record, so that the record stays far below the log's record limit.
const MAX_CLAIMS_PER_RECORD: usize = 500;

/// Why an order was not claimed. In each case this request did not run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimError {
    /// The key is not honoured.
    Key(KeyProblem),
    /// Another request holds the key.
    Claimed,
    /// The log is unreachable, or did not return the claim in time.
    LogAway,
}

type Verdict = Result<ClaimTicket, ClaimError>;

/// Progress of a claim into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendState {
    /// The claim was not sent to the log yet.
    Queued,
    /// The claim was sent to the log and may be stored there.
    MaybeAppended,
}

#[derive(Debug)]
struct Pending {
    record: ClaimRecord,
    append_state: AppendState,
    tx: oneshot::Sender<Verdict>,
}

#[derive(Debug, Default)]
struct Queue {
    pending: BTreeMap<RequestId, Pending>,
    /// Claims to append, in order of arrival.
    claims: Vec<RequestId>,
    /// Requests whose claims are to be released.
    releases: Vec<RequestId>,
}

/// The claims of this entry.
///
/// Invariant: a [`ClaimTicket`] is issued only for a claim that won according to the fold, and only once.
/// A claim is released only if no ticket was issued for it, or if nothing sent under its ticket may have
/// run.
#[derive(Debug)]
pub(crate) struct Claims {
    holder: VmId,
    incarnation: Incarnation,
    fold: Mutex<OrderFold>,
    queue: Mutex<Queue>,
    wake: Notify,
    reading: AtomicBool,
    metrics: Metrics,
}

/// The right to dispatch one order. Releases the claim on drop, unless the order was sent.
#[derive(Debug)]
pub(crate) struct ClaimTicket {
    claims: Arc<Claims>,
    request: RequestId,
    sent: bool,
}

impl ClaimTicket {
    /// Records that the order is about to be sent: from now on it may run.
    pub(crate) fn on_send(&mut self) {
        self.sent = true;
    }

    /// Records that no attempt sent so far has run the order.
    pub(crate) fn not_run(&mut self) {
        self.sent = false;
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if !self.sent {
            self.claims.release(&self.request);
        }
    }
}

/// Withdraws a pending claim on drop, when the caller has disconnected or stopped waiting.
struct WithdrawGuard<'a> {
    claims: &'a Claims,
    request: &'a RequestId,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        let mut queue = self.claims.lock();
        let Some(pending) = queue.pending.remove(self.request) else {
            return;
        };
        if pending.append_state == AppendState::MaybeAppended {
            queue.releases.push(self.request.clone());
            drop(queue);
            self.claims.wake.notify_one();
        }
    }
}

impl Claims {
    /// Creates the claims of an entry. `window` is how long keys are honoured.
    pub(crate) fn new(
        holder: VmId,
        incarnation: Incarnation,
        window: Duration,
        metrics: Metrics,
    ) -> Self {
        Self {
            holder,
            incarnation,
            fold: Mutex::new(OrderFold::new(window)),
            queue: Mutex::default(),
            wake: Notify::new(),
            reading: AtomicBool::new(false),
            metrics,
        }
    }

    /// Claims `key` for `request`. Waits until the log shows which request holds the key, at most until
    /// `until`.
    ///
    /// # Errors
    ///
    /// Returns why the request may not run the order.
    pub(crate) async fn claim(
        &self,
        service: &str,
        key: &str,
        request: &RequestId,
        until: Instant,
    ) -> Verdict {
        let started_at = Instant::now();
        let verdict = self.claim_inner(service, key, request, until).await;
        let result = match &verdict {
            Ok(_) => "won",
            Err(ClaimError::Claimed) => "lost",
            Err(ClaimError::Key(_)) => "void",
            Err(ClaimError::LogAway) => "log-away",
        };
        self.metrics.claims.with_label_values(&[result]).inc();
        if verdict.is_ok() {
            self.metrics
                .claim_wait
                .observe(started_at.elapsed().as_secs_f64());
        }
        verdict
    }

    async fn claim_inner(
        &self,
        service: &str,
        key: &str,
        request: &RequestId,
        until: Instant,
    ) -> Verdict {
        self.check(service, key)?;
        let (tx, rx) = oneshot::channel();
        let record = ClaimRecord {
            service: service.to_owned(),
            key: key.to_owned(),
            request: request.clone(),
            at: SystemTime::now(),
        };
        {
            let mut queue = self.lock();
            let pending = Pending {
                record,
                append_state: AppendState::Queued,
                tx,
            };
            queue.pending.insert(request.clone(), pending);
            queue.claims.push(request.clone());
        }
        self.wake.notify_one();
        let withdraw = WithdrawGuard {
            claims: self,
            request,
        };
        let verdict = tokio::time::timeout_at(until.into(), rx).await;
        drop(withdraw);
        match verdict {
            Ok(Ok(verdict)) => verdict,
            // Code that removes a pending claim also answers it, except for the withdrawal just above.
            Ok(Err(_)) | Err(_) => Err(ClaimError::LogAway),
        }
    }

    /// Rejects claims that can't win before they are sent to the log.
    fn check(&self, service: &str, key: &str) -> Result<(), ClaimError> {
        let fold = self.fold();
        fold.check_key(key, SystemTime::now())
            .map_err(ClaimError::Key)?;
        if fold.stop().is_some() || !self.reading.load(Ordering::Relaxed) {
            return Err(ClaimError::LogAway);
        }
        let held = fold.holder_of(service, key);
        if held.is_some_and(|claim| !claim.released) {
            return Err(ClaimError::Claimed);
        }
        Ok(())
    }

    /// Queues the release of the claim of `request`.
    fn release(&self, request: &RequestId) {
        self.lock().releases.push(request.clone());
        self.wake.notify_one();
    }

    /// Returns whether no claims or releases wait to be appended.
    pub(crate) fn is_flushed(&self) -> bool {
        let queue = self.lock();
        queue.claims.is_empty() && queue.releases.is_empty()
    }

    fn on_applied(self: &Arc<Self>, applied: OrderApplied) {
        match applied {
            OrderApplied::Won {
                service, claimant, ..
            } if self.is_own(&claimant) => self.won(&service, claimant.request),
            OrderApplied::Lost { claimant, .. } if self.is_own(&claimant) => {
                self.answer(&claimant.request, Err(ClaimError::Claimed));
            }
            OrderApplied::Void {
                claimant, problem, ..
            } if self.is_own(&claimant) => {
                self.answer(&claimant.request, Err(ClaimError::Key(problem)));
            }
            OrderApplied::GivenUp { claimant, .. } if self.is_own(&claimant) => {
                self.answer(&claimant.request, Err(ClaimError::LogAway));
            }
            _ => {}
        }
    }

    fn won(self: &Arc<Self>, service: &ServiceName, request: RequestId) {
        let ticket = ClaimTicket {
            claims: Arc::clone(self),
            request: request.clone(),
            sent: false,
        };
        if !self.answer(&request, Ok(ticket)) {
            // The caller no longer waits: the unsent ticket was dropped and released the claim.
            events::ORDER_RELEASED.emit(&[("service", service), ("request", &request)]);
        }
    }

    /// Answers a pending claim; returns whether a caller still waited for the answer.
    fn answer(&self, request: &RequestId, verdict: Verdict) -> bool {
        let pending = self.lock().pending.remove(request);
        // The lock must be free here: an unsent ticket takes it when dropped.
        pending.is_some_and(|pending| pending.tx.send(verdict).is_ok())
    }

    fn is_own(&self, claimant: &Claimant) -> bool {
        claimant.holder == self.holder && claimant.incarnation == self.incarnation
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fold(&self) -> MutexGuard<'_, OrderFold> {
        self.fold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends claims and releases until `cancel`. Those that arrive during an append share the next record
/// of their kind, up to [`MAX_CLAIMS_PER_RECORD`] claims.
pub(crate) async fn append_claims<L>(log: L, claims: Arc<Claims>, cancel: CancellationToken)
where
    L: LogService,
{
    let mut backoff = Backoff::new();
    loop {
        let released = append_releases(&log, &claims).await;
        let claimed = append_batch(&log, &claims).await;
        let wait = match released.and(claimed) {
            Ok(true) => continue,
            Ok(false) => {
                backoff.reset();
                let woken = cancel.run_until_cancelled(claims.wake.notified()).await;
                if woken.is_none() {
                    return;
                }
                continue;
            }
            Err(err) => {
                let reason = err.to_string();
                events::APPEND_FAILED.emit(&[("stream", Claims::STREAM), ("reason", &reason)]);
                claims
                    .metrics
                    .log_errors
                    .with_label_values(&[Claims::STREAM, "append"])
                    .inc();
                backoff.failed(err.retry_after())
            }
        };
        let slept = cancel.run_until_cancelled(tokio::time::sleep(wait)).await;
        if slept.is_none() {
            return;
        }
    }
}

/// Appends the queued claims; returns whether there were any.
async fn append_batch<L>(log: &L, claims: &Claims) -> Result<bool, PlatformError>
where
    L: LogService,
{
    let batch = take_batch(&mut claims.lock());
    if batch.is_empty() {
        return Ok(false);
    }
    let requests: Vec<RequestId> = batch.iter().map(|claim| claim.request.clone()).collect();
    let record = OrderRecord::Claims {
        holder: claims.holder.clone(),
        incarnation: claims.incarnation,
        claims: batch,
    };
    let Ok(encoded) = encode_orders(&record) else {
        refuse(claims, &requests);
        return Ok(true);
    };
    let Err(err) = log.append(Claims::STREAM, encoded).await else {
        return Ok(true);
    };
    let is_rate = err.status() == Some(StatusCode::TOO_MANY_REQUESTS);
    if err.took_effect() == Effect::Maybe || is_rate {
        // Appending the same claims again is harmless: the first copy decides. If the log is down
        // they are refused at once instead, so that callers don't wait for the outage to end.
        requeue(claims, requests);
    } else {
        refuse(claims, &requests);
    }
    Err(err)
}

fn take_batch(queue: &mut Queue) -> Vec<ClaimRecord> {
    let most = queue.claims.len().min(MAX_CLAIMS_PER_RECORD);
    let requests: Vec<RequestId> = queue.claims.drain(..most).collect();
    let mut batch = Vec::with_capacity(requests.len());
    for request in requests {
        // A claim that was withdrawn before it was sent to the log is no longer pending.
        if let Some(pending) = queue.pending.get_mut(&request) {
            pending.append_state = AppendState::MaybeAppended;
            batch.push(pending.record.clone());
        }
    }
    batch
}

/// Refuses claims that are certainly not in the log.
fn refuse(claims: &Claims, requests: &[RequestId]) {
    for request in requests {
        claims.answer(request, Err(ClaimError::LogAway));
    }
}

fn requeue(claims: &Claims, requests: Vec<RequestId>) {
    let mut queue = claims.lock();
    let queue = &mut *queue;
    let pending = &queue.pending;
    let waiting = requests
        .into_iter()
        .filter(|request| pending.contains_key(request));
    queue.claims.extend(waiting);
}

/// Appends the queued releases; returns whether there were any.
async fn append_releases<L>(log: &L, claims: &Claims) -> Result<bool, PlatformError>
where
    L: LogService,
{
    let requests = std::mem::take(&mut claims.lock().releases);
    if requests.is_empty() {
        return Ok(false);
    }
    let record = OrderRecord::Releases {
        holder: claims.holder.clone(),
        incarnation: claims.incarnation,
        requests: requests.clone(),
    };
    let Ok(encoded) = encode_orders(&record) else {
        return Ok(true);
    };
    if let Err(err) = log.append(Claims::STREAM, encoded).await {
        // Releasing twice is harmless.
        claims.lock().releases.extend(requests);
        return Err(err);
    }
    let count = requests.len().to_string();
    events::ORDER_RELEASED.emit(&[("count", &count)]);
    Ok(true)
}

/// Applies the records of the stream `orders` to the claims.
#[derive(Clone, Debug)]
pub(crate) struct OrderSink(pub(crate) Arc<Claims>);

impl Claims {
    /// Name of the stream.
    pub(crate) const STREAM: &'static str = "orders";
}

impl StreamSink for OrderSink {
    const STREAM: &'static str = Claims::STREAM;

    fn next(&self, _after_failure: bool) -> Offset {
        self.0.fold().next()
    }

    fn applied(&self) -> Offset {
        self.0.fold().offset()
    }

    fn apply_page(&self, page: &LogPage, applied: Offset) -> Result<(), FoldStop> {
        self.0.fold().check_head(applied, page.next)?;
        for record in &page.records {
            let step = self.0.fold().apply(record.offset, record.at, &record.data);
            for applied in step? {
                self.0.on_applied(applied);
            }
        }
        Ok(())
    }

    fn on_lapsed(&self, first: Offset, next: Offset, applied: Offset) -> Result<bool, FoldStop> {
        let mut fold = self.0.fold();
        fold.check_head(applied, next)?;
        let missed = first > fold.next() && applied > 0;
        fold.start_from(first);
        Ok(missed)
    }

    fn set_readable(&self, reading: bool) {
        self.0.reading.store(reading, Ordering::Relaxed);
    }

    fn on_stop(&self, _stop: &FoldStop) {}
}
