//! The way to the agents beside engines.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use wagtailreel_fleet::{AskPermit, Datagram, ENDED_A_DATAGRAM, EndedUnder, Permit, Query};

use wagtailreel_route::direct::{Limit, Permits};

use crate::view::lock;

/// Nonce of a question that is asked for one request. Rounds are counted from 1, and what an agent tells unasked
/// carries 0.
pub(crate) const OUT_OF_TURN: u32 = u32::MAX;

/// Longest wait for an agent's permit: the longest way there and back takes 6 ms.
const PERMIT_PATIENCE: Duration = Duration::from_millis(20);

/// How long an agent that left a question for a permit open is passed over.
const SILENT_FOR: Duration = Duration::from_secs(3);

/// The way to the agents beside engines.
#[derive(Clone, Debug)]
pub(crate) struct Agents {
    socket: Arc<UdpSocket>,
    port: u16,
    /// Entries that do what agents do in a fleet without any; they listen on the port of this one.
    seeds: Arc<[IpAddr]>,
    own: SocketAddr,
    permits: Arc<Mutex<AskedPermits>>,
}

/// Permits that were asked for.
#[derive(Debug, Default)]
struct AskedPermits {
    /// Who waits for an answer, by its nonce.
    waiting: BTreeMap<u32, oneshot::Sender<Duration>>,
    last: u32,
    /// Agents that did not answer, and until when they are passed over.
    silent: BTreeMap<IpAddr, Instant>,
    /// The entry's own share where there are no agents.
    alone: Permits,
}

impl Agents {
    /// Makes the way of the entry at `own` to agents that listen on `port` of their VMs.
    pub(crate) fn new(socket: UdpSocket, own: SocketAddr, port: u16, seeds: &[IpAddr]) -> Self {
        Self {
            socket: Arc::new(socket),
            port,
            seeds: seeds.into(),
            own,
            permits: Arc::default(),
        }
    }

    /// Says whether a datagram from `from` is this entry's own.
    pub(crate) fn is_own(&self, from: SocketAddr) -> bool {
        from == self.own
    }

    pub(crate) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Asks the agent on the VM `ip` for leave to send one request to an upstream that names a limit; returns
    /// how long the upstream has no room yet, or none if the agent does not answer.
    pub(crate) async fn ask_permit(&self, ip: IpAddr, ask: AskPermit) -> Option<Duration> {
        let (tx, rx) = oneshot::channel();
        let nonce = {
            let mut permits = lock(&self.permits);
            permits.last = permits.last.wrapping_add(1);
            let nonce = permits.last;
            permits.waiting.insert(nonce, tx);
            nonce
        };
        self.send_datagram(ip, &Datagram::AskPermit(AskPermit { nonce, ..ask }));
        let answer = tokio::time::timeout(PERMIT_PATIENCE, rx).await;
        let mut permits = lock(&self.permits);
        permits.waiting.remove(&nonce);
        if answer.is_err() {
            permits.silent.insert(ip, Instant::now() + SILENT_FOR);
        }
        answer.ok()?.ok()
    }

    /// Tells the agent on the VM `ip` that an upstream names no limit any more.
    pub(crate) fn tell_withdrawn(&self, ip: IpAddr, withdrawn: AskPermit) {
        self.send_datagram(ip, &Datagram::AskPermit(withdrawn));
    }

    /// Gives a permit out of the entry's own share, where there is no agent to ask; returns how long there is
    /// none yet.
    pub(crate) fn permit_alone(&self, id: &str, limit: Limit, named_at: Instant) -> Duration {
        let mut permits = lock(&self.permits);
        permits.alone.acquire(id, limit, named_at, Instant::now())
    }

    /// Takes an agent's answer to a question for a permit.
    pub(crate) fn take_permit(&self, permit: &Permit) {
        let waiting = lock(&self.permits).waiting.remove(&permit.nonce);
        if let Some(waiting) = waiting {
            // Whoever asked may have left.
            let _ = waiting.send(Duration::from_millis(permit.wait_ms.into()));
        }
    }

    /// Says whether the agent on the VM `ip` left a question for a permit open lately.
    pub(crate) fn is_silent(&self, ip: IpAddr) -> bool {
        let now = Instant::now();
        let mut permits = lock(&self.permits);
        permits.silent.retain(|_, until| *until > now);
        permits.silent.contains_key(&ip)
    }

    /// Tells the agent on the VM `ip` of a request that is about to go to its engine, whose prompt
    /// takes `reading`.
    pub(crate) fn announce(&self, ip: IpAddr, reading: Duration) {
        self.send(
            ip,
            Query {
                sends_us: Some(u32::try_from(reading.as_micros()).unwrap_or(u32::MAX)),
                ..Query::default()
            },
        );
    }

    /// Asks the agent on the VM `ip` how its engine is, out of turn.
    pub(crate) fn ask(&self, ip: IpAddr) {
        self.send(
            ip,
            Query {
                nonce: OUT_OF_TURN,
                ..Query::default()
            },
        );
    }

    /// Tells the agents on the VMs `ips` of requests that upstreams ended under.
    pub(crate) fn tell(&self, ips: &[IpAddr], ended: &[EndedUnder]) {
        for ip in ips {
            self.tell_one(self.addr_of(*ip), ended);
        }
    }

    /// Tells the process at `addr` of requests that upstreams ended under.
    pub(crate) fn tell_one(&self, addr: SocketAddr, ended: &[EndedUnder]) {
        for ended in ended.chunks(ENDED_A_DATAGRAM) {
            self.send_to(addr, &Datagram::Ended(ended.to_vec()));
        }
    }

    /// Asks, or tells, the agent on the VM `ip`.
    pub(crate) fn send(&self, ip: IpAddr, query: Query) {
        self.send_datagram(ip, &Datagram::Query(query));
    }

    fn send_datagram(&self, ip: IpAddr, datagram: &Datagram) {
        self.send_to(self.addr_of(ip), datagram);
    }

    /// Sends a datagram to the process at `addr`.
    pub(crate) fn send_to(&self, addr: SocketAddr, datagram: &Datagram) {
        // What is lost is made up for by the next question, or told again.
        let _ = self.socket.try_send_to(&datagram.to_bytes(), addr);
    }

    fn addr_of(&self, ip: IpAddr) -> SocketAddr {
        let is_seed = self.seeds.contains(&ip);
        SocketAddr::new(ip, if is_seed { self.own.port() } else { self.port })
    }
}
