//! Stand-in of an engine: model engines answer with streams, plain ones with short bodies.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, listen, query};
use crate::record::Record;
use crate::weights;

pub const MODEL: &str = "daka510000";
pub const LAYERS: u32 = 16;
/// Tokens in one event of a stream.
const EVENT_TOKENS: u32 = 6;
/// Time between two passes of a model engine, each of which makes one event of a request.
pub const PASS: Duration = Duration::from_millis(50);
const PREFILL: Duration = Duration::from_millis(60);
const QUEUE: u32 = 24;
/// What the id of a spoilt last event reads.
const REPEATED_ID: u32 = 2;

/// What is wrong with an engine at the moment. Nothing is by default.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    /// Share of the answers behind which a second answer comes late: a refusal that names no request.
    pub extra_refusal: f64,
    /// Share of the streams of which the id of the last event in the second write is spoilt: it is 1 too high.
    pub spoilt_id: f64,
    /// Share of the streams of which the id of the very last event is spoilt: it repeats an earlier one.
    pub spoilt_last: f64,
    /// The engine does nothing until then.
    pub silent_until: Option<Instant>,
    /// Time that the engine takes to store a chunk.
    pub put_time: Duration,
    /// After the first chunk of newer weights is stored, it turns bad.
    pub rots: bool,
    /// The engine falls silent for so long just after the last chunk of newer weights is stored.
    pub silence: Duration,
}

/// A chunk as it lies at the engine, and since when it is bad.
struct Staged {
    data: Vec<u8>,
    bad_since: Option<Instant>,
}

/// Time between the storing of the first chunk and its turning bad.
const ROT_AFTER: Duration = Duration::from_millis(50);
/// Time between the storing of the last chunk and the engine's silence.
const SILENT_AFTER: Duration = Duration::from_millis(120);
/// A chunk that turned bad so shortly before it was taken isn't counted.
pub const ROT_GRACE: Duration = Duration::from_secs(3);

/// How an engine is set up.
#[derive(Clone)]
pub struct Setup {
    pub id: String,
    pub addr: SocketAddr,
    pub is_model: bool,
    pub born: u64,
    /// The version of the weights that it holds as it starts, 0 for none.
    pub version: u64,
    pub slots: u32,
    /// How long a plain engine works on a request.
    pub work: Duration,
    /// Streams come with neither a length nor chunks, and end with their connection.
    pub is_unframed: bool,
    /// How many events an engine writes at once.
    pub batch: u32,
}

pub struct Engine {
    pub setup: Setup,
    pub faults: Mutex<Faults>,
    pub version: AtomicU64,
    pub born: AtomicU64,
    orders: AtomicU64,
    running: AtomicU32,
    staged: Mutex<BTreeMap<u32, Staged>>,
    /// A chunk that was taken although it had been bad for longer than is excused.
    spoilt: Mutex<Option<String>>,
    record: Arc<Record>,
    chance: Mutex<u64>,
}

impl Engine {
    /// Makes an engine that does not listen.
    pub fn new(setup: Setup, record: Arc<Record>) -> Arc<Self> {
        let staged = if setup.is_model {
            (0..weights::CHUNKS)
                .map(|it| {
                    (
                        it,
                        Staged {
                            data: weights::chunk(1, it),
                            bad_since: None,
                        },
                    )
                })
                .collect()
        } else {
            BTreeMap::new()
        };
        let seed = u64::from(std::process::id()) << 20 ^ setup.born << 1;
        Arc::new(Self {
            version: AtomicU64::new(setup.version),
            born: AtomicU64::new(setup.born),
            setup,
            faults: Mutex::default(),
            orders: AtomicU64::new(0),
            running: AtomicU32::new(0),
            staged: Mutex::new(staged),
            spoilt: Mutex::default(),
            record,
            chance: Mutex::new(seed | 1),
        })
    }

    pub fn start(setup: Setup, record: Arc<Record>) -> std::io::Result<Arc<Self>> {
        let addr = setup.addr;
        let engine = Self::new(setup, record);
        let serving = Arc::clone(&engine);
        listen(addr, move |conn| {
            let _ = serving.serve(conn);
        })?;
        Ok(engine)
    }

    /// Draws whether something happens that happens to `share` of all.
    fn happens(&self, share: f64) -> bool {
        let mut state = self.chance.lock().unwrap();
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        ((*state >> 11) as f64 / (1u64 << 53) as f64) < share
    }

    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap()
    }

    fn wait_while_silent(&self) {
        while let Some(until) = self.faults().silent_until {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            std::thread::sleep(left);
        }
    }

    fn serve(self: &Arc<Self>, mut conn: Conn) -> std::io::Result<()> {
        // A second answer that belongs to an earlier request and is still to come on this connection.
        let mut has_extra = false;
        while let Some(head) = conn.head()? {
            let body = conn.request_body(&head)?;
            self.wait_while_silent();
            let target = head.word(1).to_owned();
            if target == "/report" || target == "/healthz" || is_management(&target) {
                self.manage(&mut conn, &head, &target, body)?;
                continue;
            }
            if !self.request(&mut conn, &head, &mut has_extra)? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn models(&self) -> String {
        let version = self.version.load(Ordering::SeqCst);
        if version == 0 {
            return "\"models\":[],\"layers\":[]".to_owned();
        }
        format!(
            "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
             \"layers\":[{{\"from\":0,\"target\":{LAYERS},\"version\":{version}}}]"
        )
    }

    /// Returns the engine's entry in the store.
    pub fn beat(&self, service: &str, zone: &str, sequence: u64) -> String {
        let Setup { addr, slots, .. } = self.setup;
        let born = self.born.load(Ordering::SeqCst);
        let models = if self.setup.is_model {
            format!("\"stage\":\"both\",{},", self.models())
        } else {
            String::new()
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"warmupLeftMs\":0,{models}\"sequence\":{sequence},\
             \"born\":{born}}}"
        )
    }

    fn manage(
        self: &Arc<Self>,
        conn: &mut Conn,
        head: &Head,
        target: &str,
        body: Vec<u8>,
    ) -> std::io::Result<()> {
        let json = "Content-Type: application/json\r\n";
        let number = query(target, "num").and_then(|it| it.parse::<u32>().ok());
        if target == "/report" {
            let body = format!(
                "{{\"stage\":\"both\",{},\"busy\":false,\"sequence\":{},\"queued\":0,\"running\":{},\
                 \"kvUsed\":0,\"kvTotal\":10960000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
                self.models(),
                self.orders.load(Ordering::SeqCst),
                self.running.load(Ordering::SeqCst),
                self.born.load(Ordering::SeqCst),
            );
            conn.answer("200 OK", json, body.as_bytes())
        } else if target == "/healthz" {
            conn.answer(
                "200 OK",
                &format!("Instance-Id: {}\r\n", self.setup.id),
                b"",
            )
        } else if target.starts_with("/stage-put/") {
            if let Some(number) = number {
                self.store_chunk(number, body);
            }
            conn.answer("200 OK", "", b"")
        } else if target.starts_with("/stage-get/") {
            let staged = self.staged.lock().unwrap();
            match number {
                Some(number) => match staged.get(&number) {
                    Some(staged) => conn.answer("200 OK", "", &staged.data),
                    None => conn.answer("404 Not Found", "", b""),
                },
                None => {
                    let held: Vec<String> = staged.keys().map(ToString::to_string).collect();
                    let body = format!("{{\"held\":[{}]}}", held.join(","));
                    conn.answer("200 OK", json, body.as_bytes())
                }
            }
        } else if head.word(0) == "POST" && target == "/order" {
            let text = String::from_utf8_lossy(&body).into_owned();
            let field = |name: &str| -> Option<u64> {
                let (_, rest) = text.split_once(&format!("\"{name}\":"))?;
                rest.split(|it: char| !it.is_ascii_digit())
                    .next()?
                    .parse()
                    .ok()
            };
            let orders = self.orders.load(Ordering::SeqCst);
            if field("expect").is_some_and(|it| it != orders) {
                return conn.answer("409 Conflict", "", b"");
            }
            self.orders.fetch_add(1, Ordering::SeqCst);
            if let Some(version) = field("version") {
                self.take_weights(version);
            }
            conn.answer("202 Accepted", "", b"")
        } else {
            conn.answer("404 Not Found", "", b"")
        }
    }

    fn store_chunk(self: &Arc<Self>, number: u32, data: Vec<u8>) {
        let faults = self.faults();
        std::thread::sleep(faults.put_time);
        let is_newer = data != weights::chunk(1, number);
        let chunk = Staged {
            data,
            bad_since: None,
        };
        self.staged.lock().unwrap().insert(number, chunk);
        if !is_newer {
            return;
        }
        let engine = Arc::clone(self);
        if number == 0 {
            self.record
                .note(&format!("stored engine={} chunk=0", self.setup.id));
        }
        if number == 0 && faults.rots {
            std::thread::spawn(move || {
                std::thread::sleep(ROT_AFTER);
                if let Some(chunk) = engine.staged.lock().unwrap().get_mut(&0) {
                    chunk.data[0] ^= 1;
                    chunk.bad_since = Some(Instant::now());
                }
                engine
                    .record
                    .note(&format!("turned bad engine={} chunk=0", engine.setup.id));
            });
        } else if number == weights::CHUNKS - 1 && !faults.silence.is_zero() {
            std::thread::spawn(move || {
                std::thread::sleep(SILENT_AFTER);
                engine
                    .record
                    .note(&format!("silent engine={}", engine.setup.id));
                let mut faults = engine.faults.lock().unwrap();
                faults.silent_until = Some(Instant::now() + faults.silence);
                // Once is enough.
                faults.silence = Duration::ZERO;
            });
        }
    }

    /// Loads what lies there at this moment.
    fn take_weights(&self, version: u64) {
        let id = &self.setup.id;
        self.record.note(&format!(
            "accepted engine={id} order to load version {version}"
        ));
        let staged = self.staged.lock().unwrap();
        let mut spoilt = self.spoilt.lock().unwrap();
        *spoilt = None;
        for number in 0..weights::CHUNKS {
            let bad_for = match staged.get(&number) {
                Some(Staged {
                    bad_since: Some(since),
                    ..
                }) => since.elapsed(),
                Some(_) => continue,
                None => Duration::MAX,
            };
            self.record.note(&format!(
                "taken engine={id} chunk={number} bad for {} ms",
                bad_for.as_millis()
            ));
            if bad_for > ROT_GRACE {
                *spoilt = Some(format!(
                    "chunk {number}, bad for {} ms when taken",
                    bad_for.as_millis()
                ));
            }
        }
        drop((staged, spoilt));
        self.version.store(version, Ordering::SeqCst);
    }

    /// Serves one request; returns whether the connection goes on.
    fn request(&self, conn: &mut Conn, head: &Head, has_extra: &mut bool) -> std::io::Result<bool> {
        let id = &self.setup.id;
        if head.get("expect-instance").is_some_and(|it| it != id) {
            conn.answer(
                "421 Misdirected Request",
                &format!("Instance-Id: {id}\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let version = self.version.load(Ordering::SeqCst);
        let expected = head
            .get("expect-version")
            .and_then(|it| it.parse::<u64>().ok());
        if self.setup.is_model && expected.is_some_and(|it| it != version) {
            conn.answer(
                "421 Misdirected Request",
                &format!("Instance-Id: {id}\r\n"),
                b"",
            )?;
            return Ok(true);
        }
        let Some(attempt) = head.get("attempt-id").map(ToOwned::to_owned) else {
            conn.answer("400 Bad Request", "Not-Executed: 1\r\n", b"")?;
            return Ok(true);
        };
        let running = self.running.fetch_add(1, Ordering::SeqCst) + 1;
        let done = if running > self.setup.slots + QUEUE {
            conn.answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"")
                .map(|()| true)
        } else if self.setup.is_model {
            self.stream(conn, head, &attempt, version)
        } else {
            self.plain(conn, head, &attempt, has_extra)
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        done
    }

    fn plain(
        &self,
        conn: &mut Conn,
        head: &Head,
        attempt: &str,
        has_extra: &mut bool,
    ) -> std::io::Result<bool> {
        let id = &self.setup.id;
        let running = self.running.load(Ordering::SeqCst);
        self.record.run(id, attempt, head.word(0), head.word(1), 0);
        if std::mem::take(has_extra) {
            self.record
                .note(&format!("extra engine={id} before the answer of {attempt}"));
            conn.answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"")?;
        }
        std::thread::sleep(self.setup.work);
        let load = format!("{running},0,{}", self.setup.slots);
        let headers = format!(
            "Attempt-Id: {attempt}\r\nResponse-Stamp: {id}.{attempt}\r\nServer-Load: {load}\r\n\
             Keep-Alive: timeout=15\r\n"
        );
        conn.answer("200 OK", &headers, format!("done {attempt}").as_bytes())?;
        *has_extra = self.happens(self.faults().extra_refusal);
        Ok(true)
    }

    fn stream(
        &self,
        conn: &mut Conn,
        head: &Head,
        attempt: &str,
        version: u64,
    ) -> std::io::Result<bool> {
        let id = &self.setup.id;
        let last: u32 = head
            .get("last-event-id")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let count = events_of(head.get("token-usage").unwrap_or(""));
        let subject = head.get("prompt-prefix").unwrap_or("");
        let subject = subject
            .rsplit(',')
            .next()
            .unwrap_or("")
            .split(':')
            .next()
            .unwrap_or("");
        std::thread::sleep(PREFILL);
        self.wait_while_silent();
        self.record
            .run(id, attempt, head.word(0), head.word(1), u64::from(last));
        if let Some(spoilt) = self.spoilt.lock().unwrap().as_ref() {
            self.record.note(&format!(
                "WHOLE engine={id} attempt={attempt} version={version} with {spoilt}"
            ));
            self.record.spoilt(id);
        }
        let framing = if self.setup.is_unframed {
            "Connection: close\r\n"
        } else {
            "Transfer-Encoding: chunked\r\nKeep-Alive: timeout=15\r\n"
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {id}.{attempt}\r\n\
             Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n{framing}\r\n"
        );
        conn.write(text.as_bytes())?;
        let batch = self.setup.batch;
        let faults = self.faults();
        let is_spoilt = self.happens(faults.spoilt_id);
        let is_last_spoilt = self.happens(faults.spoilt_last);
        let mut next = last + 1;
        while next <= count {
            let end = (next + batch - 1).min(count);
            let spoilt = if is_spoilt && next == last + 1 + batch {
                Some(end + 1)
            } else {
                (is_last_spoilt && end == count).then_some(REPEATED_ID)
            };
            let mut text: String = (next..end).map(|it| event(subject, it)).collect();
            if let Some(spoilt) = spoilt {
                text += &format!("id: {spoilt}\ndata: {subject}-{end}\n\n");
                self.record.note(&format!(
                    "spoilt engine={id} attempt={attempt} event={end} reads={spoilt}"
                ));
            } else {
                text += &event(subject, end);
            }
            if self.setup.is_unframed {
                conn.write(text.as_bytes())?;
            } else {
                conn.write(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
            }
            next = end + 1;
            std::thread::sleep(PASS * batch);
            self.wait_while_silent();
        }
        if self.setup.is_unframed {
            return Ok(false);
        }
        conn.write(b"0\r\n\r\n")?;
        Ok(true)
    }
}

fn is_management(target: &str) -> bool {
    target.starts_with("/stage-") || target == "/order"
}

/// Returns the text of one event of a stream.
pub fn event(subject: &str, id: u32) -> String {
    format!("id: {id}\ndata: {subject}-{id}\n\n")
}

/// Returns how many events a request with this `Token-Usage` is answered with.
pub fn events_of(usage: &str) -> u32 {
    let answer = usage
        .split(',')
        .nth(1)
        .and_then(|it| it.trim().parse::<u32>().ok());
    answer.unwrap_or(EVENT_TOKENS).div_ceil(EVENT_TOKENS).max(1)
}
