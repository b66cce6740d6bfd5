//! Asks agents how loaded their engines are.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use wagtailreel_core::DataCentre;
use wagtailreel_fleet::{BootTime, Datagram, LoadStatus, NamedWeights, Query};
use wagtailreel_nearby::Neighbours;

use crate::events;
use crate::view::View;

/// Time between two questions to the agents of the own data centre. An engine starts and ends
/// about one request in this time.
const NEAR: Duration = Duration::from_millis(100);

/// How many near questions there are for each one to another data centre, whose links are narrow.
const FAR_EVERY: u32 = 5;

/// Rounds of questions whose times are kept: 6.4 s. A later answer looks like a quick one, which
/// the silence before it makes up for.
const ROUNDS: usize = 64;

/// Longest datagram in bytes.
const DATAGRAM: usize = 2048;

/// Asks the agents of all engines for their load, for as long as it is not dropped.
pub(crate) async fn ask_agents(
    view: Arc<View>,
    neighbours: Arc<Neighbours>,
    socket: UdpSocket,
    port: u16,
    home: DataCentre,
) {
    let mut ticks = tokio::time::interval(NEAR);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; DATAGRAM];
    let mut round: u32 = 0;
    let mut asked = [Instant::now(); ROUNDS];
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1).max(1);
                asked[round as usize % ROUNDS] = Instant::now();
                for (ip, asked) in engines(&view, &home, round.is_multiple_of(FAR_EVERY)) {
                    let query = Datagram::Query(Query {
                        nonce: round,
                        weights: asked.weights,
                        chunks: None,
                        is_near: asked.is_near,
                    });
                    // A question that is lost is asked again with the next round.
                    let _ = socket.try_send_to(&query.to_bytes(), SocketAddr::new(ip, port));
                    note_asked(&view, ip);
                }
            }
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                let Ok(Datagram::Status(status)) = Datagram::from_bytes(&buf[..len]) else {
                    continue;
                };
                neighbours.hear(&status.entries, BootTime::now());
                if let Some(naming) = &status.naming {
                    view.learn_naming(naming);
                }
                if let Some(load) = status.load {
                    // What comes without being asked for has no nonce.
                    let since = asked[status.nonce as usize % ROUNDS];
                    let round_trip = (status.nonce != 0).then(|| since.elapsed());
                    take(&view, from.ip(), &load, round_trip);
                }
            }
        }
    }
}

/// An agent that is to be asked.
struct Asked {
    /// What its engine is to serve.
    weights: Option<NamedWeights>,
    /// It stands in the entry's data centre.
    is_near: bool,
}

/// Returns the VMs of the engines whose agents are to be asked now.
fn engines(view: &View, home: &str, far: bool) -> BTreeMap<IpAddr, Asked> {
    let Some(directory) = view.directory() else {
        return all_near(view, home);
    };
    let mut ips = BTreeMap::new();
    for spec in directory.services() {
        let Some(engine) = &spec.engine else {
            continue;
        };
        let named = view.newest_weights(&engine.model);
        let service = view.service(&spec.name);
        let upstreams = service.upstreams();
        for member in upstreams.members() {
            let is_near = member.upstream.data_centre == home;
            if is_near || far {
                let weights = named.clone();
                ips.insert(member.upstream.addr.ip(), Asked { weights, is_near });
            }
        }
    }
    ips
}

/// Returns the VMs of all upstreams of the own data centre.
///
/// Without a configuration it is not known which of them are engines, and their agents tell through
/// which neighbour the configuration is to be had.
fn all_near(view: &View, home: &str) -> BTreeMap<IpAddr, Asked> {
    let mut ips = BTreeMap::new();
    for service in view.services() {
        let upstreams = service.upstreams();
        let near = upstreams
            .members()
            .filter(|it| it.upstream.data_centre == home);
        for member in near {
            let (weights, is_near) = (None, true);
            ips.insert(member.upstream.addr.ip(), Asked { weights, is_near });
        }
    }
    ips
}

fn note_asked(view: &View, ip: IpAddr) {
    let now = Instant::now();
    for service in view.services() {
        service.upstreams().asked(ip, now);
    }
}

fn take(view: &View, ip: IpAddr, load: &LoadStatus, round_trip: Option<Duration>) {
    let now = Instant::now();
    for service in view.services() {
        let changed = service.upstreams().status(ip, load, round_trip, now);
        if changed {
            events::UPSTREAM_CHANGED.emit(&[
                ("upstream_ip", &ip.to_string()),
                ("version", &load.version.unwrap_or_default().to_string()),
                ("switching", &load.is_switching.to_string()),
                ("age_ms", &load.age_ms.to_string()),
            ]);
        }
    }
}
