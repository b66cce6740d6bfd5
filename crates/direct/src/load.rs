//! Queries agents for the load of their engines, and handles the datagrams that come back.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::time::MissedTickBehavior;
use wagtailreel_core::DataCentre;
use wagtailreel_fleet::{BootTime, Datagram, LoadStatus, ModelName, Query, REQUEST_QUERY_NONCE};
use wagtailreel_nearby::Neighbours;
use wagtailreel_route::direct::{Member, Naming};

use crate::agents::Agents;
use crate::events;
use crate::quarantine_sync::QuarantineSync;
use crate::remote::RemoteLoad;
use crate::seed::SeedRelay;
use crate::view::{Service, View};

/// Time between two queries to the agents of the local data centre. An engine starts and ends about one
/// request in this time.
const LOCAL_QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Local rounds for each round of queries to remote data centres, whose links have less bandwidth.
const ROUNDS_PER_REMOTE_QUERY: u32 = 5;

/// Local rounds for each repeated relay of crash reports, in fleets without agents.
const ROUNDS_PER_REPEATED_RELAY: u32 = 10;

/// Mean number of agents that are queried per remote round in a data centre whose entries report its load.
/// These agents name the entries of their data centre, and learn of namings.
const REMOTE_AGENTS_PER_ROUND: f64 = 2.0;

/// Query rounds whose times are kept, 6.4 s. The round trip of a later answer is unknown.
const MAX_ROUNDS: usize = 64;

/// How long a reading of an agent's clock is used. A VM with another clock can't replace the agent's VM at
/// the same address within this time.
const CLOCK_TTL: Duration = Duration::from_secs(1);

/// Maximum datagram, in bytes.
const MAX_DATAGRAM: usize = 4096;

/// Queries the agents of all engines and handles incoming datagrams, until the future is dropped.
pub(crate) async fn query_agents(
    view: Arc<View>,
    neighbours: Arc<Neighbours>,
    remote_load: Arc<RemoteLoad>,
    agents: Agents,
    quarantine: Arc<QuarantineSync>,
    home: DataCentre,
) {
    let mut ticks = tokio::time::interval(LOCAL_QUERY_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; MAX_DATAGRAM];
    let mut round: u32 = 0;
    let mut rounds = Rounds::default();
    let mut clocks = AgentClocks::default();
    let mut seed = SeedRelay::new(Arc::clone(&view), agents.clone(), Arc::clone(&quarantine));
    // The agent on each VM with its service, so that an answer locks one service only.
    let mut known: BTreeMap<IpAddr, QueriedAgent> = BTreeMap::new();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1).max(1);
                let now = Instant::now();
                rounds.insert(round, now);
                let is_remote_round = round.is_multiple_of(ROUNDS_PER_REMOTE_QUERY);
                if is_remote_round {
                    // Drops agents that no longer exist; the loop below adds the others again.
                    known.clear();
                    seed.query_seeds(round);
                }
                if round.is_multiple_of(ROUNDS_PER_REPEATED_RELAY) {
                    seed.resend_recent();
                }
                let remote = is_remote_round.then_some(remote_load.as_ref());
                let engines = engine_agents(&view, &home, remote);
                if engines.values().any(|agent| agent.is_local) {
                    neighbours.note_agents_polled();
                }
                for (ip, agent) in engines {
                    if agent.is_due {
                        agents.send(ip, agent.query(round, clocks.get(ip, BootTime::now())));
                        // Without a configuration the upstream may be none with an agent.
                        if agent.model.is_some() {
                            agent.service.upstreams().asked(ip, now);
                        }
                    }
                    known.insert(ip, agent);
                }
            }
            received = agents.socket().recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                let status = match Datagram::from_bytes(&buf[..len]) {
                    Ok(Datagram::Status(status)) => status,
                    Ok(Datagram::CrashReports(reports)) => {
                        seed.handle_crash_reports(&reports, from);
                        continue;
                    }
                    Ok(Datagram::Query(query)) => {
                        seed.handle_query(&query, from);
                        continue;
                    }
                    Ok(Datagram::PermitRequest(req)) => {
                        seed.issue_permit(&req, from);
                        continue;
                    }
                    Ok(Datagram::WarmupPermitRequest(req)) => {
                        seed.issue_warmup_permit(&req, from);
                        continue;
                    }
                    Ok(Datagram::Permit(permit)) => {
                        agents.on_permit(&permit);
                        continue;
                    }
                    Err(_) => continue,
                };
                let agent = known.get(&from.ip());
                match agent {
                    // Only entries of the local data centre are neighbours.
                    Some(agent) if agent.is_local => neighbours.note_entries(&status.entries, BootTime::now()),
                    Some(agent) => remote_load.add_entries(&agent.data_centre, &status.entries),
                    None => {}
                }
                if let Some(clock_ms) = status.clock_ms {
                    let reading = BootTime::from_millis(clock_ms);
                    clocks.insert(from.ip(), reading, BootTime::now());
                }
                if let (Some(mean), Some(agent)) = (status.admission_permille, agent) {
                    agent.service.admission().receive_mean(mean, Instant::now());
                }
                // Unsolicited and very late datagrams match no known round.
                let sent = rounds.get(status.nonce);
                if let (Some(naming), Some(sent)) = (&status.naming, sent) {
                    view.merge_naming(naming, sent.boot_time, from.ip());
                }
                if let (Some(load), Some(agent)) = (status.load, agent) {
                    let round_trip = sent.map(|sent| sent.at.elapsed());
                    if status.nonce == REQUEST_QUERY_NONCE {
                        agent.service.upstreams().answered_by(from.ip(), Instant::now());
                    }
                    record_load(&agent.service, from.ip(), &load, round_trip);
                    if let (Some(model), Some(version)) = (&agent.model, load.version) {
                        view.record_held(model, version);
                    }
                }
            }
        }
    }
}

/// When the queries of a round were sent.
#[derive(Clone, Copy, Debug)]
struct Round {
    at: Instant,
    boot_time: BootTime,
}

/// The last query rounds, by nonce.
#[derive(Debug, Default)]
struct Rounds(BTreeMap<u32, Round>);

impl Rounds {
    fn insert(&mut self, nonce: u32, at: Instant) {
        let round = Round {
            at,
            boot_time: BootTime::now(),
        };
        self.0.insert(nonce, round);
        if self.0.len() > MAX_ROUNDS {
            self.0.pop_first();
        }
    }

    fn get(&self, nonce: u32) -> Option<Round> {
        self.0.get(&nonce).copied()
    }
}

/// A reading of an agent's clock.
#[derive(Clone, Copy, Debug)]
struct AgentClock {
    /// The time on the agent's clock.
    reading: BootTime,
    /// The time of receipt on this entry's clock.
    at: BootTime,
}

impl AgentClock {
    /// Returns `moment` on the agent's clock.
    ///
    /// The agent read its clock before this entry received the reading, so the result is never later than
    /// `moment`. A later result would let requests begin on older weights for too long.
    fn translate(&self, moment: BootTime) -> BootTime {
        let (before, after) = (self.at.since(moment), moment.since(self.at));
        self.reading.plus(after).minus(before)
    }
}

/// The clocks of agents, for queries that carry the time of a naming on the agent's clock.
#[derive(Debug, Default)]
struct AgentClocks(BTreeMap<IpAddr, AgentClock>);

impl AgentClocks {
    fn insert(&mut self, ip: IpAddr, reading: BootTime, at: BootTime) {
        self.0.insert(ip, AgentClock { reading, at });
    }

    fn get(&self, ip: IpAddr, now: BootTime) -> Option<AgentClock> {
        let clock = self.0.get(&ip).copied();
        clock.filter(|clock| now.since(clock.at) <= CLOCK_TTL)
    }
}

/// An agent that may be queried.
#[derive(Clone, Debug)]
struct QueriedAgent {
    service: Arc<Service>,
    /// The model of its engine; `None` as long as the entry has no configuration.
    model: Option<ModelName>,
    /// The newest naming of the model.
    naming: Option<Naming>,
    data_centre: DataCentre,
    /// Whether the agent is in the entry's data centre.
    is_local: bool,
    /// Whether the agent is queried in this round. Datagrams of the other agents are accepted as well.
    is_due: bool,
}

impl QueriedAgent {
    /// Returns the query of the round `nonce`; an agent whose `clock` is known gets the time of the naming
    /// on it.
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
            is_local: self.is_local,
            admission_permille: self.service.admission().reported_level(Instant::now()),
            ..Query::default()
        }
    }
}

/// Returns the agents of the engines by the addresses of their VMs; those of remote data centres only if
/// `remote` is given.
fn engine_agents(
    view: &View,
    home: &str,
    remote: Option<&RemoteLoad>,
) -> BTreeMap<IpAddr, QueriedAgent> {
    if view.directory().is_none() {
        return all_local(view, home);
    }
    let mut agents = BTreeMap::new();
    for (service, model) in view.engine_services() {
        let agent = QueriedAgent {
            service,
            naming: view.newest_weights(&model),
            model: Some(model),
            data_centre: home.to_owned(),
            is_local: true,
            is_due: true,
        };
        add_local(&mut agents, &agent);
        if let Some(remote) = remote {
            add_remote(&mut agents, &agent, remote);
        }
    }
    agents
}

/// Returns the agents on the VMs of all upstreams of the local data centre.
///
/// Without a configuration the entry can't tell which upstreams are engines, and needs the agents' answers
/// to learn from which neighbour the configuration can be read.
fn all_local(view: &View, home: &str) -> BTreeMap<IpAddr, QueriedAgent> {
    let mut agents = BTreeMap::new();
    for service in view.services() {
        let agent = QueriedAgent {
            service,
            model: None,
            naming: None,
            data_centre: home.to_owned(),
            is_local: true,
            is_due: true,
        };
        add_local(&mut agents, &agent);
    }
    agents
}

fn add_local(agents: &mut BTreeMap<IpAddr, QueriedAgent>, agent: &QueriedAgent) {
    let upstreams = agent.service.upstreams();
    let members = upstreams.members();
    let local = members.filter(|it| it.upstream.data_centre == agent.data_centre);
    agents.extend(local.map(|it| (it.upstream.addr.ip(), agent.clone())));
}

/// Adds the agents of remote data centres.
///
/// All agents of a data centre are due if no entry there reports its load. Else a few drawn at random are
/// due, and those whose engines serve requests of this entry.
fn add_remote(
    agents: &mut BTreeMap<IpAddr, QueriedAgent>,
    local: &QueriedAgent,
    remote: &RemoteLoad,
) {
    let now = Instant::now();
    let upstreams = local.service.upstreams();
    let mut by_data_centre: BTreeMap<&DataCentre, Vec<&Member>> = BTreeMap::new();
    for member in upstreams.members() {
        let data_centre = &member.upstream.data_centre;
        if *data_centre != local.data_centre {
            by_data_centre.entry(data_centre).or_default().push(member);
        }
    }
    for (data_centre, members) in by_data_centre {
        // No division by zero: a data centre is in the map only with a member.
        #[allow(clippy::cast_precision_loss)]
        let sampled = (REMOTE_AGENTS_PER_ROUND / members.len() as f64).min(1.0);
        let share = if remote.is_reported(data_centre) {
            sampled
        } else {
            1.0
        };
        for member in members {
            let agent = QueriedAgent {
                data_centre: data_centre.clone(),
                is_local: false,
                is_due: member.needs_direct_report(now) || rand::rng().random_bool(share),
                ..local.clone()
            };
            agents.insert(member.upstream.addr.ip(), agent);
        }
    }
}

/// Records a load report, and logs a change of the weights that the engine holds.
fn record_load(service: &Service, ip: IpAddr, load: &LoadStatus, round_trip: Option<Duration>) {
    let now = Instant::now();
    let changed = service.upstreams().status(ip, load, round_trip, now);
    service.load_updated.notify_waiters();
    if changed {
        events::UPSTREAM_CHANGED.emit(&[
            ("upstream_ip", &ip.to_string()),
            ("version", &load.version.unwrap_or_default().to_string()),
            ("switching", &load.is_switching.to_string()),
            ("age_ms", &load.age_ms.to_string()),
        ]);
    }
}
