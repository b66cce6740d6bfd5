//! Test agents, which report a load that the test sets.

use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use wagtailreel_fleet::{Datagram, LoadStatus, Status};
use wagtailreel_route::direct::{Permits, WarmupPermits};

/// Starts an agent on `ip` and `port`, which answers queries with the last status that was sent on the
/// returned channel.
pub(crate) async fn start_agent(
    ip: &str,
    port: u16,
    load: LoadStatus,
) -> watch::Sender<LoadStatus> {
    let socket = UdpSocket::bind((ip, port)).await.unwrap();
    let (tx, rx) = watch::channel(load);
    answer_queries(socket, move |_| Status {
        load: Some(rx.borrow().clone()),
        ..Status::default()
    });
    tx
}

/// Answers each query on `socket` with what `status` returns for the address of its sender.
pub(crate) fn answer_queries<F>(socket: UdpSocket, status: F)
where
    F: Fn(SocketAddr) -> Status + Send + 'static,
{
    answer_queries_of(socket, |_, _| true, status);
}

/// Answers the datagrams on `socket` that are received, by their number and the address of their sender.
fn answer_queries_of<H, F>(socket: UdpSocket, is_received: H, status: F)
where
    H: Fn(u64, IpAddr) -> bool + Send + 'static,
    F: Fn(SocketAddr) -> Status + Send + 'static,
{
    tokio::spawn(async move {
        let mut permits = Permits::default();
        let mut warmup_permits = WarmupPermits::new(Instant::now());
        let mut number = 0;
        let mut buf = [0; 2048];
        while let Ok((len, from)) = socket.recv_from(&mut buf).await {
            number += 1;
            if !is_received(number, from.ip()) {
                continue;
            }
            let query = match Datagram::from_bytes(&buf[..len]) {
                Ok(Datagram::Query(query)) => query,
                Ok(Datagram::PermitRequest(ask)) => {
                    if let Some(permit) = permits.answer(&ask, Instant::now()) {
                        let answer = Datagram::Permit(permit).to_bytes();
                        socket.send_to(&answer, from).await.unwrap();
                    }
                    continue;
                }
                Ok(Datagram::WarmupPermitRequest(ask)) => {
                    let permit = warmup_permits.answer(&ask, from, &mut permits, Instant::now());
                    let answer = Datagram::Permit(permit).to_bytes();
                    socket.send_to(&answer, from).await.unwrap();
                    continue;
                }
                _ => continue,
            };
            let status = Status {
                nonce: query.nonce,
                ..status(from)
            };
            let answer = Datagram::Status(status).to_bytes();
            socket.send_to(&answer, from).await.unwrap();
        }
    });
}

/// Returns a port that is free for agents.
pub(crate) async fn free_port() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    socket.local_addr().unwrap().port()
}

/// Returns the status of an engine that holds `version` and works on `running` requests.
pub(crate) fn load_status(version: u64, running: u32) -> LoadStatus {
    LoadStatus {
        version: Some(version),
        running,
        ..LoadStatus::default()
    }
}

fn idle(_: SocketAddr) -> Status {
    Status {
        load: Some(load_status(1, 0)),
        ..Status::default()
    }
}

/// An agent that reports an idle engine.
pub(crate) struct IdleAgent;

impl IdleAgent {
    /// Starts the agent on `ip` and `port`.
    pub(crate) async fn start(ip: &str, port: u16) {
        Self::start_partitioned(ip, port, Vec::new()).await;
    }

    /// Starts the agent with its links to the addresses `from` cut.
    pub(crate) async fn start_partitioned(ip: &str, port: u16, from: Vec<IpAddr>) {
        let socket = UdpSocket::bind((ip, port)).await.unwrap();
        answer_queries_of(socket, move |_, entry| !from.contains(&entry), idle);
    }

    /// Starts the agent with every fifth datagram lost.
    pub(crate) async fn start_lossy(ip: &str, port: u16) {
        let socket = UdpSocket::bind((ip, port)).await.unwrap();
        answer_queries_of(socket, |number, _| number % 5 != 0, idle);
    }
}
