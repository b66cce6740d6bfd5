//! Lists of digests come spoilt from the origin, as all machines come back from a loss of power.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Request, get};
use crate::engine::{Engine, MODEL, Origin};
use crate::fleet::{Net, Process, wait_until};
use crate::http::Conn;
use crate::record::Record;
use crate::store::{OPERATOR, Store};

/// `recoveryS` of the bounds.
const RECOVERY: Duration = Duration::from_secs(12);
/// How long all machines are without power.
const DOWN: Duration = Duration::from_millis(900);
/// All machines start within 0.3 s of each other.
const START_SPREAD: Duration = Duration::from_millis(280);
/// When the first machine of an engine starts.
const FIRST_SIDE: Duration = Duration::from_millis(130);
/// How long requests are counted before the fault, and after the recovery.
const COUNTED: Duration = Duration::from_secs(10);

/// Lists of digests that are spoilt, if as many are asked for: 2 of the about 70 answers that the origin gives in
/// the run after the fault. The site file has a share of 0.04.
const SPOILT_LISTS: u32 = 2;

const SIDES: u8 = 3;
const ENTRIES: u8 = 2;

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

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let net = Net::pick()?;
    let store = Store::start(net.at(1, net.app))?;
    let origin = Origin::start(net.at(2, net.app), record)?;
    store.put(OPERATOR, "config", &config(&net, 1));
    let mut engines = Vec::new();
    for side in 0..SIDES {
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
    for side in 0..SIDES {
        let app = net.at(20 + side, net.app).to_string();
        let more = [registry.clone(), ("app", app), ("service", "wagtail-scribes".to_owned())];
        processes.push(Process::start("agent", &net, 20 + side, &seeds, dir, &more)?);
    }
    let are_ready = || {
        let mut entries = (0..ENTRIES).map(|it| net.at(10 + it, net.readiness));
        entries.all(|addr| get(addr, "/readyz").status() == 200)
    };
    if !wait_until(Duration::from_secs(15), are_ready) {
        return Err(io::Error::other("the entries don't become ready"));
    }
    thread::sleep(Duration::from_secs(5));

    let ended = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|client: u8| {
            let front = net.at(10 + client % ENTRIES, net.front);
            let (record, ended) = (Arc::clone(record), Arc::clone(&ended));
            let is_over = Arc::clone(&is_over);
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{client}-{number}");
                    let sent = Instant::now();
                    let is_served = ask(front, &id, &record);
                    ended.lock().unwrap().push((sent, is_served));
                    thread::sleep(Duration::from_millis(400).saturating_sub(sent.elapsed()));
                }
            })
        })
        .collect();
    let begun = Instant::now();
    thread::sleep(COUNTED);
    let before = share(&ended, begun, Instant::now());
    record.say(&format!("before the fault {before}"));

    // The final fault comes right after a configuration was acknowledged.
    store.put(OPERATOR, "config", &config(&net, 2));
    for engine in &engines {
        engine.power_off();
    }
    for process in &mut processes {
        process.kill();
    }
    record.say("all machines have lost their power");
    let (answers, _) = origin.answers();
    if has_trouble {
        origin.spoil_next(SPOILT_LISTS);
    }
    thread::sleep(DOWN);
    for engine in &engines {
        engine.power_on();
    }
    // Any order is possible: first the machines of the entries, then that of one engine, and last the others.
    let entries = usize::from(ENTRIES);
    let started = Instant::now();
    for (number, process) in processes.iter_mut().enumerate() {
        let due = match number.checked_sub(entries) {
            None => Duration::ZERO,
            Some(0) => FIRST_SIDE,
            Some(_) => START_SPREAD,
        };
        thread::sleep(due.saturating_sub(started.elapsed()));
        process.restart()?;
    }
    let back = Instant::now();
    record.say("all machines are back");
    thread::sleep(RECOVERY + COUNTED);
    let after = share(&ended, back + RECOVERY, Instant::now());
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().unwrap();
    }
    let held: Vec<_> = engines.iter().map(|engine| engine.version()).collect();
    record.say(&format!(
        "later than {} s after the machines were back {after}; the origin has spoilt {} of {} answers \
         since the fault; versions that the engines hold: {held:?}; runs: {:?}",
        RECOVERY.as_secs(),
        origin.answers().1,
        origin.answers().0 - answers,
        engines.iter().map(|engine| engine.runs()).collect::<Vec<_>>(),
    ));
    if before.served * 4 < before.sent || before.sent < 20 {
        return Err(io::Error::other("too little was served before the fault"));
    }
    Ok(after.served * 4 < after.sent)
}

struct Share {
    served: usize,
    sent: usize,
}

impl std::fmt::Display for Share {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} of {} requests are served", self.served, self.sent)
    }
}

/// Counts the requests that were sent from `from` to `to`.
fn share(ended: &Mutex<Vec<(Instant, bool)>>, from: Instant, to: Instant) -> Share {
    let ended = ended.lock().unwrap();
    let counted: Vec<_> = ended.iter().filter(|(sent, _)| (from..to).contains(sent)).collect();
    Share {
        served: counted.iter().filter(|(_, is_served)| *is_served).count(),
        sent: counted.len(),
    }
}

/// Asks for a stream; returns whether it was complete.
fn ask(front: std::net::SocketAddr, id: &str, record: &Record) -> bool {
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
    let asking = || -> io::Result<(u16, usize)> {
        let mut conn = Conn::connect(front, Duration::from_secs(1))?;
        conn.stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        conn.write(format!("{head}{{}}").as_bytes())?;
        let head = conn.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = conn.read_body(&head)?;
        let text = String::from_utf8_lossy(&body);
        if head.status() != 200 {
            record.line(&format!("{id}: {}", text.trim()));
        }
        Ok((head.status(), text.matches("id: ").count()))
    };
    let result = asking();
    record.line(&format!("{id} ended with {result:?}"));
    matches!(result, Ok((200, 12)))
}
