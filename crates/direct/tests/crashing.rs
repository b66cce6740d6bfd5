//! A request that ends whoever runs it reaches few upstreams, at whichever entry it comes.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::caller::{Answer, request, send};
use common::{TestDialect, directory, entry_at, entry_with_agents, registered, until_readiness};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;
use wagtailreel_direct::DirectEntry;
use wagtailreel_fleet::{Change, Datagram, LoadStatus, LoadedModel, Status, Upstream};
use wagtailreel_standins::RegistryStandin;

/// Upstreams that have to end under a request before it counts.
const ENDS: usize = 3;

/// Time after the third end from which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(3);

/// Arrivals that are allowed after it.
const ALLOWED: usize = 3;

/// How long an upstream that ended is away.
const AWAY: Duration = Duration::from_millis(300);

/// Pause between two repeats.
const PAUSE: Duration = Duration::from_millis(100);

/// The same where each entry, left to itself, takes longer than the window to see upstreams end three times.
const LONG_PAUSE: Duration = Duration::from_millis(400);

/// What marks a request under which upstreams end.
const MARK: &str = "ends-you";

#[derive(Debug, Default)]
struct Record {
    arrivals: Vec<Instant>,
    ends: Vec<Instant>,
    births: usize,
}

/// Upstreams that end under marked requests, and start again under another id.
#[derive(Clone, Debug)]
struct Fleet {
    registry: RegistryStandin,
    record: Arc<Mutex<Record>>,
}

impl Fleet {
    fn new() -> Self {
        let registry = RegistryStandin::default();
        registry.config(directory(1));
        Self {
            registry,
            record: Arc::default(),
        }
    }

    /// Starts upstreams of both services, each on an address of its own.
    async fn start(&self, net: u8, upstreams: u8) {
        for number in 1..=upstreams {
            let listener = TcpListener::bind(format!("127.79.{net}.{number}:0")).await;
            let is_engine = number % 2 == 0;
            tokio::spawn(self.clone().live(listener.unwrap(), is_engine));
        }
    }

    /// Lives, ends under a marked request, and starts again, over and over.
    async fn live(self, listener: TcpListener, is_engine: bool) {
        let addr = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let births = {
                let mut record = self.record.lock().unwrap();
                record.births += 1;
                record.births
            };
            let id = format!("u-{births}");
            self.registry.upstream(record_of(&id, addr, is_engine));
            let end = CancellationToken::new();
            let listening = listener.take().unwrap();
            let accepting = async {
                while let Ok((stream, _)) = listening.accept().await {
                    tokio::spawn(serve(stream, Arc::clone(&self.record), end.clone()));
                }
            };
            let _ = end.run_until_cancelled(accepting).await;
            self.record.lock().unwrap().ends.push(Instant::now());
            drop(listening);
            sleep(AWAY).await;
            self.registry.upstream(Change::Gone(id));
            listener = Some(TcpListener::bind(addr).await.unwrap());
        }
    }

    /// Returns how often marked requests arrived after the window behind the third end.
    fn late_arrivals(&self) -> usize {
        let record = self.record.lock().unwrap();
        let Some(third) = record.ends.get(ENDS - 1) else {
            return 0;
        };
        let late = record.arrivals.iter().filter(|at| **at > *third + WINDOW);
        late.count()
    }
}

fn record_of(id: &str, addr: SocketAddr, is_engine: bool) -> Change {
    let desk = registered(id, addr);
    let engine = || Upstream {
        service: "writers".to_owned(),
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
        ..registered(id, addr)
    };
    Change::Upstream(Box::new(if is_engine { engine() } else { desk }))
}

/// Answers requests on a connection until the upstream ends.
async fn serve(stream: TcpStream, record: Arc<Mutex<Record>>, end: CancellationToken) {
    let answering = answer(stream, record, end.clone());
    let _ = end.run_until_cancelled(answering).await;
}

async fn answer(mut stream: TcpStream, record: Arc<Mutex<Record>>, end: CancellationToken) {
    let mut buf = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&buf).to_ascii_lowercase();
        let length = text
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length: usize = length.and_then(|it| it.parse().ok()).unwrap_or(0);
        match text.find("\r\n\r\n") {
            Some(head) if buf.len() >= head + 4 + length => {
                buf.clear();
                let is_marked = text.contains(MARK);
                let is_stream = text.contains(" /written/");
                if is_marked {
                    record.lock().unwrap().arrivals.push(Instant::now());
                }
                if is_stream {
                    let head = "HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n\
                                transfer-encoding: chunked\r\n\r\n18\r\nid: 1\ndata: piece 1\n\n\r\n";
                    let _ = stream.write_all(head.as_bytes()).await;
                }
                sleep(Duration::from_millis(10)).await;
                if is_marked {
                    end.cancel();
                    return;
                }
                let rest = if is_stream {
                    "0\r\n\r\n"
                } else {
                    "HTTP/1.1 200 X\r\ncontent-length: 2\r\n\r\nok"
                };
                if stream.write_all(rest.as_bytes()).await.is_err() {
                    return;
                }
            }
            _ => match stream.read_buf(&mut buf).await {
                Ok(1..) => {}
                _ => return,
            },
        }
    }
}

/// Stands in for the agents: answers questions, and passes on what entries tell of requests.
async fn relay(addr: SocketAddr) {
    let socket = UdpSocket::bind(addr).await.unwrap();
    let mut entries: BTreeMap<SocketAddr, ()> = BTreeMap::new();
    tokio::spawn(async move {
        let mut buf = [0; 4096];
        loop {
            let Ok((len, from)) = socket.recv_from(&mut buf).await else {
                continue;
            };
            match Datagram::from_bytes(&buf[..len]) {
                Ok(Datagram::Query(query)) if query.prefill_us.is_none() => {
                    entries.insert(from, ());
                    let load = LoadStatus {
                        version: Some(1),
                        ..LoadStatus::default()
                    };
                    let status = Status {
                        nonce: query.nonce,
                        load: Some(load),
                        ..Status::default()
                    };
                    let answer = Datagram::Status(status).to_bytes();
                    let _ = socket.send_to(&answer, from).await;
                }
                Ok(Datagram::Query(_)) => {}
                _ => {
                    for entry in entries.keys().filter(|entry| **entry != from) {
                        let _ = socket.send_to(&buf[..len], *entry).await;
                    }
                }
            }
        }
    });
}

/// Starts entries of a fleet without agents, which know the first of them as seeds.
async fn entries_alone(fleet: &Fleet, net: u8, count: u8) -> Vec<DirectEntry<TestDialect>> {
    let port = common::agent::free_port().await;
    let seeds = [101, 102, 103].map(|number| IpAddr::from([127, 79, net, number]));
    let mut entries = Vec::new();
    for number in 101..101 + count {
        let own = SocketAddr::from(([127, 79, net, number], port));
        let keys = Duration::from_secs(60);
        let entry = entry_at(&fleet.registry, keys, own, port, &seeds).await;
        until_readiness(&entry, 200).await;
        entries.push(entry);
    }
    entries
}

async fn entries(fleet: &Fleet, agent_port: u16, count: usize) -> Vec<DirectEntry<TestDialect>> {
    let mut entries = Vec::new();
    for _ in 0..count {
        let keys = Duration::from_secs(60);
        let entry = entry_with_agents(&fleet.registry, keys, agent_port).await;
        until_readiness(&entry, 200).await;
        entries.push(entry);
    }
    entries
}

async fn call(entry: SocketAddr, number: usize, method: &str, path: &str, body: &str) -> Answer {
    let id = format!("r{number}");
    let headers = [("x-id", &*id), ("x-key", "k1")];
    send(entry, &request(method, path, &headers, body)).await
}

#[rstest]
#[case::by_path(1, "GET", "/read/ends-you", "")]
#[case::by_body(2, "POST", "/order/1", "ends-you")]
#[case::stream(3, "GET", "/written/ends-you", "")]
#[tokio::test]
async fn repeats_at_any_entry(
    #[case] net: u8,
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let fleet = Fleet::new();
    fleet.start(net, 12).await;
    let agent_port = common::agent::free_port().await;
    for number in (2..=12).step_by(2) {
        relay(SocketAddr::from(([127, 79, net, number], agent_port))).await;
    }
    let entries = entries(&fleet, agent_port, 3).await;
    repeat_at(&fleet, &entries, PAUSE, method, path, body).await;
}

/// The same in a fleet of plain upstreams, which has no agents.
#[rstest]
#[case::by_path(4, "GET", "/read/ends-you", "")]
#[case::by_body(5, "POST", "/order/1", "ends-you")]
#[tokio::test]
async fn repeats_without_agents(
    #[case] net: u8,
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let fleet = Fleet::new();
    for number in 1..=12 {
        let listener = TcpListener::bind(format!("127.79.{net}.{number}:0")).await;
        tokio::spawn(fleet.clone().live(listener.unwrap(), false));
    }
    let entries = entries_alone(&fleet, net, 6).await;
    repeat_at(&fleet, &entries, LONG_PAUSE, method, path, body).await;
}

/// Repeats a request that ends upstreams at all entries, and holds what upstreams saw against the promise.
async fn repeat_at(
    fleet: &Fleet,
    entries: &[DirectEntry<TestDialect>],
    pause: Duration,
    method: &str,
    path: &str,
    body: &str,
) {
    let innocent = if body.is_empty() {
        (path.replace(MARK, "innocent"), String::new())
    } else {
        (path.to_owned(), "innocent".to_owned())
    };
    let started = Instant::now();
    let mut number = 0;
    let mut unserved = 0;
    while started.elapsed() < WINDOW + Duration::from_secs(3) + pause * 5 {
        number += 1;
        let entry = entries[number % entries.len()].callers();
        let refused = call(entry, number, method, path, body).await;
        assert!(!refused.is_whole || refused.status != 200, "{refused:?}");
        let other = entries[(number + 1) % entries.len()].callers();
        let served = call(other, number, method, &innocent.0, &innocent.1).await;
        if started.elapsed() > WINDOW + Duration::from_secs(1) && served.status != 200 {
            unserved += 1;
        }
        sleep(pause).await;
    }
    let late = fleet.late_arrivals();
    let ended = fleet.record.lock().unwrap().ends.len();
    assert!(late <= ALLOWED, "{late} late arrivals, {ended} ended");
    assert_eq!(unserved, 0, "innocent requests, {ended} upstreams ended");
}
