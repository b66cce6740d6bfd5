//! Choice of the upstream for the next attempt of a request.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use wagtailreel_route::direct::{LoadSource, Pick, Requirements, Unavailable};

use crate::attempt::{Call, MIN_TIME_FOR_RETRY};
use crate::dialect::Dialect;
use crate::events;
use crate::refusal::{LONG_RETRY_AFTER, Refusal};

/// Remote upstreams that are queried before a request goes to another data centre. With three drawn at
/// random, at least one usually has a free slot unless four in five upstreams are full.
const REMOTE_QUERIES: usize = 3;

/// Maximum wait for the answers of remote agents: the longest round trip of 6 ms, and the scheduling delay
/// of both processes.
const REMOTE_QUERY_TIMEOUT: Duration = Duration::from_millis(15);

/// Maximum permit requests for one request, each for another upstream. Later requests skip an upstream
/// without a permit until one is due.
const MAX_PERMIT_REQUESTS: usize = 4;

/// Maximum permit requests for one request to a service with a warm-up rate. Engines of a data centre come
/// back together: with 15 that are limited, four permit requests would refuse a request although other
/// engines have permits.
const MAX_WARMUP_PERMIT_REQUESTS: usize = 12;

/// Time after which no further permit is requested for a request to a service with a warm-up rate: agents
/// that do not answer take 20 ms each.
const MAX_WARMUP_PERMIT_TIME: Duration = Duration::from_millis(60);

/// Expected time until a slot is free at a full plain service, where the duration of answers is not
/// predictable.
const PLAIN_SLOT_FREE_IN: Duration = Duration::from_millis(200);

/// Maximum time between two attempts to choose an upstream for a waiting request: the end of a rate limit
/// wait or of an ejection sends no notification.
const CHOOSE_INTERVAL: Duration = Duration::from_millis(50);

impl<D> Call<D>
where
    D: Dialect,
{
    /// Chooses an upstream, and records whether there was one for the refusal rate. Where admission control by
    /// rank is active, it decides before the first choice.
    ///
    /// A request that has not run is refused if there is none. A request that may have run must not be
    /// refused as not run, and waits for an upstream as long as time for another attempt is left.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub(crate) async fn choose_next(&self) -> Result<Pick, Refusal> {
        if self.is_first_choice() {
            self.count_rank();
        }
        let is_shedding = self.is_first_choice() && self.is_admission_controlled();
        let admitted = if is_shedding { self.shed() } else { Ok(()) };
        let chosen = match admitted {
            Ok(()) => self.choose_permitted().await,
            Err(refusal) => Err(refusal),
        };
        if is_shedding {
            self.record_first_choice(chosen.as_ref().err());
        }
        self.record_choice(chosen.is_err());
        match chosen {
            Err(refusal) if self.attempts.may_have_run() => self.await_upstream(refusal).await,
            chosen => chosen,
        }
    }

    fn record_choice(&self, is_refused: bool) {
        let mut refusals = self.service.refusal_rate();
        refusals.count(is_refused, Instant::now());
    }

    /// Waits until an upstream can be chosen in place of the lost one; `first_refusal` is why the first
    /// choice failed.
    async fn await_upstream(&self, first_refusal: Refusal) -> Result<Pick, Refusal> {
        let since = Instant::now();
        let until = self.admitted.deadline.checked_sub(MIN_TIME_FOR_RETRY);
        let exclusions = self
            .service
            .upstreams()
            .exclusions(&self.needs(None), since);
        let choosing = async {
            loop {
                self.check_quarantine()?;
                let changed = self.service.registry_changed.notified();
                // Rate limits and ejections end by time, without a change in the registry.
                let _ = tokio::time::timeout(CHOOSE_INTERVAL, changed).await;
                if let Ok(pick) = self.choose_permitted().await {
                    return Ok(pick);
                }
            }
        };
        let chosen = match until {
            Some(until) => tokio::time::timeout_at(until.into(), choosing).await.ok(),
            None => None,
        };
        let chosen = chosen.unwrap_or(Err(Refusal::Unknown));
        let exclusions = exclusions.iter().map(|(it, count)| format!("{it} {count}"));
        events::UPSTREAM_AWAITED.emit(&[
            ("id", &self.admitted.id),
            ("service", &self.admitted.service),
            ("shortage", &first_refusal.to_string()),
            ("obstacles", &exclusions.collect::<Vec<_>>().join(", ")),
            ("waited_ms", &since.elapsed().as_millis().to_string()),
            ("upstream", chosen.as_ref().map_or("", |pick| &pick.id)),
        ]);
        chosen
    }

    /// Chooses an upstream. If the upstream has a rate limit and no permit is due, another one is chosen.
    async fn choose_permitted(&self) -> Result<Pick, Refusal> {
        let (max_requests, max_time) = match self.warmup_limit() {
            Some(_) => (MAX_WARMUP_PERMIT_REQUESTS, MAX_WARMUP_PERMIT_TIME),
            None => (MAX_PERMIT_REQUESTS, Duration::MAX),
        };
        let since = Instant::now();
        for _ in 0..max_requests {
            let pick = self.choose_confirmed().await?;
            if self.is_permitted(&pick).await {
                return Ok(pick);
            }
            if since.elapsed() >= max_time {
                break;
            }
        }
        let retry_in = self.retry_in(Unavailable::Full, &self.needs(None), Instant::now());
        Err(Refusal::Full { retry_in })
    }

    /// Chooses an upstream. If its load is unconfirmed, a few remote agents are queried first.
    ///
    /// An upstream whose agent does not answer gets no request. Its last load report shows free slots to the
    /// entries of all data centres, and their requests can fill its link so that no new report gets through.
    async fn choose_confirmed(&self) -> Result<Pick, Refusal> {
        let pick = self.choose(None)?;
        if !pick.is_unconfirmed {
            return Ok(pick);
        }
        let asked_at = Instant::now();
        let answers = self.query_remote(asked_at).await;
        if answers == 0 && pick.source == LoadSource::Own {
            // No agent reports load for this service, so its own count is all that the entry has.
            return Ok(pick);
        }
        self.choose(Some(asked_at))
    }

    /// Queries the agents of a few remote upstreams; returns how many answered in time.
    async fn query_remote(&self, asked_at: Instant) -> usize {
        let ips = {
            let ticket = rand::rng().random();
            let upstreams = self.service.upstreams();
            upstreams.unconfirmed(&self.needs(None), REMOTE_QUERIES, ticket, asked_at)
        };
        for ip in &ips {
            self.cx.agents.query_load(*ip);
        }
        let count = || self.service.upstreams().answers_of(&ips, asked_at);
        let all_answered = async {
            loop {
                let updated = self.service.load_updated.notified();
                if count() == ips.len() {
                    return;
                }
                updated.await;
            }
        };
        // Late answers do not count for this choice.
        let _ = tokio::time::timeout(REMOTE_QUERY_TIMEOUT, all_answered).await;
        count()
    }

    /// Returns what the request requires of an upstream, with a load report since `reported_since` if given.
    pub(crate) fn needs(&self, reported_since: Option<Instant>) -> Requirements<'_> {
        let model = self.admitted.model.as_deref();
        Requirements {
            model,
            least_version: model.and_then(|model| self.cx.view.least_version(model)),
            tried: self.attempts.tried(),
            engine: self.admitted.engine.as_ref(),
            prompt: self.admitted.head.prompt_tokens,
            objective: self.objective(),
            regions: self.admitted.regions.clone(),
            reported_since,
            prefixes: &self.admitted.prefixes,
        }
    }

    fn choose(&self, reported_since: Option<Instant>) -> Result<Pick, Refusal> {
        if self.admitted.customer.is_some() && !self.cx.trusts_keys() {
            return Err(Refusal::StaleConfiguration);
        }
        let needs = self.needs(reported_since);
        let now = Instant::now();
        let chosen = self.service.upstreams().choose(&needs, now);
        chosen.map_err(|reason| {
            let retry_in = self.retry_in(reason, &needs, now);
            match reason {
                Unavailable::NoUpstream => Refusal::NoUpstream { retry_in },
                Unavailable::Region => Refusal::Region { retry_in },
                Unavailable::Weights => Refusal::Weights { retry_in },
                Unavailable::Full => Refusal::Full { retry_in },
            }
        })
    }

    /// Returns the time after which the caller should send a request again that found no upstream.
    fn retry_in(&self, reason: Unavailable, needs: &Requirements<'_>, now: Instant) -> Duration {
        let free_in = match reason {
            Unavailable::Full => self.service.upstreams().free_in(needs, now),
            Unavailable::NoUpstream | Unavailable::Region | Unavailable::Weights => {
                Some(LONG_RETRY_AFTER)
            }
        };
        let left = self.admitted.deadline.saturating_duration_since(now);
        let refusals = self.service.refusal_rate();
        refusals.retry_after(free_in.unwrap_or(PLAIN_SLOT_FREE_IN), left)
    }

    /// Returns the refusal for a request that no upstream ran. If all of them rest, its caller should come back
    /// after the first of them has rested.
    pub(crate) fn refused_by_upstreams(&self) -> Refusal {
        let now = Instant::now();
        let needs = self.needs(None);
        let rest = self.service.upstreams().all_rest(&needs, now);
        let left = self.admitted.deadline.saturating_duration_since(now);
        rest.map_or(Refusal::UpstreamsRefused, |rest| Refusal::Full {
            retry_in: self.service.refusal_rate().retry_after(rest, left),
        })
    }

    /// Returns `refusal`, or [`Refusal::Unknown`] for a request that may have run and must not be refused
    /// as not run.
    pub(crate) fn refuse_or_unknown(&self, refusal: Refusal) -> Refusal {
        if self.attempts.may_have_run() {
            Refusal::Unknown
        } else {
            refusal
        }
    }
}
