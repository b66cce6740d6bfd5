//! State of one service on the request path, with a lock for each service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use prometheus::{Histogram, IntGauge};
use rand::rngs::StdRng;
use tokio::sync::{oneshot, watch};
use wagtailreel_control::AgentView;
use wagtailreel_core::{
    CustomerId, DataCentre, Document, Incarnation, NotRunReason, Priority, Region, Report,
    ServiceKind, ServiceName, VmEntry, VmId,
};
use wagtailreel_route::{
    Admission, AttemptEnd, Attempts, BudgetConfig, Choice, Chooser, LimitVerdict, Limits,
    Membership, MembershipConfig, Next, Overload, OverloadConfig, QueueEvent, ReportEffect,
    RetryBudget, Standing, WaiterId,
};

use crate::metrics::Metrics;

/// After this time without a report an upstream counts as unresponsive, and streams from it are resumed
/// elsewhere.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a request was not admitted, and after what time the caller may send it again.
pub(crate) type Rejection = (NotRunReason, Duration);

type Verdict = Result<AdmissionTicket, Rejection>;

/// One service: its upstreams, limits, admission queue and retry budget.
#[derive(Debug)]
pub(crate) struct Service {
    name: ServiceName,
    inner: Mutex<Inner>,
    /// Changes whenever a choice that failed may succeed.
    changed: watch::Sender<()>,
    in_flight: IntGauge,
    waiting: IntGauge,
    admission_wait: Histogram,
}

#[derive(Debug)]
struct Inner {
    document: Option<Arc<Document>>,
    membership: Membership,
    chooser: Chooser,
    overload: Overload,
    budget: RetryBudget,
    limits: Limits,
    rng: StdRng,
    waiters: BTreeMap<WaiterId, oneshot::Sender<Verdict>>,
}

/// The upstream of one attempt. The attempt counts as in flight there until the slot is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    service: Arc<Service>,
    pub(crate) vm: VmId,
    pub(crate) addr: SocketAddr,
    /// Incarnation of the agent that gets the attempt.
    pub(crate) incarnation: Incarnation,
}

/// An admitted request. Counts as in flight until the ticket is dropped.
#[derive(Debug)]
pub(crate) struct AdmissionTicket {
    service: Arc<Service>,
    since: Instant,
    /// Whether the request was run: only then does its duration count in the mean.
    pub(crate) ran: bool,
}

/// Removes a waiter from the queue on drop, so that a caller that disconnects leaves no entry.
struct WaitGuard<'a> {
    service: &'a Service,
    id: WaiterId,
}

impl Service {
    /// Creates a service without a document or upstreams.
    pub(crate) fn new<R>(
        name: &str,
        data_centre: &DataCentre,
        region: &Region,
        metrics: &Metrics,
        rng: &mut R,
    ) -> Self
    where
        R: rand::Rng,
    {
        let inner = Inner {
            document: None,
            membership: Membership::new(MembershipConfig::default()),
            chooser: Chooser::new(data_centre.clone(), region.clone()),
            overload: Overload::new(OverloadConfig::default()),
            budget: RetryBudget::new(BudgetConfig::default()),
            limits: Limits::new(1.0),
            rng: rand::SeedableRng::from_rng(rng),
            waiters: BTreeMap::new(),
        };
        Self {
            name: name.to_owned(),
            inner: Mutex::new(inner),
            changed: watch::Sender::new(()),
            in_flight: metrics.in_flight.with_label_values(&[name]),
            waiting: metrics.waiting.with_label_values(&[name]),
            admission_wait: metrics.admission_wait.with_label_values(&[name]),
        }
    }

    pub(crate) fn name(&self) -> &str {
        &self.name
    }

    /// Returns the document in force, if the service has one.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.lock().document.clone()
    }

    /// Sets the document in force.
    pub(crate) fn set_document(self: &Arc<Self>, document: Option<&Document>) {
        {
            let mut inner = self.lock();
            inner.document = document.map(|document| Arc::new(document.clone()));
            if let Some(document) = document {
                inner.limits.set_document(document);
            }
        }
        self.update_capacity();
    }

    /// Sets the list of VMs.
    pub(crate) fn list(self: &Arc<Self>, vms: &[VmEntry]) {
        {
            let mut inner = self.lock();
            inner.membership.list(&self.name, vms);
            inner.membership.prune(Instant::now());
        }
        self.update_capacity();
        self.changed.send_replace(());
    }

    /// Merges reports of the service's agents.
    pub(crate) fn reports(self: &Arc<Self>, views: &[&AgentView]) {
        let mut standing = false;
        {
            let mut inner = self.lock();
            for view in views {
                let effect = inner
                    .membership
                    .report(&view.report, view.received, view.remote);
                standing |= effect == ReportEffect::Standing;
            }
        }
        self.update_capacity();
        if standing {
            self.changed.send_replace(());
        }
    }

    /// Returns a receiver that is notified when a choice that failed may succeed.
    pub(crate) fn changed(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Counts a request of `customer` and returns whether it is within the customer's limit.
    pub(crate) fn limit(&self, customer: &str) -> LimitVerdict {
        let inner = &mut *self.lock();
        inner.limits.admit(customer, Instant::now(), &mut inner.rng)
    }

    /// Returns the recent requests per second of each customer.
    pub(crate) fn demand(&self, now: Instant) -> BTreeMap<CustomerId, f64> {
        self.lock().limits.demand(now)
    }

    /// Sets each customer's share of its limit at this entry.
    pub(crate) fn set_shares<F>(&self, fresh: f64, now: Instant, share: F)
    where
        F: Fn(&str) -> f64,
    {
        self.lock().limits.set_shares(fresh, now, share);
    }

    /// Waits until the request is admitted or rejected.
    ///
    /// # Errors
    ///
    /// Returns the reason of a rejection and the time after which to send the request again.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        priority: Priority,
        deadline: Option<Instant>,
    ) -> Result<AdmissionTicket, Rejection> {
        let arrived = Instant::now();
        let (id, mut rx) = match self.arrive(priority, deadline, arrived) {
            Ok(ticket) => return Ok(ticket),
            Err(Ok(waiting)) => waiting,
            Err(Err(rejection)) => return Err(rejection),
        };
        let guard = WaitGuard { service: self, id };
        let verdict = loop {
            let tick = self.lock().overload.next_tick();
            let tick = tick.unwrap_or(arrived + Duration::from_secs(1));
            tokio::select! {
                verdict = &mut rx => break verdict,
                () = tokio::time::sleep_until(tick.into()) => self.tick(),
            }
        };
        drop(guard);
        self.admission_wait.observe(arrived.elapsed().as_secs_f64());
        // The sender stays in `waiters` until it has sent a verdict, so `rx` can't fail here.
        verdict.unwrap_or(Err((NotRunReason::Full, Duration::from_secs(1))))
    }

    /// Chooses an upstream for the next attempt.
    ///
    /// # Errors
    ///
    /// Returns what to do next if no upstream can be chosen now.
    pub(crate) fn choose(self: &Arc<Self>, attempts: &mut Attempts) -> Result<Slot, Next> {
        let now = Instant::now();
        let inner = &mut *self.lock();
        if attempts.is_first_choice() {
            inner.budget.request();
        }
        let choice = inner
            .chooser
            .choose(&inner.membership, attempts.needs(), now, &mut inner.rng);
        let vm = match choice {
            Choice::Upstream(vm) => vm,
            Choice::Unavailable(reason) => return Err(attempts.on_unavailable(reason, now)),
        };
        let Some(member) = inner.membership.get(&vm) else {
            return Err(attempts.on_unavailable(wagtailreel_route::Unavailable::NoUpstream, now));
        };
        let addr = member.report.data;
        let incarnation = member.report.incarnation;
        inner.membership.started(&vm);
        attempts.on_send(&vm);
        Ok(Slot {
            service: Arc::clone(self),
            vm,
            addr,
            incarnation,
        })
    }

    /// Records how an attempt at `vm` ended, and returns what to do next.
    pub(crate) fn ended(&self, attempts: &mut Attempts, vm: &str, ended: AttemptEnd) -> Next {
        let inner = &mut *self.lock();
        match &ended {
            AttemptEnd::Refused(reason, _) => inner.membership.refused(vm, *reason),
            AttemptEnd::NeverSent | AttemptEnd::CancelLost => inner.membership.unreachable(vm),
            _ => {}
        }
        attempts.ended(vm, ended, Instant::now(), &mut inner.budget)
    }

    /// Returns whether the upstream is unknown, or is not usable and has sent no report for
    /// [`REPORT_TIMEOUT`].
    fn is_unresponsive(&self, vm: &str) -> bool {
        let now = Instant::now();
        let inner = self.lock();
        let Some(member) = inner.membership.get(vm) else {
            return true;
        };
        let silence = now.saturating_duration_since(member.received);
        silence > REPORT_TIMEOUT && inner.membership.standing(member, now) != Standing::Usable
    }

    /// Returns the last report of each upstream with its age and standing.
    pub(crate) fn upstreams(&self) -> Vec<(Report, Duration, Standing)> {
        let now = Instant::now();
        let inner = self.lock();
        inner
            .membership
            .members()
            .map(|member| {
                let age = now.saturating_duration_since(member.received);
                let standing = inner.membership.standing(member, now);
                (member.report.clone(), age, standing)
            })
            .collect()
    }

    fn arrive(
        self: &Arc<Self>,
        priority: Priority,
        deadline: Option<Instant>,
        now: Instant,
    ) -> Result<AdmissionTicket, Result<(WaiterId, oneshot::Receiver<Verdict>), Rejection>> {
        let mut waiting = None;
        let (admission, event) = {
            let inner = &mut *self.lock();
            let (admission, event) = inner
                .overload
                .arrive(priority, deadline, now, &mut inner.rng);
            if let Admission::Waiting(id) = admission {
                let (tx, rx) = oneshot::channel();
                inner.waiters.insert(id, tx);
                waiting = Some((id, rx));
            }
            (admission, event)
        };
        self.apply_queue_events(event.into_iter().collect());
        match (admission, waiting) {
            (Admission::Admitted, _) => Ok(self.ticket()),
            (Admission::Refused(reason, retry_after), _) => Err(Err((reason, retry_after))),
            (Admission::Waiting(_), Some(waiting)) => Err(Ok(waiting)),
            (Admission::Waiting(_), None) => Err(Err((NotRunReason::Full, REPORT_TIMEOUT))),
        }
    }

    fn ticket(self: &Arc<Self>) -> AdmissionTicket {
        AdmissionTicket {
            service: Arc::clone(self),
            since: Instant::now(),
            ran: false,
        }
    }

    /// Recomputes the capacity and admits waiters that now fit.
    fn update_capacity(self: &Arc<Self>) {
        let events = {
            let inner = &mut *self.lock();
            let document = inner.document.as_ref();
            let needs_open = document.is_some_and(|document| document.kind == ServiceKind::Engine);
            let now = Instant::now();
            let (capacity, other_load) =
                inner
                    .chooser
                    .capacity_and_load(&inner.membership, needs_open, now);
            inner.overload.set_capacity(capacity, other_load)
        };
        self.apply_queue_events(events);
    }

    fn tick(self: &Arc<Self>) {
        let events = {
            let inner = &mut *self.lock();
            inner.overload.tick(Instant::now(), &mut inner.rng)
        };
        self.apply_queue_events(events);
    }

    /// Sends waiters their verdicts and updates the gauges.
    ///
    /// Must be called without the lock: a ticket whose caller has disconnected is dropped here, and its
    /// `Drop` takes the lock.
    fn apply_queue_events(self: &Arc<Self>, events: Vec<QueueEvent>) {
        for event in events {
            let (id, verdict) = match event {
                QueueEvent::Admit(id) => (id, Ok(self.ticket())),
                QueueEvent::Reject(id, reason, retry_after) => (id, Err((reason, retry_after))),
            };
            let tx = self.lock().waiters.remove(&id);
            if let Some(tx) = tx {
                // If the caller has disconnected, the ticket is dropped and the request no longer counts
                // as in flight.
                let _ = tx.send(verdict);
            }
        }
        let inner = self.lock();
        self.in_flight.set(i64::from(inner.overload.in_flight()));
        self.waiting.set(inner.overload.waiting() as i64);
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    /// Returns whether the upstream is unknown, or is not usable and has sent no report for
    /// [`REPORT_TIMEOUT`].
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.service.is_unresponsive(&self.vm)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.service.lock().membership.finished(&self.vm);
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        let took = self.ran.then(|| self.since.elapsed());
        let events = self.service.lock().overload.finish(took);
        self.service.apply_queue_events(events);
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut inner = self.service.lock();
        inner.overload.cancel(self.id);
        let tx = inner.waiters.remove(&self.id);
        drop(inner);
        drop(tx);
    }
}
