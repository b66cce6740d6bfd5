//! The agent of one engine, which says of it what it is told to.

use std::net::{IpAddr, SocketAddr};
use std::time::Instant;

use tokio::net::UdpSocket;
use tokio::sync::watch;
use wagtailreel_fleet::{Datagram, LoadStatus, Status};
use wagtailreel_route::direct::Permits;

/// Answers questions on `ip` and `port` with the status that the sender was last given.
pub(crate) async fn agent_of(ip: &str, port: u16, load: LoadStatus) -> watch::Sender<LoadStatus> {
    let socket = UdpSocket::bind((ip, port)).await.unwrap();
    let (tx, rx) = watch::channel(load);
    answer_questions(socket, move |_| Status {
        load: Some(rx.borrow().clone()),
        ..Status::default()
    });
    tx
}

/// Answers each question on `socket` with what `status` says to who asks.
pub(crate) fn answer_questions<F>(socket: UdpSocket, status: F)
where
    F: Fn(SocketAddr) -> Status + Send + 'static,
{
    answer_some(socket, |_| true, status);
}

/// Answers the questions on `socket` of those that it `hears`.
fn answer_some<H, F>(socket: UdpSocket, hears: H, status: F)
where
    H: Fn(IpAddr) -> bool + Send + 'static,
    F: Fn(SocketAddr) -> Status + Send + 'static,
{
    tokio::spawn(async move {
        let mut permits = Permits::default();
        let mut buf = [0; 2048];
        while let Ok((len, from)) = socket.recv_from(&mut buf).await {
            if !hears(from.ip()) {
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
pub(crate) fn holds(version: u64, running: u32) -> LoadStatus {
    LoadStatus {
        version: Some(version),
        running,
        ..LoadStatus::default()
    }
}

/// An agent that tells of a free engine.
pub(crate) struct Beside;

impl Beside {
    /// Answers questions on `ip` and `port`.
    pub(crate) async fn start(ip: &str, port: u16) {
        Self::start_cut_off(ip, port, Vec::new()).await;
    }

    /// The same for an agent whose links to some entries are cut.
    pub(crate) async fn start_cut_off(ip: &str, port: u16, from: Vec<IpAddr>) {
        let socket = UdpSocket::bind((ip, port)).await.unwrap();
        let hears = move |entry| !from.contains(&entry);
        answer_some(socket, hears, |_| Status {
            load: Some(holds(1, 0)),
            ..Status::default()
        });
    }
}
