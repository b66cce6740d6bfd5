//! Asks agents how loaded their engines are.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::time::MissedTickBehavior;
use wagtailreel_core::DataCentre;
use wagtailreel_fleet::{BootTime, Datagram, LoadStatus, ModelName, Query};
use wagtailreel_nearby::Neighbours;
use wagtailreel_route::direct::{Member, Naming};

use crate::agents::{Agents, OUT_OF_TURN};
use crate::events;
use crate::far::FarWords;
use crate::seed::SeedRelay;
use crate::suspects::Suspects;
use crate::view::{Service, View};

/// Time between two questions to the agents of the own data centre. An engine starts and ends
/// about one request in this time.
const NEAR: Duration = Duration::from_millis(100);

/// How many near questions there are for each one to another data centre, whose links are narrow.
const FAR_EVERY: u32 = 5;

/// How many near questions there are for each time that requests are told of again, in fleets without agents.
const RELAY_AGAIN_EVERY: u32 = 10;

/// Agents of another data centre, of which its entries tell, that are asked in a turn: they tell which
/// entries there are, and hear of weights that were named.
const FAR_ASKED: f64 = 2.0;

/// Rounds of questions whose times are kept: 6.4 s. The time that a later answer took is not known.
const ROUNDS: usize = 64;

/// How long an agent's clock is known after it told it: shorter than a VM can be replaced in by one
/// with another clock at the same address.
const CLOCK_KNOWN: Duration = Duration::from_secs(1);

/// Longest datagram in bytes.
const DATAGRAM: usize = 4096;

/// Asks the agents of all engines for their load, for as long as it is not dropped.
pub(crate) async fn ask_agents(
    view: Arc<View>,
    neighbours: Arc<Neighbours>,
    far: Arc<FarWords>,
    agents: Agents,
    suspects: Arc<Suspects>,
    home: DataCentre,
) {
    let mut ticks = tokio::time::interval(NEAR);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; DATAGRAM];
    let mut round: u32 = 0;
    let mut rounds = Rounds::default();
    let mut clocks = AgentClocks::default();
    let mut seed = SeedRelay::new(Arc::clone(&view), agents.clone(), Arc::clone(&suspects));
    // What was asked of each VM, so that an answer locks one service alone.
    let mut known: BTreeMap<IpAddr, Asked> = BTreeMap::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1).max(1);
                let now = Instant::now();
                rounds.begin(round, now);
                let is_far_turn = round.is_multiple_of(FAR_EVERY);
                if is_far_turn {
                    // Those that are gone are forgotten.
                    known.clear();
                    seed.ask_seeds();
                }
                if round.is_multiple_of(RELAY_AGAIN_EVERY) {
                    seed.relay_again();
                }
                let abroad = is_far_turn.then_some(far.as_ref());
                let engines = engines(&view, &home, abroad);
                if engines.values().any(|asked| asked.is_near) {
                    neighbours.agents_asked();
                }
                for (ip, asked) in engines {
                    if asked.is_due {
                        agents.send(ip, asked.query(round, clocks.get(ip, BootTime::now())));
                        asked.service.upstreams().asked(ip, now);
                    }
                    known.insert(ip, asked);
                }
            }
            received = agents.socket().recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                let status = match Datagram::from_bytes(&buf[..len]) {
                    Ok(Datagram::Status(status)) => status,
                    Ok(Datagram::Ended(told)) => {
                        seed.take_accounts(&told, from);
                        continue;
                    }
                    Ok(Datagram::Query(_)) => {
                        seed.take_query(from);
                        continue;
                    }
                    Ok(Datagram::AskPermit(ask)) => {
                        seed.give_permit(&ask, from);
                        continue;
                    }
                    Ok(Datagram::Permit(permit)) => {
                        agents.take_permit(&permit);
                        continue;
                    }
                    Err(_) => continue,
                };
                let asked_of = known.get(&from.ip());
                match asked_of {
                    // Of another data centre the entries are no neighbours.
                    Some(of) if of.is_near => neighbours.hear(&status.entries, BootTime::now()),
                    Some(of) => far.hear_entries(&of.data_centre, &status.entries),
                    None => {}
                }
                if let Some(clock_ms) = status.clock_ms {
                    let told = BootTime::from_millis(clock_ms);
                    clocks.hear(from.ip(), told, BootTime::now());
                }
                // What comes without being asked for, or much later, answers no round that is known.
                let asked = rounds.get(status.nonce);
                if let (Some(naming), Some(asked)) = (&status.naming, asked) {
                    view.learn_naming(naming, asked.boot_time, from.ip());
                }
                if let (Some(load), Some(of)) = (status.load, asked_of) {
                    let round_trip = asked.map(|asked| asked.at.elapsed());
                    if status.nonce == OUT_OF_TURN {
                        of.service.upstreams().answered_by(from.ip(), Instant::now());
                    }
                    take(&of.service, from.ip(), &load, round_trip);
                    if let (Some(model), Some(version)) = (&of.model, load.version) {
                        view.record_held(model, version);
                    }
                }
            }
        }
    }
}

/// When a round of questions went out.
#[derive(Clone, Copy, Debug)]
struct Round {
    at: Instant,
    boot_time: BootTime,
}

/// The last rounds of questions, by their nonces.
#[derive(Debug, Default)]
struct Rounds(BTreeMap<u32, Round>);

impl Rounds {
    fn begin(&mut self, nonce: u32, at: Instant) {
        let round = Round {
            at,
            boot_time: BootTime::now(),
        };
        self.0.insert(nonce, round);
        if self.0.len() > ROUNDS {
            self.0.pop_first();
        }
    }

    fn get(&self, nonce: u32) -> Option<Round> {
        self.0.get(&nonce).copied()
    }
}

/// An agent's clock as it told it, and when.
#[derive(Clone, Copy, Debug)]
struct AgentClock {
    /// What it told.
    told: BootTime,
    /// When this entry heard it, by its own clock.
    at: BootTime,
}

impl AgentClock {
    /// Returns `moment` on the agent's clock.
    ///
    /// The agent told its clock before this entry heard of it, so that the result is never later than
    /// the moment: a later one would let requests begin on older weights for too long.
    fn translate(&self, moment: BootTime) -> BootTime {
        let (before, after) = (self.at.since(moment), moment.since(self.at));
        self.told.plus(after).minus(before)
    }
}

/// The clocks of agents that want to be told when weights were not named yet.
#[derive(Debug, Default)]
struct AgentClocks(BTreeMap<IpAddr, AgentClock>);

impl AgentClocks {
    fn hear(&mut self, ip: IpAddr, told: BootTime, at: BootTime) {
        self.0.insert(ip, AgentClock { told, at });
    }

    fn get(&self, ip: IpAddr, now: BootTime) -> Option<AgentClock> {
        let clock = self.0.get(&ip).copied();
        clock.filter(|clock| now.since(clock.at) <= CLOCK_KNOWN)
    }
}

/// An agent that may be asked.
#[derive(Clone, Debug)]
struct Asked {
    service: Arc<Service>,
    /// The model of its engine; none while no configuration says so.
    model: Option<ModelName>,
    /// What its engine is to serve.
    naming: Option<Naming>,
    data_centre: DataCentre,
    /// It stands in the entry's data centre.
    is_near: bool,
    /// It is asked now; what the others say is taken too.
    is_due: bool,
}

impl Asked {
    /// Returns the question in the round `nonce` to an agent with `clock`.
    fn query(&self, nonce: u32, clock: Option<AgentClock>) -> Query {
        let naming = self.naming.as_ref();
        let after = naming.and_then(|naming| naming.after);
        let since = naming.and_then(|naming| naming.since);
        let age = since.map(|since| BootTime::now().since(since).as_millis());
        Query {
            nonce,
            weights: naming.map(|naming| naming.weights.clone()),
            weights_age_ms: age.map(|age| u32::try_from(age).unwrap_or(u32::MAX)),
            weights_after_ms: clock
                .zip(after)
                .map(|(clock, after)| clock.translate(after).as_millis()),
            is_near: self.is_near,
            ..Query::default()
        }
    }
}

/// Returns the VMs of the engines, and whose agents are to be asked now; those of other data centres in
/// the turns in which `abroad` is given.
fn engines(view: &View, home: &str, abroad: Option<&FarWords>) -> BTreeMap<IpAddr, Asked> {
    if view.directory().is_none() {
        return all_near(view, home);
    }
    let mut agents = BTreeMap::new();
    for (service, model) in view.engine_services() {
        let asked = Asked {
            service,
            naming: view.newest_weights(&model),
            model: Some(model),
            data_centre: home.to_owned(),
            is_near: true,
            is_due: true,
        };
        add_near(&mut agents, &asked);
        if let Some(abroad) = abroad {
            add_far(&mut agents, &asked, abroad);
        }
    }
    agents
}

/// Returns the VMs of all upstreams of the own data centre.
///
/// Without a configuration it is not known which of them are engines, and their agents tell through
/// which neighbour the configuration is to be had.
fn all_near(view: &View, home: &str) -> BTreeMap<IpAddr, Asked> {
    let mut agents = BTreeMap::new();
    for service in view.services() {
        let asked = Asked {
            service,
            model: None,
            naming: None,
            data_centre: home.to_owned(),
            is_near: true,
            is_due: true,
        };
        add_near(&mut agents, &asked);
    }
    agents
}

fn add_near(agents: &mut BTreeMap<IpAddr, Asked>, asked: &Asked) {
    let upstreams = asked.service.upstreams();
    let members = upstreams.members();
    let near = members.filter(|it| it.upstream.data_centre == asked.data_centre);
    agents.extend(near.map(|it| (it.upstream.addr.ip(), asked.clone())));
}

/// Adds the agents of other data centres. Due are all of those that nobody tells of, and of the others a
/// few and those whose engines serve this entry.
fn add_far(agents: &mut BTreeMap<IpAddr, Asked>, near: &Asked, abroad: &FarWords) {
    let now = Instant::now();
    let upstreams = near.service.upstreams();
    let mut abroad_by_place: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in upstreams.members() {
        let data_centre = &member.upstream.data_centre;
        if *data_centre != near.data_centre {
            abroad_by_place.entry(data_centre).or_default().push(member);
        }
    }
    for (data_centre, members) in abroad_by_place {
        // A data centre has at least the one member that brought it here.
        #[allow(clippy::cast_precision_loss)]
        let few = (FAR_ASKED / members.len() as f64).min(1.0);
        let share = if abroad.is_told(data_centre) {
            few
        } else {
            1.0
        };
        for member in members {
            let asked = Asked {
                data_centre: data_centre.clone(),
                is_near: false,
                is_due: member.needs_direct_report(now) || rand::rng().random_bool(share),
                ..near.clone()
            };
            agents.insert(member.upstream.addr.ip(), asked);
        }
    }
}

fn take(service: &Service, ip: IpAddr, load: &LoadStatus, round_trip: Option<Duration>) {
    let now = Instant::now();
    let changed = service.upstreams().status(ip, load, round_trip, now);
    service.heard.notify_waiters();
    if changed {
        events::UPSTREAM_CHANGED.emit(&[
            ("upstream_ip", &ip.to_string()),
            ("version", &load.version.unwrap_or_default().to_string()),
            ("switching", &load.is_switching.to_string()),
            ("age_ms", &load.age_ms.to_string()),
        ]);
    }
}
