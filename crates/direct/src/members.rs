//! The upstreams of one service: what is known of each, and which one a request goes to.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use wagtailreel_core::{DataCentre, Region};
use wagtailreel_fleet::{LoadStatus, Upstream, UpstreamId, UpstreamState, WeightsVersion};

/// How long an agent's word on its engine is used. Agents are asked several times a second; after
/// this time only the entry's own count and the registry are left.
const STATUS_VALID: Duration = Duration::from_millis(1500);

/// How long an upstream's load, told with an answer, is used.
const LOAD_VALID: Duration = Duration::from_millis(500);

/// First time for which an upstream is passed over after failures in a row, doubled with each.
const FIRST_SHUN: Duration = Duration::from_millis(500);

/// Longest time for which an upstream is passed over. One that is well again is noticed within it.
const LONGEST_SHUN: Duration = Duration::from_secs(4);

/// Failures in a row after which an upstream is passed over. A single one is usual where an
/// upstream fails some requests of its own accord.
const SHUN_AFTER: u32 = 2;

/// An agent that leaves questions open for longer is silent, or its link is choked: the same link
/// carries the engine's answers. Agents abroad are asked each 500 ms.
const OPEN_QUESTION: Duration = Duration::from_millis(700);

/// A question and its answer that take longer speak of a choked link. The longest way there and
/// back takes 6 ms.
const CHOKED: Duration = Duration::from_millis(120);

/// Requests that an entry keeps at an upstream whose link is in doubt. Eight entries fill one batch
/// of 16 if all do.
const DOUBTED_REQUESTS: u32 = 2;

/// Entries that are thought to send to one engine at the same time: an engine that has just loaded
/// is empty to all entries of its data centre, and gets the requests of each.
const ENTRIES_AT_ONCE: f64 = 2.0;

/// Reading that is worth a request abroad. Answers are wanted within 300 ms, of which 60 go into
/// the first pass.
const LONG_READING: Duration = Duration::from_millis(160);

/// Difference in reading, in milliseconds, that goes before one in load: a mean prompt's.
const READING_STEP: u128 = 30;

/// Requests that may wait at a full engine. Each waits about a tenth of a second for the one
/// before it, and an answer that starts later than its objective earns a quarter.
const ENGINE_QUEUE: u32 = 1;

/// Where a figure on an upstream's load comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LoadSource {
    /// The entry's own count.
    #[display("own")]
    Own,
    /// The upstream's answers.
    #[display("answers")]
    Answers,
    /// The agent beside it.
    #[display("agent")]
    Agent,
}

/// One upstream as this entry knows it.
#[derive(Clone, Debug)]
pub struct Member {
    /// What it says of itself in the registry.
    pub upstream: Upstream,
    /// Requests of this entry that are there now; exact.
    pub own: u32,
    /// Prompt tokens of those that have not begun to answer; exact.
    own_unread: u32,
    /// Requests of others, as of the last word on its load; late.
    others: u32,
    others_at: Option<Instant>,
    status: Option<(LoadStatus, Instant)>,
    failures: u32,
    shunned_until: Option<Instant>,
    /// Since when the agent owes an answer.
    asked_since: Option<Instant>,
    /// How long the last question and its answer took.
    round_trip: Duration,
    is_gone: bool,
}

impl Member {
    fn new(upstream: Upstream) -> Self {
        Self {
            upstream,
            own: 0,
            own_unread: 0,
            others: 0,
            others_at: None,
            status: None,
            failures: 0,
            shunned_until: None,
            asked_since: None,
            round_trip: Duration::ZERO,
            is_gone: false,
        }
    }

    /// Returns the agent's word while it is fresh.
    fn fresh_status(&self, now: Instant) -> Option<&LoadStatus> {
        let (status, at) = self.status.as_ref()?;
        (now.saturating_duration_since(*at) <= STATUS_VALID).then_some(status)
    }

    /// Returns the requests that are thought to be there, and whose word it is.
    pub fn in_flight(&self, now: Instant) -> (u32, LoadSource) {
        let valid = if self.fresh_status(now).is_some() {
            STATUS_VALID
        } else {
            LOAD_VALID
        };
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= valid;
        if !self.others_at.is_some_and(is_fresh) {
            return (self.own, LoadSource::Own);
        }
        let source = if self.fresh_status(now).is_some() {
            LoadSource::Agent
        } else {
            LoadSource::Answers
        };
        (self.own.saturating_add(self.others), source)
    }

    /// Returns the version of `model` that the upstream holds whole.
    fn version_of(&self, model: &str, now: Instant) -> Option<WeightsVersion> {
        match self.fresh_status(now) {
            Some(status) => status.version,
            None => self.upstream.version_of(model),
        }
    }

    /// Returns how long the engine is thought to read the prompts that it has.
    fn reading(&self, per_second: f64) -> Duration {
        if per_second <= 0.0 {
            return Duration::ZERO;
        }
        let tokens = f64::from(self.own_unread) * ENTRIES_AT_ONCE;
        Duration::try_from_secs_f64(tokens / per_second).unwrap_or(Duration::MAX)
    }

    /// Says whether the link to the upstream is in doubt.
    fn is_doubted(&self, now: Instant) -> bool {
        let owes = |since: Instant| now.saturating_duration_since(since) > OPEN_QUESTION;
        self.round_trip > CHOKED || self.asked_since.is_some_and(owes)
    }

    fn takes_new(&self, now: Instant) -> bool {
        self.upstream.state == UpstreamState::Ready
            && !self.is_gone
            && self.shunned_until.is_none_or(|until| now >= until)
            && !self.fresh_status(now).is_some_and(|it| it.is_switching)
    }

    fn take_load(&mut self, total: u32, at: Instant) {
        self.others = total.saturating_sub(self.own);
        self.others_at = Some(at);
    }
}

/// What one request asks of the choice.
#[derive(Clone, Debug, Default)]
pub struct Ask<'a> {
    /// The model that the request needs; none at a plain service.
    pub model: Option<&'a str>,
    /// Oldest version of the model's weights that may begin the request.
    pub least_version: Option<WeightsVersion>,
    /// Upstreams that the request was sent to or that it did not reach.
    pub tried: BTreeSet<UpstreamId>,
    /// Prompt tokens that the engine reads in a second; 0 at a plain service.
    pub read_per_second: f64,
}

/// An upstream that was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Id of the upstream.
    pub id: UpstreamId,
    /// Its address.
    pub addr: std::net::SocketAddr,
    /// The version of the weights that the request is to run on.
    pub version: Option<WeightsVersion>,
    /// Requests that were thought to be there.
    pub in_flight: u32,
    /// Whose word that is.
    pub source: LoadSource,
    /// 0 in the own data centre, 1 in its region, 2 beyond.
    pub distance: u8,
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Shortage {
    /// None is registered, or all are leaving or failing.
    #[display("no-upstream")]
    NoUpstream,
    /// None holds the weights.
    #[display("weights")]
    Weights,
    /// All are full.
    #[display("full")]
    Full,
}

/// The upstreams of one service.
///
/// Invariant: an upstream that drains or is gone is never chosen, also by a request that waited.
#[derive(Clone, Debug)]
pub struct Upstreams {
    data_centre: DataCentre,
    region: Region,
    regions: BTreeMap<DataCentre, Region>,
    members: BTreeMap<UpstreamId, Member>,
    turn: u64,
}

impl Upstreams {
    /// Makes the empty set of an entry in `data_centre`.
    pub fn new(data_centre: DataCentre, regions: BTreeMap<DataCentre, Region>) -> Self {
        let region = regions.get(&data_centre).cloned().unwrap_or_default();
        Self {
            data_centre,
            region,
            regions,
            members: BTreeMap::new(),
            turn: 0,
        }
    }

    /// Takes what an upstream says of itself; returns whether its state or weights changed.
    pub fn update(&mut self, upstream: Upstream) -> bool {
        let addr = upstream.addr;
        let id = upstream.id.clone();
        let changed = match self.members.get_mut(&upstream.id) {
            Some(member) => {
                let changed = member.upstream.state != upstream.state
                    || member.upstream.models != upstream.models;
                member.upstream = upstream;
                member.is_gone = false;
                changed
            }
            None => {
                self.members.insert(id.clone(), Member::new(upstream));
                true
            }
        };
        if changed {
            // An address belongs to whoever registered it last.
            for member in self.members.values_mut() {
                member.is_gone |= member.upstream.addr == addr && member.upstream.id != id;
            }
            self.forget();
        }
        changed
    }

    /// Takes that an upstream is no longer registered; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let Some(member) = self.members.get_mut(id) else {
            return false;
        };
        member.is_gone = true;
        self.forget();
        true
    }

    /// Takes that the agent beside the engine at `ip` was asked.
    pub fn asked(&mut self, ip: std::net::IpAddr, now: Instant) {
        for member in self.members.values_mut() {
            if member.upstream.addr.ip() == ip {
                member.asked_since.get_or_insert(now);
            }
        }
    }

    /// Takes an agent's word on the engine at `ip`, and how long it took if it was asked for;
    /// returns whether its weights changed.
    pub fn status(
        &mut self,
        ip: std::net::IpAddr,
        status: &LoadStatus,
        round_trip: Option<Duration>,
        now: Instant,
    ) -> bool {
        let members = self.members.values_mut();
        let Some(member) = members
            .filter(|member| !member.is_gone)
            .find(|member| member.upstream.addr.ip() == ip)
        else {
            return false;
        };
        let before = member.status.as_ref();
        let changed = before.is_none_or(|(before, _)| {
            before.version != status.version || before.is_switching != status.is_switching
        });
        member.take_load(status.queued.saturating_add(status.running), now);
        member.asked_since = None;
        member.round_trip = round_trip.unwrap_or(member.round_trip);
        member.status = Some((status.clone(), now));
        changed
    }

    /// Takes the load that an upstream told with an answer.
    pub fn load(&mut self, id: &str, total: u32, now: Instant) {
        if let Some(member) = self.members.get_mut(id)
            && member.fresh_status(now).is_none()
        {
            member.take_load(total, now);
        }
    }

    /// Takes that an upstream says it is full.
    pub fn full(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            let slots = member.upstream.slots.saturating_add(ENGINE_QUEUE);
            member.take_load(slots.max(member.own), now);
        }
    }

    /// Takes that an attempt failed through the upstream; returns how long it is passed over.
    pub fn failed(&mut self, id: &str, now: Instant) -> Option<Duration> {
        let member = self.members.get_mut(id)?;
        member.failures = member.failures.saturating_add(1);
        let over = member.failures.checked_sub(SHUN_AFTER)?;
        let shun = FIRST_SHUN
            .saturating_mul(1 << over.min(8))
            .min(LONGEST_SHUN);
        member.shunned_until = Some(now + shun);
        Some(shun)
    }

    /// Takes that an upstream answered.
    pub fn answered(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.failures = 0;
            member.shunned_until = None;
        }
    }

    /// Takes that an upstream turned out to be another one, or to have other weights.
    pub fn misdirected(&mut self, id: &str, now: Instant) {
        if let Some(member) = self.members.get_mut(id) {
            member.shunned_until = Some(now + FIRST_SHUN);
        }
    }

    /// Counts a request with a prompt of `tokens` that goes to an upstream.
    pub fn started(&mut self, id: &str, tokens: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own = member.own.saturating_add(1);
            member.own_unread = member.own_unread.saturating_add(tokens);
        }
    }

    /// Counts that a prompt of `tokens` was read: its answer has begun, or never will.
    pub fn begun(&mut self, id: &str, tokens: u32) {
        if let Some(member) = self.members.get_mut(id) {
            member.own_unread = member.own_unread.saturating_sub(tokens);
        }
    }

    /// Counts a request that is over at an upstream.
    pub fn finished(&mut self, id: &str) {
        if let Some(member) = self.members.get_mut(id) {
            member.own = member.own.saturating_sub(1);
        }
        self.forget();
    }

    /// Returns the members that are registered.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| !member.is_gone)
    }

    /// Says whether `id` may still get a request; asked again just before it is sent.
    pub fn may_send(&self, id: &str) -> bool {
        self.members
            .get(id)
            .is_some_and(|member| !member.is_gone && member.upstream.state == UpstreamState::Ready)
    }

    /// Chooses an upstream for a request.
    ///
    /// The own data centre goes first, then its region, then others: a request abroad costs bytes
    /// of narrow links. Within each the least loaded goes first, and equals take turns.
    ///
    /// # Errors
    ///
    /// Returns the [`Shortage`] if none can take the request now.
    pub fn choose(&mut self, ask: &Ask<'_>, now: Instant) -> Result<Pick, Shortage> {
        let mut shortage = Shortage::NoUpstream;
        let mut best: Option<(Rank, Pick)> = None;
        self.turn = self.turn.wrapping_add(1);
        let count = self.members.len().max(1) as u64;
        for (position, member) in self.members.values().enumerate() {
            if !member.takes_new(now) || ask.tried.contains(&member.upstream.id) {
                continue;
            }
            let version = match ask.model {
                None => None,
                Some(model) => match member.version_of(model, now) {
                    Some(version) if ask.least_version.is_none_or(|least| version >= least) => {
                        Some(version)
                    }
                    _ => {
                        shortage = shortage.max_with(Shortage::Weights);
                        continue;
                    }
                },
            };
            let (in_flight, source) = member.in_flight(now);
            let slots = member.upstream.slots.max(1);
            if in_flight >= slots.saturating_add(ENGINE_QUEUE) {
                shortage = Shortage::Full;
                continue;
            }
            let is_doubted = member.is_doubted(now);
            if is_doubted && member.own >= DOUBTED_REQUESTS {
                shortage = Shortage::Full;
                continue;
            }
            let reading = member.reading(ask.read_per_second);
            let rank = Rank {
                is_doubted,
                waits: in_flight >= slots || reading > LONG_READING,
                distance: self.distance(&member.upstream.data_centre),
                reading: reading.as_millis() / READING_STEP,
                load: u64::from(in_flight) * 1000 / u64::from(slots),
                turn: (position as u64).wrapping_add(self.turn) % count,
            };
            let distance = rank.distance;
            if best.as_ref().is_none_or(|(least, _)| rank < *least) {
                let pick = Pick {
                    id: member.upstream.id.clone(),
                    addr: member.upstream.addr,
                    version,
                    in_flight,
                    source,
                    distance,
                };
                best = Some((rank, pick));
            }
        }
        best.map(|(_, pick)| pick).ok_or(shortage)
    }

    fn distance(&self, data_centre: &str) -> u8 {
        if data_centre == self.data_centre {
            return 0;
        }
        let region = self.regions.get(data_centre);
        if region == Some(&self.region) { 1 } else { 2 }
    }

    fn forget(&mut self) {
        self.members
            .retain(|_, member| !member.is_gone || member.own > 0);
    }
}

impl Shortage {
    /// Keeps the shortage that comes nearer to serving.
    fn max_with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Full, _) | (_, Self::Full) => Self::Full,
            (Self::Weights, _) | (_, Self::Weights) => Self::Weights,
            _ => Self::NoUpstream,
        }
    }
}

/// Order in which upstreams are preferred, lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    is_doubted: bool,
    waits: bool,
    distance: u8,
    reading: u128,
    load: u64,
    turn: u64,
}
