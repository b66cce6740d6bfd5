//! Limits that upstreams name for all entries together.

use std::net::IpAddr;
use std::time::{Duration, Instant};

use wagtailreel_fleet::AskPermit;
use wagtailreel_route::direct::{ISSUER_SHARES, Limit, NamedLimit, Pick};

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::live::Live;

/// Share of a limit that an entry takes in a fleet without agents whose seeds don't answer: none knows how many
/// entries there are.
const ALONE_SHARE: f64 = 0.1;

/// How long an upstream with a limit gets no request where no agent answers.
const WITHOUT_ANSWER: Duration = Duration::from_millis(500);

impl<D> Call<D>
where
    D: Dialect,
{
    /// Asks for leave to send a request to an upstream that names a limit; notes how long there is no
    /// room. Others need none.
    pub(crate) async fn is_permitted(&self, pick: &Pick) -> bool {
        let Some((limit, named_at)) = self.service.upstreams().limit(&pick.id) else {
            return true;
        };
        let wait = self.permit(pick, limit, named_at).await;
        let wait = wait.unwrap_or(WITHOUT_ANSWER);
        if !wait.is_zero() {
            let mut upstreams = self.service.upstreams();
            upstreams.limited(&pick.id, wait, Instant::now());
        }
        wait.is_zero()
    }

    /// Asks the first agent that answers, one at most; a later one gives less, so that all that give to
    /// different entries together keep to what upstreams are promised.
    async fn permit(&self, pick: &Pick, limit: Limit, named_at: Instant) -> Option<Duration> {
        let agents = &self.cx.agents;
        let givers = self.permit_givers(pick);
        let mut givers = givers.into_iter().zip(ISSUER_SHARES).enumerate();
        let answers = givers.find(|(_, (ip, _))| !agents.is_silent(*ip));
        // Seeds may be gone for good, where agents come back with their engines.
        if answers.is_none() && !self.cx.view.has_agents() {
            let limit = Limit::new(limit.per_second() * ALONE_SHARE)?;
            return Some(agents.permit_alone(&pick.id, limit, named_at));
        }
        let (place, (ip, share)) = answers?;
        let ask = AskPermit {
            is_stand_in: place > 0,
            ..ask(&pick.id, limit.per_second() * share, named_at)
        };
        agents.ask_permit(ip, ask).await
    }

    /// Tells the agents that give permits for an upstream that it names no limit any more.
    fn tell_withdrawn(&self, limit: Limit) {
        let Some(pick) = &self.last_pick else {
            return;
        };
        let withdrawn = AskPermit {
            is_withdrawn: true,
            ..ask(&pick.id, limit.per_second(), self.sent_at)
        };
        for ip in self.permit_givers(pick) {
            self.cx.agents.tell_withdrawn(ip, withdrawn.clone());
        }
    }

    fn permit_givers(&self, pick: &Pick) -> Vec<IpAddr> {
        let is_engine = self.admitted.engine.is_some();
        self.cx.view.permit_givers(pick, is_engine)
    }

    /// Takes what an answer says of its upstream's limit.
    pub(crate) fn take_limit(&self, live: &Live) {
        let named = live.marks.limit;
        let id = live.upstream();
        let mut upstreams = self.service.upstreams();
        let before = upstreams.limit(id);
        let is_new = upstreams.named_limit(id, named, self.sent_at, Instant::now());
        drop(upstreams);
        if !is_new && named != NamedLimit::Unreadable {
            return;
        }
        if let (NamedLimit::None, Some((limit, _))) = (named, before) {
            self.tell_withdrawn(limit);
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

fn ask(id: &str, per_second: f64, at: Instant) -> AskPermit {
    let age = at.elapsed().as_millis();
    AskPermit {
        nonce: 0,
        upstream: id.to_owned(),
        per_second,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        is_withdrawn: false,
        is_stand_in: false,
    }
}
