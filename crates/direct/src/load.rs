//! Asks agents how loaded their engines are.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::time::MissedTickBehavior;
use wagtailreel_fleet::{Datagram, LoadStatus, Query};

use crate::events;
use crate::view::View;

/// Time between two questions to the agents of the own data centre. An engine starts and ends
/// about one request in this time.
const NEAR: Duration = Duration::from_millis(100);

/// How many near questions there are for each one to another data centre, whose links are narrow.
const FAR_EVERY: u32 = 5;

/// Longest datagram in bytes.
const DATAGRAM: usize = 2048;

/// Asks the agents of all engines for their load, for as long as it is not dropped.
pub(crate) async fn ask_agents(view: Arc<View>, socket: UdpSocket, port: u16, home: String) {
    let mut ticks = tokio::time::interval(NEAR);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut buf = vec![0; DATAGRAM];
    let mut round: u32 = 0;
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1);
                for ip in engines(&view, &home, round.is_multiple_of(FAR_EVERY)) {
                    let query = Datagram::Query(Query { nonce: round, chunks: None });
                    // A question that is lost is asked again with the next round.
                    let _ = socket.try_send_to(&query.to_bytes(), SocketAddr::new(ip, port));
                }
            }
            received = socket.recv_from(&mut buf) => {
                let Ok((len, from)) = received else { continue };
                let Ok(Datagram::Status(status)) = Datagram::from_bytes(&buf[..len]) else {
                    continue;
                };
                if let Some(load) = status.load {
                    take(&view, from.ip(), &load);
                }
            }
        }
    }
}

/// Returns the VMs of the engines whose agents are to be asked now.
fn engines(view: &View, home: &str, far: bool) -> BTreeSet<IpAddr> {
    let Some(directory) = view.directory() else {
        return BTreeSet::new();
    };
    let mut ips = BTreeSet::new();
    for spec in directory.services().filter(|spec| spec.engine.is_some()) {
        let service = view.service(&spec.name);
        let upstreams = service.upstreams();
        let wanted = upstreams
            .members()
            .filter(|member| far || member.upstream.data_centre == home);
        ips.extend(wanted.map(|member| member.upstream.addr.ip()));
    }
    ips
}

fn take(view: &View, ip: IpAddr, load: &LoadStatus) {
    for service in view.services() {
        if service.upstreams().status(ip, load, Instant::now()) {
            events::UPSTREAM_CHANGED.emit(&[
                ("upstream_ip", &ip.to_string()),
                ("version", &load.version.unwrap_or_default().to_string()),
                ("switching", &load.is_switching.to_string()),
                ("age_ms", &load.age_ms.to_string()),
            ]);
        }
    }
}
