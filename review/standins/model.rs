//! Two entries, and model engines with their agents, in one zone; and clients that ask for streams.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{Request, get};
use crate::engine::{EVENTS, Engine, MODEL, Origin};
use crate::fleet::{Net, Process, wait_until};
use crate::http::Conn;
use crate::record::Record;
use crate::store::{OPERATOR, Store};

pub const ENTRIES: u8 = 2;

/// Clients, each with one request after the other.
const CLIENTS: u8 = 16;

/// Time from one request of a client to the next.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// The fleet.
pub struct Fleet {
    net: Net,
    pub store: Store,
    pub origin: Arc<Origin>,
    pub engines: Vec<Arc<Engine>>,
    /// Those of the entries, and then those of the agents.
    pub processes: Vec<Process>,
}

impl Fleet {
    /// Starts the fleet with `sides` engines and waits until it serves.
    pub fn start(dir: &Path, record: &Arc<Record>, sides: u8) -> io::Result<Self> {
        let net = Net::pick()?;
        let store = Store::start(net.at(1, net.app))?;
        let origin = Origin::start(net.at(2, net.app), record)?;
        store.put(OPERATOR, "config", &config(&net, 1));
        let mut engines = Vec::new();
        for side in 0..sides {
            let (name, addr) = (format!("i-{side}"), net.at(20 + side, net.app));
            engines.push(Engine::start(&name, "wagtail-scribes", addr, &store, record)?);
        }
        let seeds: Vec<_> = (0..ENTRIES).map(|it| net.at(10 + it, net.front)).collect();
        let registry = ("provider.address", net.at(1, net.app).to_string());
        let mut processes = Vec::new();
        for entry in 0..ENTRIES {
            let more = [registry.clone()];
            processes.push(Process::start("entry", &net, 10 + entry, &seeds, dir, &more)?);
        }
        for side in 0..sides {
            let app = net.at(20 + side, net.app).to_string();
            let more = [registry.clone(), ("app", app), ("service", "wagtail-scribes".to_owned())];
            processes.push(Process::start("agent", &net, 20 + side, &seeds, dir, &more)?);
        }
        let fleet = Self {
            net,
            store,
            origin,
            engines,
            processes,
        };
        let are_ready = || {
            let mut entries = (0..ENTRIES).map(|it| fleet.net.at(10 + it, fleet.net.readiness));
            entries.all(|addr| get(addr, "/readyz").status() == 200)
        };
        if !wait_until(Duration::from_secs(15), are_ready) {
            return Err(io::Error::other("the entries don't become ready"));
        }
        thread::sleep(Duration::from_secs(5));
        Ok(fleet)
    }

    /// The operator writes a version of the configuration.
    pub fn configure(&self, version: u32) {
        self.store.put(OPERATOR, "config", &config(&self.net, version));
    }

    /// Starts clients that ask for streams until they are stopped.
    pub fn start_clients(&self, record: &Arc<Record>) -> Clients {
        let ended = Arc::new(Mutex::new(Vec::new()));
        let is_over = Arc::new(AtomicBool::new(false));
        let threads = (0..CLIENTS)
            .map(|client| {
                let front = self.net.at(10 + client % ENTRIES, self.net.front);
                let (record, ended) = (Arc::clone(record), Arc::clone(&ended));
                let is_over = Arc::clone(&is_over);
                thread::spawn(move || {
                    for number in 0.. {
                        if is_over.load(Ordering::Relaxed) {
                            return;
                        }
                        let id = format!("{client}-{number}");
                        let sent = Instant::now();
                        let stream = ask(front, &id, &record);
                        ended.lock().unwrap().push(Ended { id, sent, stream });
                        thread::sleep(REQUEST_INTERVAL.saturating_sub(sent.elapsed()));
                    }
                })
            })
            .collect();
        Clients {
            ended,
            is_over,
            threads,
        }
    }
}

/// A version of the configuration.
fn config(net: &Net, version: u32) -> String {
    let origin = net.at(2, net.app);
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"epitaph-full","host":"jepu9.example","pathPrefix":"/epitaph/","kind":"streaming",
 "timeoutMs":6000,"targetLatencyMs":400,"gapAimMs":300,"priority":1,"service":"wagtail-scribes",
 "maxAttempts":2,"resumable":true}}],
"services":[{{"name":"wagtail-scribes","maxConnections":274,"engine":{{"slots":16,"kvCapacity":685000,
 "models":[{{"name":"{MODEL}","warmS":0.3}}],"step_ms":7.4,"per_seq_ms":0.0387,"context_per_k":0.0203,
 "read_per_s":31900,"stride":6,"usual":{{"prompt":900,"answer":120}},"chunks":48,"chunkBytes":49152}}}},
 {{"name":"workshop-misc","origin":"{origin}","linkMbps":15.0,"maxConnections":48,"zone":"quito-hall"}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"]}}]}}"#
    )
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stream {
    /// Every piece once and in order, and the end.
    Whole,
    /// An answer that is complete as far as HTTP tells, but not as a stream: the text.
    Spoilt(String),
    /// No success, or one that broke off and doesn't look complete.
    None,
}

/// A request that has ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub id: String,
    pub sent: Instant,
    pub stream: Stream,
}

/// The clients of a fleet.
pub struct Clients {
    ended: Arc<Mutex<Vec<Ended>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    /// The requests so far that were sent from `from` to `to`.
    pub fn sent(&self, from: Instant, to: Instant) -> Vec<Ended> {
        let ended = self.ended.lock().unwrap();
        ended.iter().filter(|it| (from..to).contains(&it.sent)).cloned().collect()
    }

    pub fn stop(self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().unwrap();
        }
    }
}

/// Asks for a stream.
fn ask(front: SocketAddr, id: &str, record: &Record) -> Stream {
    let req = Request {
        method: "POST",
        path: "/epitaph/2f",
        host: "jepu9.example",
        id,
        key: "jnbanfqasnmgkcuyj8pj",
        deadline: Duration::from_millis(6000),
    };
    let head = req.head(2).replace(
        "\r\n\r\n",
        &format!("\r\nModel: {MODEL}\r\nToken-Usage: 900,80\r\nPrompt-Prefix: 5c1e07a2:40,{id}:860\r\n\r\n"),
    );
    let asking = || -> io::Result<(u16, String)> {
        let mut conn = Conn::connect(front, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        conn.write(format!("{head}{{}}").as_bytes())?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = conn.read_body(&head)?;
        Ok((head.status(), String::from_utf8_lossy(&body).into_owned()))
    };
    let result = asking();
    let stream = match &result {
        Ok((200, text)) if is_whole(text) => Stream::Whole,
        Ok((200, text)) => Stream::Spoilt(text.clone()),
        Ok(_) | Err(_) => Stream::None,
    };
    match &result {
        Ok((200, text)) if stream == Stream::Whole => {
            record.line(&format!("{id} ended with a whole stream of {} bytes", text.len()));
        }
        Ok((status, text)) => record.line(&format!("{id} ended with {status}: {:?}", text.trim_end())),
        Err(e) => record.line(&format!("{id} ended without a complete answer: {e}")),
    }
    stream
}

/// Whether the text consists of all events, each whole and in order.
fn is_whole(text: &str) -> bool {
    let Some(text) = text.strip_suffix("\n\n") else {
        return false;
    };
    let ids = text.split("\n\n").map(|event| {
        let (id, data) = event.strip_prefix("id: ")?.split_once('\n')?;
        data.strip_prefix("data: ")?;
        id.parse::<u32>().ok()
    });
    ids.eq((1..=EVENTS).map(Some))
}
