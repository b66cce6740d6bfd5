//! A request that crashes each upstream that runs it reaches few upstreams, at whichever entries the
//! request arrives.
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

/// Crashes after which a request is quarantined.
const CRASHES: usize = 3;

/// Time after the last of these crashes; arrivals are counted from then on.
const WINDOW: Duration = Duration::from_secs(3);

/// Maximum arrivals after the window.
const MAX_ARRIVALS: usize = 3;

/// Time from the crash of an upstream to its restart.
const RESTART_TIME: Duration = Duration::from_millis(300);

/// Time between two repeats.
const INTERVAL: Duration = Duration::from_millis(100);

/// Time between two repeats with which a single entry would take longer than the window to see three
/// crashes by itself.
const LONG_INTERVAL: Duration = Duration::from_millis(400);

/// Text in a request that crashes upstreams.
const MARK: &str = "ends-you";

#[derive(Debug, Default)]
struct Record {
    arrivals: Vec<Instant>,
    crashes: Vec<Instant>,
    starts: usize,
}

/// Upstreams that crash while they run a marked request, and restart under another id.
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
            tokio::spawn(self.clone().run_upstream(listener.unwrap(), is_engine));
        }
    }

    /// Serves until a marked request, crashes and restarts, repeatedly.
    async fn run_upstream(self, listener: TcpListener, is_engine: bool) {
        let addr = listener.local_addr().unwrap();
        let mut listener = Some(listener);
        loop {
            let starts = {
                let mut record = self.record.lock().unwrap();
                record.starts += 1;
                record.starts
            };
            let id = format!("u-{starts}");
            self.registry.upstream(record_of(&id, addr, is_engine));
            let end = CancellationToken::new();
            let listening = listener.take().unwrap();
            let accepting = async {
                while let Ok((stream, _)) = listening.accept().await {
                    tokio::spawn(serve(stream, Arc::clone(&self.record), end.clone()));
                }
            };
            let _ = end.run_until_cancelled(accepting).await;
            self.record.lock().unwrap().crashes.push(Instant::now());
            drop(listening);
            sleep(RESTART_TIME).await;
            self.registry.upstream(Change::Gone(id));
            listener = Some(TcpListener::bind(addr).await.unwrap());
        }
    }

    /// Returns the number of marked requests that arrived after the window.
    fn late_arrivals(&self) -> usize {
        let record = self.record.lock().unwrap();
        let Some(third) = record.crashes.get(CRASHES - 1) else {
            return 0;
        };
        let late = record.arrivals.iter().filter(|at| **at > *third + WINDOW);
        late.count()
    }
}

fn record_of(id: &str, addr: SocketAddr, is_engine: bool) -> Change {
    let plain = registered(id, addr);
    let engine = || Upstream {
        service: "writers".to_owned(),
        models: vec![LoadedModel {
            model: "epitaph".to_owned(),
            version: 1,
            whole: true,
        }],
        ..registered(id, addr)
    };
    Change::Upstream(Box::new(if is_engine { engine() } else { plain }))
}

/// Answers requests on a connection until the upstream crashes.
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

/// Acts as an agent: answers queries, and passes crash reports on to the entries.
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

/// Starts entries of a fleet without agents. The first three entries are the seeds.
async fn entries_without_agents(
    fleet: &Fleet,
    net: u8,
    count: u8,
) -> Vec<DirectEntry<TestDialect>> {
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
    repeat_at(&fleet, &entries, INTERVAL, method, path, body).await;
}

/// As [`repeats_at_any_entry`], in a fleet of plain upstreams, which has no agents.
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
        tokio::spawn(fleet.clone().run_upstream(listener.unwrap(), false));
    }
    let entries = entries_without_agents(&fleet, net, 6).await;
    repeat_at(&fleet, &entries, LONG_INTERVAL, method, path, body).await;
}

/// Repeats a request that crashes upstreams at all entries, and checks the number of its arrivals.
async fn repeat_at(
    fleet: &Fleet,
    entries: &[DirectEntry<TestDialect>],
    interval: Duration,
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
    while started.elapsed() < WINDOW + Duration::from_secs(3) + interval * 5 {
        number += 1;
        let entry = entries[number % entries.len()].callers();
        let refused = call(entry, number, method, path, body).await;
        assert!(!refused.is_whole || refused.status != 200, "{refused:?}");
        let other = entries[(number + 1) % entries.len()].callers();
        let served = call(other, number, method, &innocent.0, &innocent.1).await;
        if started.elapsed() > WINDOW + Duration::from_secs(1) && served.status != 200 {
            unserved += 1;
        }
        sleep(interval).await;
    }
    let late = fleet.late_arrivals();
    let crashed = fleet.record.lock().unwrap().crashes.len();
    assert!(
        late <= MAX_ARRIVALS,
        "{late} late arrivals, {crashed} crashed"
    );
    assert_eq!(
        unserved, 0,
        "innocent requests, {crashed} upstreams crashed"
    );
}
