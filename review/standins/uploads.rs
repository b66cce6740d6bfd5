//! Many clients send long requests at once.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{End, Request, get, read_answer};
use crate::fleet::{Net, Process, wait_until};
use crate::http::Conn;
use crate::record::Record;
use crate::server::{Behaviour, Server};
use crate::store::{OPERATOR, Store};

/// `memoryMb` of a small deployment's edge machine: a process that exceeds it is killed.
const MEMORY_KB: u64 = 260 * 1024;

/// What the entry allows itself to hold for its callers on such a machine, a quarter of the memory.
const HELD_LIMIT: u64 = 260 * 1024 * 1024 / 4;

/// `maxBodyBytes` of the configuration, as in the site file.
const MAX_BODY: usize = 4_194_304;

/// Clients that send long requests at once.
const CLIENTS: usize = 90;

/// Rate of each of them in bytes a second: all together use half of the machine's link of 1,000 Mbit/s, so that no
/// packet waits there.
const RATE: usize = 62_500_000 / CLIENTS;

/// Clients with short requests on kept connections.
const KEPT: usize = 12;

const HOST: &str = "jepu9.example";
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

const CONFIG: &str = r#"{"version":1,
"routes":[
{"name":"proof-fetch","host":"jepu9.example","pathPrefix":"/fetch/","kind":"non_idempotent","timeoutMs":1500,
 "targetLatencyMs":150,"priority":2,"service":"proof-desk","maxAttempts":1},
{"name":"proof-submit","host":"jepu9.example","pathPrefix":"/submit/","kind":"non_idempotent","timeoutMs":6000,
 "targetLatencyMs":400,"priority":2,"service":"proof-desk","maxAttempts":1}],
"services":[{"name":"proof-desk","maxConnections":110}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":15000},
"tenants":[{"name":"bozi300","apiKeys":["jnbanfqasnmgkcuyj8pj"]}]}"#;

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let net = Net::pick()?;
    let store = Store::start(net.at(1, net.app))?;
    store.put(OPERATOR, "config", CONFIG);
    let servers: io::Result<Vec<Arc<Server>>> = (0..3)
        .map(|number| {
            let (id, addr) = (format!("i-{number}"), net.at(20 + number, net.app));
            Server::start(&id, "proof-desk", addr, Behaviour::sound(Duration::from_millis(300)), &store, record)
        })
        .collect();
    let servers = servers?;
    let seeds = [net.at(10, net.front)];
    let more = [("provider.address", net.at(1, net.app).to_string())];
    let entry = Process::start("entry", &net, 10, &seeds, dir, &more)?;
    let status = net.at(10, net.readiness);
    let is_ready = || get(status, "/readyz").status() == 200;
    if !wait_until(Duration::from_secs(15), is_ready) {
        return Err(io::Error::other("the entry doesn't become ready"));
    }
    record.say(&format!("{} is ready with {} KiB", entry.name, entry.resident_kb()));

    let is_over = Arc::new(AtomicBool::new(false));
    let lost = Arc::new(AtomicU32::new(0));
    let answered = Arc::new(AtomicU32::new(0));
    let front = net.at(10, net.front);
    let mut clients = Vec::new();
    for client in 0..KEPT {
        let (record, servers) = (Arc::clone(record), servers.clone());
        let (is_over, lost) = (Arc::clone(&is_over), Arc::clone(&lost));
        let answered = Arc::clone(&answered);
        clients.push(thread::spawn(move || {
            let mut conn = Conn::connect(front, Duration::from_secs(1)).ok();
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let Some(kept) = &mut conn else {
                    thread::sleep(Duration::from_millis(100));
                    conn = Conn::connect(front, Duration::from_secs(1)).ok();
                    continue;
                };
                let id = format!("short-{client}-{number}");
                let req = Request {
                    method: "POST",
                    path: "/fetch/2f",
                    host: HOST,
                    id: &id,
                    key: KEY,
                    deadline: Duration::from_millis(1500),
                };
                let end = req.send(kept, b"{}");
                record.line(&format!("{id} ended with {end}"));
                match end {
                    End::Answer(200, ..) => drop(answered.fetch_add(1, Ordering::Relaxed)),
                    End::Answer(..) => thread::sleep(Duration::from_millis(100)),
                    End::Cut(_) => {
                        conn = None;
                        if servers.iter().any(|server| server.runs(&id) > 0) {
                            record.line(&format!("{id} ran and has no answer"));
                            lost.fetch_add(1, Ordering::Relaxed);
                        }
                    }
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));

    // Without the disruption the same requests come one after the other, as in usual traffic.
    let at_once = if has_trouble { CLIENTS } else { 3 };
    let sent = Arc::new(AtomicU64::new(0));
    let accepted = Arc::new(AtomicU32::new(0));
    let begun = Instant::now();
    record.say(&format!("{CLIENTS} long requests, {at_once} at once"));
    let next = Arc::new(AtomicU32::new(0));
    let uploads: Vec<_> = (0..at_once)
        .map(|_| {
            let (record, next, sent) = (Arc::clone(record), Arc::clone(&next), Arc::clone(&sent));
            let accepted = Arc::clone(&accepted);
            thread::spawn(move || loop {
                let number = next.fetch_add(1, Ordering::Relaxed) as usize;
                if number >= CLIENTS {
                    return;
                }
                let id = format!("long-{number}");
                let rate = RATE * CLIENTS / at_once;
                let end = upload(front, &id, rate, &sent);
                record.line(&format!("{id} ended with {end}"));
                accepted.fetch_add(u32::from(end.status() == 200), Ordering::Relaxed);
            })
        })
        .collect();

    let mut most = (0, 0);
    let mut is_killed = false;
    let mut entry = entry;
    while uploads.iter().any(|it| !it.is_finished()) {
        let resident = entry.resident_kb();
        most.0 = most.0.max(resident);
        if resident > MEMORY_KB {
            let held = held_bytes(status);
            record.say(&format!(
                "after {:.1} s the process has {resident} KiB, of which it counts {} as held; {} KiB \
                 of long requests were sent; the platform kills it",
                begun.elapsed().as_secs_f64(),
                held.map_or_else(|| "(no answer)".to_owned(), |it| (it / 1024).to_string()),
                sent.load(Ordering::Relaxed) / 1024,
            ));
            most.1 = most.1.max(held.unwrap_or(0));
            entry.kill();
            is_killed = true;
            break;
        }
        thread::sleep(Duration::from_millis(10));
    }
    thread::sleep(Duration::from_secs(1));
    if is_killed {
        entry.restart()?;
        if !wait_until(Duration::from_secs(15), is_ready) {
            return Err(io::Error::other("the entry doesn't become ready again"));
        }
    }
    for upload in uploads {
        upload.join().unwrap();
    }
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    let lost = lost.load(Ordering::Relaxed);
    record.say(&format!(
        "most memory {} KiB of {MEMORY_KB}; short requests: {} served, {lost} ran and their kept \
         connection ended without an answer; long requests served: {}",
        most.0,
        answered.load(Ordering::Relaxed),
        accepted.load(Ordering::Relaxed),
    ));
    if is_killed && most.1 > HELD_LIMIT {
        // On a machine of that size the entry would have refused requests by then.
        return Err(io::Error::other("the entry counts more as held than its limit"));
    }
    Ok(lost > 3)
}

/// Sends a long request at `rate` bytes a second, and reads the answer.
fn upload(front: std::net::SocketAddr, id: &str, rate: usize, sent: &AtomicU64) -> End {
    const SLICE: usize = 32 * 1024;
    let length = MAX_BODY - 1024;
    let deadline = Duration::from_millis(6000);
    let req = Request {
        method: "POST",
        path: "/submit/2f",
        host: HOST,
        id,
        key: KEY,
        deadline,
    };
    let sending = || -> io::Result<Conn> {
        let mut conn = Conn::connect(front, Duration::from_secs(1))?;
        conn.write(req.head(length).as_bytes())?;
        let slice = [b'x'; SLICE];
        let begun = Instant::now();
        let mut done = 0;
        while done < length {
            let due = Duration::from_secs_f64(done as f64 / rate as f64);
            thread::sleep(due.saturating_sub(begun.elapsed()));
            let part = SLICE.min(length - done);
            conn.write(&slice[..part])?;
            done += part;
            sent.fetch_add(part as u64, Ordering::Relaxed);
        }
        Ok(conn)
    };
    match sending() {
        Ok(mut conn) => read_answer(&mut conn, deadline),
        Err(e) => End::Cut(e.to_string()),
    }
}

/// The figure of the entry's own metrics for what it holds for its callers.
fn held_bytes(status: std::net::SocketAddr) -> Option<u64> {
    let End::Answer(200, _, text) = get(status, "/metrics") else {
        return None;
    };
    let text = String::from_utf8_lossy(&text).into_owned();
    let line = text.lines().find_map(|line| line.strip_prefix("wagtailreel_held_bytes "));
    line?.trim().parse().ok()
}
