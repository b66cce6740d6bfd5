//! Which upstream the next attempt of a request goes to.

use std::time::{Duration, Instant};

use rand::RngExt as _;
use wagtailreel_route::direct::{LoadSource, Pick, Requirements, Unavailable};

use crate::attempt::{Call, LEAST_FOR_RETRY};
use crate::dialect::Dialect;
use crate::events;
use crate::refusal::{LONG_PAUSE, Refusal};

/// Upstreams abroad that are asked before a request goes there. Of three drawn at random one has
/// room unless four in five have none.
const ASKED_ABROAD: usize = 3;

/// Longest wait for the words of upstreams abroad: a way there and back of 6 ms, the longest that is
/// known, and a turn of either process.
const ABROAD_PATIENCE: Duration = Duration::from_millis(15);

/// Upstreams with a limit that one request asks for a permit. Those without room are passed over by
/// later ones until they have some.
const PERMITS_ASKED: usize = 4;

/// When a place is expected to be free at a full plain service, whose answers nobody can predict.
const FREE_IN: Duration = Duration::from_millis(200);

/// Longest pause before an upstream is chosen again for a request that waits for one: limits and pauses of
/// upstreams end without a word.
const CHOOSE_AGAIN: Duration = Duration::from_millis(50);

impl<D> Call<D>
where
    D: Dialect,
{
    /// Chooses an upstream, and counts whether there was one.
    ///
    /// A request that has not run is refused where there is none. One that may have run can't be, and waits
    /// for as long as another attempt is worth making.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub(crate) async fn choose_next(&self) -> Result<Pick, Refusal> {
        let chosen = self.choose_permitted().await;
        self.count_shortage(chosen.is_err());
        match chosen {
            Err(refusal) if self.may_have_run => self.await_upstream(refusal).await,
            chosen => chosen,
        }
    }

    fn count_shortage(&self, is_short: bool) {
        let mut refusal_rate = self.service.refusal_rate();
        refusal_rate.count(is_short, Instant::now());
    }

    /// Waits until an upstream can be chosen in place of the one that was lost; `reason` is why none
    /// could be at first.
    async fn await_upstream(&self, reason: Refusal) -> Result<Pick, Refusal> {
        let since = Instant::now();
        let until = self.admitted.deadline.checked_sub(LEAST_FOR_RETRY);
        let exclusions = self
            .service
            .upstreams()
            .exclusions(&self.needs(None), since);
        let choosing = async {
            loop {
                self.check_quarantine()?;
                let changed = self.service.changed.notified();
                // Some of what is waited for comes with time alone.
                let _ = tokio::time::timeout(CHOOSE_AGAIN, changed).await;
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
            ("shortage", &reason.to_string()),
            ("obstacles", &exclusions.collect::<Vec<_>>().join(", ")),
            ("waited_ms", &since.elapsed().as_millis().to_string()),
            ("upstream", chosen.as_ref().map_or("", |pick| &pick.id)),
        ]);
        chosen
    }

    /// Chooses an upstream; asks for a permit where it names a limit, and chooses again without one.
    async fn choose_permitted(&self) -> Result<Pick, Refusal> {
        for _ in 0..PERMITS_ASKED {
            let pick = self.choose_heard().await?;
            if self.is_permitted(&pick).await {
                return Ok(pick);
            }
        }
        let back_in = self.back_in(Unavailable::Full, &self.needs(None), Instant::now());
        Err(Refusal::Full { back_in })
    }

    /// Chooses an upstream; asks a few abroad how they are before a request goes there.
    ///
    /// One that doesn't answer gets no request: its old word says that it has room to every entry of
    /// every data centre, and what they send keeps its link too full for a new word.
    async fn choose_heard(&self) -> Result<Pick, Refusal> {
        let pick = self.choose(None)?;
        if !pick.is_unconfirmed {
            return Ok(pick);
        }
        let asked_at = Instant::now();
        let heard = self.ask_abroad(asked_at).await;
        if heard == 0 && pick.source == LoadSource::Own {
            // No agent of the service tells of any engine.
            return Ok(pick);
        }
        self.choose(Some(asked_at))
    }

    /// Asks a few upstreams abroad and waits for their words; returns how many came.
    async fn ask_abroad(&self, asked_at: Instant) -> usize {
        let ips = {
            let ticket = rand::rng().random();
            let upstreams = self.service.upstreams();
            upstreams.unconfirmed(&self.needs(None), ASKED_ABROAD, ticket, asked_at)
        };
        for ip in &ips {
            self.cx.agents.ask(*ip);
        }
        let count = || self.service.upstreams().answers_of(&ips, asked_at);
        let all_heard = async {
            loop {
                let heard = self.service.heard.notified();
                if count() == ips.len() {
                    return;
                }
                heard.await;
            }
        };
        // Those that are late count as not asked.
        let _ = tokio::time::timeout(ABROAD_PATIENCE, all_heard).await;
        count()
    }

    fn needs(&self, reported_since: Option<Instant>) -> Requirements<'_> {
        let model = self.admitted.model.as_deref();
        Requirements {
            model,
            least_version: model.and_then(|model| self.cx.view.least_version(model)),
            tried: self.tried.clone(),
            engine: self.admitted.engine.as_ref(),
            prompt: self.admitted.head.prompt_tokens,
            objective: self.admitted.route.objective,
            reported_since,
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
            let back_in = self.back_in(reason, &needs, now);
            match reason {
                Unavailable::NoUpstream => Refusal::NoUpstream { back_in },
                Unavailable::Weights => Refusal::Weights { back_in },
                Unavailable::Full => Refusal::Full { back_in },
            }
        })
    }

    /// Returns when a request that found no upstream is best sent again.
    fn back_in(&self, reason: Unavailable, needs: &Requirements<'_>, now: Instant) -> Duration {
        let free_in = match reason {
            Unavailable::Full => self.service.upstreams().free_in(needs, now),
            Unavailable::NoUpstream | Unavailable::Weights => Some(LONG_PAUSE),
        };
        let left = self.admitted.deadline.saturating_duration_since(now);
        let refusal_rate = self.service.refusal_rate();
        refusal_rate.retry_after(free_in.unwrap_or(FREE_IN), left)
    }

    /// Makes sure that a request which may have run is not refused as not run.
    pub(crate) const fn not_sent(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run {
            Refusal::Unknown
        } else {
            refusal
        }
    }
}
