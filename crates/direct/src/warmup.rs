//! The limit of requests to upstreams that may be cold, for services with a warm-up rate.

use std::time::{Duration, Instant};

use wagtailreel_fleet::{PermitRequest, Topic, WarmupPermitRequest};
use wagtailreel_route::direct::{ISSUER_SHARES, Limit, Pick, WarmupLimit};

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::limits::{NO_ANSWER_BACKOFF, permit_request};

/// Time after a permit within which its request is sent. Opening a connection takes one round trip, 6 ms at
/// most, unless a packet is lost.
const MAX_SEND_DELAY: Duration = Duration::from_millis(20);

/// Age of the known upstreams above which an entry requests no permits from fallback issuers. These are
/// chosen among the known engines, and entries that know different ones would add up their shares.
const MAX_FALLBACK_AGE: Duration = Duration::from_secs(3);

impl<D> Call<D>
where
    D: Dialect,
{
    /// Returns the limit for upstreams of the request's service while they are cold, if the service has a
    /// warm-up rate. It holds for all of them, since nobody may know yet that one is cold.
    pub(crate) fn warmup_limit(&self) -> Option<WarmupLimit> {
        let service = self.admitted.directory.service(&self.admitted.service)?;
        let bounds = &self.cx.settings.bounds;
        WarmupLimit::new(
            service.warmup_per_second,
            bounds.warmup_overage,
            bounds.warmup_slack,
        )
    }

    /// Requests a permit of the warm-up limit, and of the limit that the upstream names if there is one.
    /// Records how long none is due.
    pub(crate) async fn is_warmup_permitted(
        &self,
        pick: &Pick,
        warmup: WarmupLimit,
        named: Option<(Limit, Instant)>,
    ) -> bool {
        let wait = self.warmup_permit(pick, warmup, named).await;
        let result = match wait {
            Some(Duration::ZERO) => "granted",
            Some(_) => "refused",
            None => "no-answer",
        };
        let counter = &self.cx.metrics.warmup_permits;
        counter.with_label_values(&[result]).inc();
        if let Some(wait) = wait.filter(|wait| !wait.is_zero()) {
            events::WARMUP_LIMITED.emit(&[
                ("upstream", &pick.id),
                ("service", &self.admitted.service),
                ("wait_ms", &wait.as_millis().to_string()),
            ]);
        }
        let wait = wait.unwrap_or(NO_ANSWER_BACKOFF);
        if !wait.is_zero() {
            let mut upstreams = self.service.upstreams();
            upstreams.warmup_limited(&pick.id, wait, Instant::now());
        }
        wait.is_zero()
    }

    /// Requests a permit from the first agent that is not silent, and from no other.
    async fn warmup_permit(
        &self,
        pick: &Pick,
        warmup: WarmupLimit,
        named: Option<(Limit, Instant)>,
    ) -> Option<Duration> {
        let agents = &self.cx.agents;
        let issuers = self.permit_issuers(pick).into_iter();
        let issuers = issuers.zip(warmup.issuers()).zip(ISSUER_SHARES);
        let mut issuers = issuers.enumerate();
        let (position, ((ip, max_in_window), share)) =
            issuers.find(|(_, ((ip, _), _))| !agents.is_silent(*ip))?;
        if position > 0 && !self.knows_issuers() {
            return None;
        }
        let named = named.map(|(limit, named_at)| PermitRequest {
            is_fallback: position > 0,
            ..permit_request(&pick.id, limit.per_second() * share, named_at)
        });
        let req = WarmupPermitRequest {
            nonce: 0,
            addr: pick.addr,
            max_in_window,
            named,
        };
        let wait = agents.request_warmup_permit(ip, req).await;
        if wait.is_none() {
            events::WARMUP_UNANSWERED.emit(&[
                ("upstream", &pick.id),
                ("service", &self.admitted.service),
                ("issuer", &ip.to_string()),
            ]);
        }
        wait
    }

    /// Returns whether the entry knows the same fallback issuers as the others.
    fn knows_issuers(&self) -> bool {
        let age = self.cx.view.age(Topic::Upstreams);
        age.is_some_and(|age| age <= MAX_FALLBACK_AGE)
    }

    /// Returns whether a request that was permitted at `chosen_at` may still be sent. After a delay it needs
    /// another permit.
    pub(crate) async fn is_still_permitted(&self, pick: &Pick, chosen_at: Instant) -> bool {
        self.warmup_limit().is_none()
            || chosen_at.elapsed() <= MAX_SEND_DELAY
            || self.is_permitted(pick).await
    }
}
