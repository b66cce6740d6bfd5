//! Admission control by rank for a request: what the decision needs, and the refusal that follows from it.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use wagtailreel_fleet::ServiceRanks;
use wagtailreel_route::direct::{Class, Offer, Prediction, choice_objective};
use wagtailreel_settings::AdmissionMode;

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::refusal::Refusal;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Returns whether no upstream was chosen for the request yet, here or, for a stream that its caller
    /// resumes, elsewhere.
    pub(crate) fn is_first_choice(&self) -> bool {
        let is_resumed = self.admitted.head.last_event.is_some();
        !self.attempts.may_have_run() && self.attempts.tried().is_empty() && !is_resumed
    }

    /// Returns whether admission control by rank is active at the service.
    pub(crate) fn is_admission_controlled(&self) -> bool {
        let is_always = self.cx.settings.admission == AdmissionMode::Always;
        self.admitted.engine.is_some()
            && (is_always || (self.may_differ() && self.service.admission().has_several_ranks()))
    }

    /// Returns whether requests of different ranks can reach the service.
    fn may_differ(&self) -> bool {
        self.ranks().is_some_and(ServiceRanks::differ)
    }

    /// Counts the rank of the request, if other ranks may compete with it.
    pub(crate) fn count_rank(&self) {
        if self.admitted.engine.is_some() && self.may_differ() {
            let mut admission = self.service.admission();
            admission.count_rank(self.admitted.urgency, Instant::now());
        }
    }

    /// Returns the rank by which the upstream orders its queue: where requests of several ranks compete, that of
    /// the route counts among customers of the same rank.
    pub(crate) fn dispatch_rank(&self) -> u8 {
        if self.may_differ() && self.is_admission_controlled() {
            self.admitted.urgency
        } else {
            self.admitted.rank
        }
    }

    fn ranks(&self) -> Option<&ServiceRanks> {
        self.admitted.directory.ranks(&self.admitted.service)
    }

    /// Returns the time to the first event for which an upstream is chosen.
    ///
    /// A less urgent request isn't queued where an urgent one with a shorter objective would be refused. Else
    /// the kind with the longest objective fills the queues. This is for the first choice only: work that has
    /// been done must go on.
    pub(crate) fn objective(&self) -> Duration {
        let own = self.admitted.route.objective;
        if !self.is_first_choice() || !self.is_admission_controlled() {
            return own;
        }
        let ranks = self.ranks();
        let urgent = ranks.and_then(|ranks| ranks.objective_before(self.admitted.urgency));
        choice_objective(own, urgent)
    }

    /// Decides whether the request is admitted at the current level.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Shed`] if it is not.
    pub(crate) fn shed(&self) -> Result<(), Refusal> {
        let Some(engine) = &self.admitted.engine else {
            return Ok(());
        };
        let now = Instant::now();
        let left = self.admitted.deadline.saturating_duration_since(now);
        let overview = self.service.upstreams().overview(&self.needs(None), now);
        let route = &self.admitted.route;
        let age = route.timeout.saturating_sub(left);
        let first_event = age + overview.least_first_event.unwrap_or_default();
        let head = &self.admitted.head;
        let offer = Offer {
            class: Class {
                rank: self.admitted.urgency,
                is_late: first_event > route.objective,
            },
            engine_time: Prediction::engine_time(engine, head.prompt_tokens, head.answer_tokens),
            load: overview.load,
            draw: rand::rng().random(),
        };
        let decision = self.service.admission().decide(offer, now);
        let level = self
            .cx
            .metrics
            .admission_level
            .with_label_values(&[&self.admitted.service]);
        level.set(decision.level);
        if decision.class_share >= 1.0 {
            return Ok(());
        }
        let retry_in = decision.retry_after(rand::rng().random(), left);
        let rank = self.admitted.urgency.to_string();
        let outcome = if decision.is_admitted {
            "admitted"
        } else {
            "shed"
        };
        events::ADMISSION_DRAWN.emit(&[
            ("id", &self.admitted.id),
            ("service", &self.admitted.service),
            ("rank", &rank),
            ("late", &offer.class.is_late.to_string()),
            ("level", &format!("{:.3}", decision.level)),
            ("class_share", &format!("{:.3}", decision.class_share)),
            ("draw", &format!("{:.3}", offer.draw)),
            ("load", &format!("{:.2}", offer.load)),
            ("outcome", outcome),
        ]);
        if decision.is_admitted {
            return Ok(());
        }
        self.cx.metrics.shed.with_label_values(&[&rank]).inc();
        Err(Refusal::Shed { retry_in })
    }

    /// Records the result of the first choice, unless the request was shed before it.
    pub(crate) fn record_first_choice(&self, refusal: Option<&Refusal>) {
        let is_full = match refusal {
            None => false,
            Some(Refusal::Full { .. }) => true,
            // Others say nothing about the load.
            Some(_) => return,
        };
        let mut admission = self.service.admission();
        admission.record_choice(self.admitted.urgency, is_full, Instant::now());
    }
}
