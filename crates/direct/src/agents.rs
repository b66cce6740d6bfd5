//! Client of the agents beside engines, over UDP.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::sync::oneshot::error::RecvError;
use tokio::time::error::Elapsed;
use wagtailreel_fleet::{
    CRASH_REPORTS_PER_DATAGRAM, CrashReport, Datagram, Permit, PermitRequest, Query,
    REQUEST_QUERY_NONCE, WarmupPermitRequest,
};

use wagtailreel_route::direct::{Limit, Permits};

use crate::view::lock;

/// Maximum wait for an agent's permit. The longest round trip takes 6 ms.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(20);

/// Time after which a request for a permit of the warm-up limit is repeated. The longest round trip takes 6 ms.
const PERMIT_REPEAT_AFTER: Duration = Duration::from_millis(8);

/// How long an agent that did not answer a permit request gets no other one.
const SILENT_BACKOFF: Duration = Duration::from_secs(3);

/// Result of the wait for a permit: the time until one is due, or an error if none came in time.
type PermitAnswer = Result<Result<Duration, RecvError>, Elapsed>;

/// Client of the agents beside engines.
#[derive(Clone, Debug)]
pub(crate) struct Agents {
    socket: Arc<UdpSocket>,
    port: u16,
    /// Entries that act as agents in a fleet without agents; they listen on the port of this entry.
    seeds: Arc<[IpAddr]>,
    own: SocketAddr,
    permits: Arc<Mutex<PermitRequests>>,
}

/// State of permit requests.
#[derive(Debug, Default)]
struct PermitRequests {
    /// Open requests by nonce.
    waiting: BTreeMap<u32, oneshot::Sender<Duration>>,
    last: u32,
    /// Agents that did not answer, and the time until which they get no request.
    silent: BTreeMap<IpAddr, Instant>,
    /// Permits out of the entry's own share, if there are no agents.
    uncoordinated: Permits,
}

impl Agents {
    /// Creates the client of the entry at `own` for agents that listen on `port` of their VMs.
    pub(crate) fn new(socket: UdpSocket, own: SocketAddr, port: u16, seeds: &[IpAddr]) -> Self {
        Self {
            socket: Arc::new(socket),
            port,
            seeds: seeds.into(),
            own,
            permits: Arc::default(),
        }
    }

    /// Returns whether `from` is the address of this entry.
    pub(crate) fn is_own(&self, from: SocketAddr) -> bool {
        from == self.own
    }

    pub(crate) fn socket(&self) -> &UdpSocket {
        &self.socket
    }

    /// Requests a permit from the agent on the VM `ip` to send one request to an upstream that has a rate
    /// limit. Returns the time until a permit is due, or `None` if the agent does not answer.
    pub(crate) async fn request_permit(&self, ip: IpAddr, req: PermitRequest) -> Option<Duration> {
        let (nonce, rx) = self.await_permit();
        self.send_datagram(ip, &Datagram::PermitRequest(PermitRequest { nonce, ..req }));
        let answer = tokio::time::timeout(PERMIT_TIMEOUT, rx).await;
        self.permit_answered(ip, nonce, answer)
    }

    /// Requests a permit from the agent on the VM `ip` to send one request to an upstream that may be cold,
    /// and repeats the request once, since datagrams may be lost. Returns the time until a permit is due, or
    /// `None` if the agent does not answer.
    pub(crate) async fn request_warmup_permit(
        &self,
        ip: IpAddr,
        req: WarmupPermitRequest,
    ) -> Option<Duration> {
        let (nonce, mut rx) = self.await_permit();
        let datagram = Datagram::WarmupPermitRequest(WarmupPermitRequest { nonce, ..req });
        self.send_datagram(ip, &datagram);
        let mut answer = tokio::time::timeout(PERMIT_REPEAT_AFTER, &mut rx).await;
        if answer.is_err() {
            self.send_datagram(ip, &datagram);
            let left = PERMIT_TIMEOUT.saturating_sub(PERMIT_REPEAT_AFTER);
            answer = tokio::time::timeout(left, rx).await;
        }
        self.permit_answered(ip, nonce, answer)
    }

    /// Returns the nonce of a new permit request, and the receiver of its answer.
    fn await_permit(&self) -> (u32, oneshot::Receiver<Duration>) {
        let (tx, rx) = oneshot::channel();
        let mut permits = lock(&self.permits);
        permits.last = permits.last.wrapping_add(1);
        let nonce = permits.last;
        permits.waiting.insert(nonce, tx);
        (nonce, rx)
    }

    /// Ends the wait for the permit `nonce`. An agent that did not answer counts as silent.
    fn permit_answered(&self, ip: IpAddr, nonce: u32, answer: PermitAnswer) -> Option<Duration> {
        let mut permits = lock(&self.permits);
        permits.waiting.remove(&nonce);
        if answer.is_err() {
            permits.silent.insert(ip, Instant::now() + SILENT_BACKOFF);
        }
        answer.ok()?.ok()
    }

    /// Notifies the agent on the VM `ip` that an upstream no longer has a limit.
    pub(crate) fn send_withdrawal(&self, ip: IpAddr, withdrawn: PermitRequest) {
        self.send_datagram(ip, &Datagram::PermitRequest(withdrawn));
    }

    /// Takes a permit out of the entry's own share, if no agent issues permits. Returns the time until one
    /// is due.
    pub(crate) fn permit_uncoordinated(
        &self,
        id: &str,
        limit: Limit,
        named_at: Instant,
    ) -> Duration {
        let mut permits = lock(&self.permits);
        permits
            .uncoordinated
            .acquire(id, limit, named_at, Instant::now())
    }

    /// Passes an agent's permit on to the request that waits for it.
    pub(crate) fn on_permit(&self, permit: &Permit) {
        let waiting = lock(&self.permits).waiting.remove(&permit.nonce);
        if let Some(waiting) = waiting {
            // The request that asked may have been dropped.
            let _ = waiting.send(Duration::from_millis(permit.wait_ms.into()));
        }
    }

    /// Returns whether the agent on the VM `ip` lately did not answer a permit request.
    pub(crate) fn is_silent(&self, ip: IpAddr) -> bool {
        let now = Instant::now();
        let mut permits = lock(&self.permits);
        permits.silent.retain(|_, until| *until > now);
        permits.silent.contains_key(&ip)
    }

    /// Announces to the agent on the VM `ip` a request to its engine with `prefill` as the time to prefill
    /// its prompt.
    pub(crate) fn announce(&self, ip: IpAddr, prefill: Duration) {
        self.send(
            ip,
            Query {
                prefill_us: Some(u32::try_from(prefill.as_micros()).unwrap_or(u32::MAX)),
                ..Query::default()
            },
        );
    }

    /// Queries the agent on the VM `ip` for the load of its engine, outside the periodic rounds.
    pub(crate) fn query_load(&self, ip: IpAddr) {
        self.send(
            ip,
            Query {
                nonce: REQUEST_QUERY_NONCE,
                ..Query::default()
            },
        );
    }

    /// Sends crash reports to the agents on the VMs `ips`.
    pub(crate) fn send_reports(&self, ips: &[IpAddr], reports: &[CrashReport]) {
        for ip in ips {
            self.send_reports_to(self.addr_of(*ip), reports);
        }
    }

    /// Sends crash reports to the process at `addr`.
    pub(crate) fn send_reports_to(&self, addr: SocketAddr, reports: &[CrashReport]) {
        for reports in reports.chunks(CRASH_REPORTS_PER_DATAGRAM) {
            self.send_to(addr, &Datagram::CrashReports(reports.to_vec()));
        }
    }

    /// Sends a query or an announcement to the agent on the VM `ip`.
    pub(crate) fn send(&self, ip: IpAddr, query: Query) {
        self.send_datagram(ip, &Datagram::Query(query));
    }

    fn send_datagram(&self, ip: IpAddr, datagram: &Datagram) {
        self.send_to(self.addr_of(ip), datagram);
    }

    /// Sends a datagram to the process at `addr`.
    pub(crate) fn send_to(&self, addr: SocketAddr, datagram: &Datagram) {
        // A lost datagram is made up for by the next query, or by a repeated report.
        let _ = self.socket.try_send_to(&datagram.to_bytes(), addr);
    }

    fn addr_of(&self, ip: IpAddr) -> SocketAddr {
        let is_seed = self.seeds.contains(&ip);
        SocketAddr::new(ip, if is_seed { self.own.port() } else { self.port })
    }
}
