//! Orders that run at most once: claims on their keys in the stream `orders`.

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

/// Claims in one record at most, so that it stays far below the longest record.
const BATCH: usize = 500;

/// Why an order was not claimed. In each case it was not run by this request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimProblem {
    /// The key is not honoured.
    Key(KeyProblem),
    /// Another request holds the key.
    Claimed,
    /// The log is away, or did not show the claim in time.
    LogAway,
}

type Verdict = Result<ClaimTicket, ClaimProblem>;

/// Where a claim is on its way into the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// It was not handed to the log yet.
    Queued,
    /// It is or may be in the log.
    MaybeThere,
}

#[derive(Debug)]
struct Pending {
    record: ClaimRecord,
    way: Way,
    tx: oneshot::Sender<Verdict>,
}

#[derive(Debug, Default)]
struct Queue {
    pending: BTreeMap<RequestId, Pending>,
    /// Claims to append, in the order in which they came.
    claims: Vec<RequestId>,
    /// Requests whose claims are given up.
    releases: Vec<RequestId>,
}

/// The claims of this entry.
///
/// Invariant: a [`ClaimTicket`] is handed out only for a claim that the fold says was won, once;
/// a claim is released only if its ticket was never used for a dispatch, or nobody had the ticket.
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

/// The right to dispatch one order. Gives the claim up when dropped, unless it was used.
#[derive(Debug)]
pub(crate) struct ClaimTicket {
    claims: Arc<Claims>,
    request: RequestId,
    used: bool,
}

impl ClaimTicket {
    /// Takes that the order is about to be sent: from now on it may run.
    pub(crate) fn sending(&mut self) {
        self.used = true;
    }

    /// Takes that what was sent is known not to have run.
    pub(crate) fn not_run(&mut self) {
        self.used = false;
    }
}

impl Drop for ClaimTicket {
    fn drop(&mut self) {
        if !self.used {
            self.claims.release(&self.request);
        }
    }
}

/// Withdraws a claim whose caller has gone or waits no longer.
struct Withdraw<'a> {
    claims: &'a Claims,
    request: &'a RequestId,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        let mut queue = self.claims.lock();
        let Some(pending) = queue.pending.remove(self.request) else {
            return;
        };
        if pending.way == Way::MaybeThere {
            queue.releases.push(self.request.clone());
            drop(queue);
            self.claims.wake.notify_one();
        }
    }
}

impl Claims {
    /// Makes the claims of an entry. `window` is how long keys are honoured.
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

    /// Claims `key` for `request`; waits until the log shows who holds it, at most to `until`.
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
        let began = Instant::now();
        let verdict = self.claim_inner(service, key, request, until).await;
        let result = match &verdict {
            Ok(_) => "won",
            Err(ClaimProblem::Claimed) => "lost",
            Err(ClaimProblem::Key(_)) => "void",
            Err(ClaimProblem::LogAway) => "log-away",
        };
        self.metrics.claims.with_label_values(&[result]).inc();
        if verdict.is_ok() {
            self.metrics
                .claim_wait
                .observe(began.elapsed().as_secs_f64());
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
                way: Way::Queued,
                tx,
            };
            queue.pending.insert(request.clone(), pending);
            queue.claims.push(request.clone());
        }
        self.wake.notify_one();
        let withdraw = Withdraw {
            claims: self,
            request,
        };
        let verdict = tokio::time::timeout_at(until.into(), rx).await;
        drop(withdraw);
        match verdict {
            Ok(Ok(verdict)) => verdict,
            // Whoever removes a pending claim answers it, but for the withdrawal just above.
            Ok(Err(_)) | Err(_) => Err(ClaimProblem::LogAway),
        }
    }

    /// Spares the log claims that can't be won.
    fn check(&self, service: &str, key: &str) -> Result<(), ClaimProblem> {
        let fold = self.fold();
        fold.check_key(key, SystemTime::now())
            .map_err(ClaimProblem::Key)?;
        if fold.stop().is_some() || !self.reading.load(Ordering::Relaxed) {
            return Err(ClaimProblem::LogAway);
        }
        let held = fold.holder_of(service, key);
        if held.is_some_and(|claim| !claim.released) {
            return Err(ClaimProblem::Claimed);
        }
        Ok(())
    }

    /// Gives up the claim of `request`.
    fn release(&self, request: &RequestId) {
        self.lock().releases.push(request.clone());
        self.wake.notify_one();
    }

    /// Says whether claims or releases wait to be appended.
    pub(crate) fn is_settled(&self) -> bool {
        let queue = self.lock();
        queue.claims.is_empty() && queue.releases.is_empty()
    }

    fn take(self: &Arc<Self>, applied: OrderApplied) {
        match applied {
            OrderApplied::Won {
                service, claimant, ..
            } if self.is_mine(&claimant) => self.won(&service, claimant.request),
            OrderApplied::Lost { claimant, .. } if self.is_mine(&claimant) => {
                self.answer(&claimant.request, Err(ClaimProblem::Claimed));
            }
            OrderApplied::Void {
                claimant, problem, ..
            } if self.is_mine(&claimant) => {
                self.answer(&claimant.request, Err(ClaimProblem::Key(problem)));
            }
            OrderApplied::GivenUp { claimant, .. } if self.is_mine(&claimant) => {
                self.answer(&claimant.request, Err(ClaimProblem::LogAway));
            }
            _ => {}
        }
    }

    fn won(self: &Arc<Self>, service: &ServiceName, request: RequestId) {
        let ticket = ClaimTicket {
            claims: Arc::clone(self),
            request: request.clone(),
            used: false,
        };
        if !self.answer(&request, Ok(ticket)) {
            // Nobody waits any more: the unused ticket gave the claim up when it was dropped.
            events::ORDER_RELEASED.emit(&[("service", service), ("request", &request)]);
        }
    }

    /// Answers a pending claim; returns whether somebody still waited.
    fn answer(&self, request: &RequestId, verdict: Verdict) -> bool {
        let pending = self.lock().pending.remove(request);
        // The lock is free again: an unused ticket takes it when dropped.
        pending.is_some_and(|pending| pending.tx.send(verdict).is_ok())
    }

    fn is_mine(&self, claimant: &Claimant) -> bool {
        claimant.holder == self.holder && claimant.incarnation == self.incarnation
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fold(&self) -> MutexGuard<'_, OrderFold> {
        self.fold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Appends claims and releases until `cancel`; one append takes all that came since the last.
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
                backoff.worked();
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

/// Appends what claims there are; returns whether there were any.
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
        // Appending the same claims again is harmless: the first copy decides. When the log is
        // down they are refused at once instead, so that nobody waits for an outage to end.
        requeue(claims, requests);
    } else {
        refuse(claims, &requests);
    }
    Err(err)
}

fn take_batch(queue: &mut Queue) -> Vec<ClaimRecord> {
    let most = queue.claims.len().min(BATCH);
    let requests: Vec<RequestId> = queue.claims.drain(..most).collect();
    let mut batch = Vec::with_capacity(requests.len());
    for request in requests {
        // One that was withdrawn before it was handed to the log is not there any more.
        if let Some(pending) = queue.pending.get_mut(&request) {
            pending.way = Way::MaybeThere;
            batch.push(pending.record.clone());
        }
    }
    batch
}

/// Answers claims that are certainly not in the log.
fn refuse(claims: &Claims, requests: &[RequestId]) {
    for request in requests {
        claims.answer(request, Err(ClaimProblem::LogAway));
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

/// Appends what releases there are; returns whether there were any.
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

/// The sink of the stream `orders`.
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
                self.0.take(applied);
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
