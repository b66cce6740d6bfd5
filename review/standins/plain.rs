//! One entry before three servers of a plain service, and clients with kept connections.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Request, get};
use crate::fleet::{Net, Process, wait_until};
use crate::http::Conn;
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::{OPERATOR, Store};

/// Clients, each with a kept connection.
const CLIENTS: usize = 8;

const CONFIG: &str = r#"{"version":1,
"routes":[
{"name":"proof-fetch","host":"jepu9.example","pathPrefix":"/fetch/","kind":"non_idempotent","timeoutMs":800,
 "targetLatencyMs":150,"priority":2,"service":"proof-desk","maxAttempts":1},
{"name":"order-status","host":"jepu9.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":800,
 "targetLatencyMs":150,"priority":2,"service":"proof-desk","maxAttempts":2}],
"services":[{"name":"proof-desk","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"]}]}"#;

/// A request that has ended.
pub struct Ended {
    pub method: &'static str,
    pub id: String,
    pub end: End,
}

/// Sends requests for `length`; the first of the servers behaves as `first` says. Returns how they ended.
pub fn run(dir: &Path, record: &Arc<Record>, first: Behaviour, length: Duration) -> io::Result<Vec<Ended>> {
    let net = Net::pick()?;
    let store = Store::start(net.at(1, net.app))?;
    store.put(OPERATOR, "config", CONFIG);
    let mut servers = Vec::new();
    for number in 0..3 {
        let (id, addr) = (format!("i-{number}"), net.at(20 + number, net.app));
        let sound = Behaviour::sound(first.work);
        let behaviour = if number == 0 { first } else { sound };
        servers.push(Server::start(&id, "proof-desk", addr, behaviour, &store, record)?);
    }
    let seeds = [net.at(10, net.front)];
    let more = [("provider.address", net.at(1, net.app).to_string())];
    let _entry = Process::start("entry", &net, 10, &seeds, dir, &more)?;
    let status = net.at(10, net.readiness);
    if !wait_until(Duration::from_secs(15), || get(status, "/readyz").status() == 200) {
        return Err(io::Error::other("the entry doesn't become ready"));
    }
    let front = net.at(10, net.front);
    let until = Instant::now() + length;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, servers) = (Arc::clone(record), servers.clone());
            thread::spawn(move || ask_until(until, client, front, &servers, &record))
        })
        .collect();
    Ok(clients.into_iter().flat_map(|client| client.join().unwrap()).collect())
}

/// Sends one request after the other on a kept connection.
fn ask_until(
    until: Instant,
    client: usize,
    front: std::net::SocketAddr,
    servers: &[Arc<Server>],
    record: &Record,
) -> Vec<Ended> {
    let mut all = Vec::new();
    let mut conn = None;
    for number in 0.. {
        if Instant::now() > until {
            break;
        }
        if conn.is_none() {
            conn = Conn::connect(front, Duration::from_secs(1)).ok();
        }
        let Some(kept) = &mut conn else {
            continue;
        };
        let (method, path, body) = if number % 2 == 0 {
            ("POST", "/fetch/2f", &b"{}"[..])
        } else {
            ("GET", "/status/2f", &b""[..])
        };
        let id = format!("{client}-{number}");
        let req = Request {
            method,
            path,
            host: "jepu9.example",
            id: &id,
            key: "jnbanfqasnmgkcuyj8pj",
            deadline: Duration::from_millis(1500),
        };
        let end = req.send(kept, body);
        if matches!(end, End::Cut(_)) {
            conn = None;
        }
        let runs: u32 = servers.iter().map(|server| server.runs(&id)).sum();
        record.line(&format!("{method} {id} ended with {end}; it ran {runs} times"));
        all.push(Ended { method, id, end });
    }
    all
}
