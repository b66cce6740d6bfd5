//! Rate limits that upstreams set for all entries together.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_fleet::PermitRequest;
use wagtailreel_route::direct::{ISSUER_SHARES, Limit, NamedLimit, Pick};

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::response::UpstreamResponse;

/// Share of a limit that each entry uses in a fleet without agents whose seeds don't answer, where no entry
/// knows the number of entries.
const UNCOORDINATED_SHARE: f64 = 0.1;

/// How long an upstream with a limit gets no request from this entry after no agent answered.
pub(crate) const NO_ANSWER_BACKOFF: Duration = Duration::from_millis(500);

impl<D> Call<D>
where
    D: Dialect,
{
    /// Requests a permit to send to an upstream that has a rate limit, and records how long none is due. An
    /// upstream without a limit needs no permit, unless its service has a warm-up rate.
    pub(crate) async fn is_permitted(&self, pick: &Pick) -> bool {
        let named = self.service.upstreams().limit(&pick.id);
        if let Some(warmup) = self.warmup_limit() {
            return self.is_warmup_permitted(pick, warmup, named).await;
        }
        let Some((limit, named_at)) = named else {
            return true;
        };
        let wait = self.permit(pick, limit, named_at).await;
        let wait = wait.unwrap_or(NO_ANSWER_BACKOFF);
        if !wait.is_zero() {
            let mut upstreams = self.service.upstreams();
            upstreams.limited(&pick.id, wait, Instant::now());
        }
        wait.is_zero()
    }

    /// Requests a permit from the first agent that is not silent, and from no other. An agent later in the
    /// order issues a smaller share, so that agents that issue to different entries together keep the
    /// limit.
    async fn permit(&self, pick: &Pick, limit: Limit, named_at: Instant) -> Option<Duration> {
        let agents = &self.cx.agents;
        let issuers = self.permit_issuers(pick);
        let mut issuers = issuers.into_iter().zip(ISSUER_SHARES).enumerate();
        let first = issuers.find(|(_, (ip, _))| !agents.is_silent(*ip));
        // Seeds may be gone for good, whereas agents come back with their engines.
        if first.is_none() && !self.cx.view.has_agents() {
            let limit = Limit::new(limit.per_second() * UNCOORDINATED_SHARE)?;
            return Some(agents.permit_uncoordinated(&pick.id, limit, named_at));
        }
        let (position, (ip, share)) = first?;
        let req = PermitRequest {
            is_fallback: position > 0,
            ..permit_request(&pick.id, limit.per_second() * share, named_at)
        };
        agents.request_permit(ip, req).await
    }

    /// Notifies the agents that issue permits for the upstream that it no longer has a limit.
    fn send_withdrawal(&self, limit: Limit) {
        let Some(pick) = &self.last_pick else {
            return;
        };
        let withdrawn = PermitRequest {
            is_withdrawn: true,
            ..permit_request(&pick.id, limit.per_second(), self.sent_at)
        };
        for ip in self.permit_issuers(pick) {
            self.cx.agents.send_withdrawal(ip, withdrawn.clone());
        }
    }

    /// Returns the VMs whose agents issue permits for an upstream. Where a warm-up limit holds, they are
    /// chosen by the upstream's address, as the limit is not reset if the upstream restarts under another id.
    pub(crate) fn permit_issuers(&self, pick: &Pick) -> Vec<IpAddr> {
        let is_engine = self.admitted.engine.is_some();
        let key = match self.warmup_limit() {
            Some(_) => pick.addr.to_string(),
            None => pick.id.clone(),
        };
        let view = &self.cx.view;
        view.permit_issuers(pick, key.as_bytes(), is_engine)
    }

    /// Records the rate limit that an answer states for its upstream, and logs a change.
    pub(crate) fn record_limit(&self, resp: &UpstreamResponse) {
        let named = resp.meta.limit;
        let id = resp.upstream();
        let mut upstreams = self.service.upstreams();
        let before = upstreams.limit(id);
        let is_new = upstreams.named_limit(id, named, self.sent_at, Instant::now());
        drop(upstreams);
        if !is_new && named != NamedLimit::Unreadable {
            return;
        }
        if let (NamedLimit::None, Some((limit, _))) = (named, before) {
            self.send_withdrawal(limit);
        }
        let now = match named {
            NamedLimit::None => String::new(),
            NamedLimit::Limit(limit) => limit.per_second().to_string(),
            NamedLimit::Unreadable => "unreadable".to_owned(),
        };
        let before = before.map(|(limit, _)| limit.per_second().to_string());
        events::UPSTREAM_LIMIT.emit(&[
            ("upstream", id),
            ("service", &self.admitted.service),
            ("limit", &now),
            ("before", &before.unwrap_or_default()),
        ]);
    }
}

pub(crate) fn permit_request(id: &str, per_second: f64, at: Instant) -> PermitRequest {
    let age = at.elapsed().as_millis();
    PermitRequest {
        nonce: 0,
        upstream: id.to_owned(),
        per_second,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        is_withdrawn: false,
        is_fallback: false,
    }
}
