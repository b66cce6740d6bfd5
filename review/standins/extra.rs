//! A faulty server sends more bytes after a complete answer.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Request, get};
use crate::fleet::{Net, Process, wait_until};
use crate::http::Conn;
use crate::record::Record;
use crate::server::Server;
use crate::store::{OPERATOR, Store};

/// Bytes that belong to no request. They have neither `Attempt-Id` nor `Response-Stamp`.
const EXTRA: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nspoilt bytes";

/// One answer in this many has extra bytes after it, a share of 0.02.
const EXTRA_EVERY: u64 = 50;

/// Clients, each with a kept connection.
const CLIENTS: usize = 8;

/// How long the clients send requests.
const LENGTH: Duration = Duration::from_secs(20);

const CONFIG: &str = r#"{"version":1,
"routes":[
{"name":"proof-fetch","host":"jepu9.example","pathPrefix":"/fetch/","kind":"non_idempotent","timeoutMs":800,
 "targetLatencyMs":150,"priority":2,"service":"proof-desk","maxAttempts":1},
{"name":"order-status","host":"jepu9.example","pathPrefix":"/status/","kind":"idempotent","timeoutMs":800,
 "targetLatencyMs":150,"priority":2,"service":"proof-desk","maxAttempts":2}],
"services":[{"name":"proof-desk","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"]}]}"#;

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let net = Net::pick()?;
    let store = Store::start(net.at(1, net.app))?;
    store.put(OPERATOR, "config", CONFIG);
    let mut servers = Vec::new();
    for number in 0..3 {
        let (id, addr) = (format!("i-{number}"), net.at(20 + number, net.app));
        // One server of three is faulty.
        let extra = if has_trouble && number == 0 { sometimes } else { never };
        let work = Duration::from_millis(30);
        servers.push(Server::start(&id, "proof-desk", addr, work, extra, &store, record)?);
    }
    let seeds = [net.at(10, net.front)];
    let more = [("provider.address", net.at(1, net.app).to_string())];
    let _entry = Process::start("entry", &net, 10, &seeds, dir, &more)?;
    let status = net.at(10, net.readiness);
    if !wait_until(Duration::from_secs(15), || get(status, "/readyz").status() == 200) {
        return Err(io::Error::other("the entry doesn't become ready"));
    }
    let front = net.at(10, net.front);
    let (answered, foreign) = (Arc::new(AtomicU32::new(0)), Arc::new(AtomicU32::new(0)));
    let until = Instant::now() + LENGTH;
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, servers) = (Arc::clone(record), servers.clone());
        let (answered, foreign) = (Arc::clone(&answered), Arc::clone(&foreign));
        clients.push(thread::spawn(move || {
            let mut conn = None;
            for number in 0.. {
                if Instant::now() > until {
                    return;
                }
                if conn.is_none() {
                    conn = Conn::connect(front, Duration::from_secs(1)).ok();
                }
                let Some(kept) = &mut conn else {
                    continue;
                };
                let (method, path) =
                    if number % 2 == 0 { ("POST", "/fetch/2f") } else { ("GET", "/status/2f") };
                let id = format!("{client}-{number}");
                let req = Request {
                    method,
                    path,
                    host: "jepu9.example",
                    id: &id,
                    key: "jnbanfqasnmgkcuyj8pj",
                    deadline: Duration::from_millis(1500),
                };
                let end = req.send(kept, if number % 2 == 0 { b"{}" } else { b"" });
                record.line(&format!("{method} {id} ended with {end}"));
                match end {
                    End::Answer(200, None, body) => {
                        foreign.fetch_add(1, Ordering::Relaxed);
                        let runs: u32 = servers.iter().map(|it| it.runs(&id)).sum();
                        record.say(&format!(
                            "{method} {id} got 200 without Response-Stamp: {:?}; it ran {runs} times",
                            String::from_utf8_lossy(&body)
                        ));
                    }
                    End::Answer(200, Some(_), _) => drop(answered.fetch_add(1, Ordering::Relaxed)),
                    End::Answer(..) => {}
                    End::Cut(_) => conn = None,
                }
            }
        }));
    }
    for client in clients {
        client.join().unwrap();
    }
    let foreign = foreign.load(Ordering::Relaxed);
    let answered = answered.load(Ordering::Relaxed);
    record.say(&format!("{answered} sound answers, {foreign} successes that are no server's answer"));
    if answered == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(foreign > 0)
}

fn never(_: u64) -> Option<&'static [u8]> {
    None
}

fn sometimes(request: u64) -> Option<&'static [u8]> {
    request.is_multiple_of(EXTRA_EVERY).then_some(EXTRA)
}
