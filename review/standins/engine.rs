//! A model engine, with staged pieces of weights, orders and streams; and the origin of weights.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::HEARTBEAT;
use crate::http::{Conn, Head, serve};
use crate::record::Record;
use crate::server::unix_ms;
use crate::sha256;
use crate::store::{SERVERS, Store};

/// The model that all engines serve.
pub const MODEL: &str = "daka510000";
/// Pieces of its weights, and bytes of each.
pub const PIECES: usize = 48;
pub const PIECE_BYTES: usize = 49_152;
/// Time to load staged weights.
const WARM: Duration = Duration::from_millis(300);
/// Events of a stream, and the time between them.
pub const EVENTS: u32 = 12;
const EVENT_INTERVAL: Duration = Duration::from_millis(40);

/// A piece of version `version`.
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    let seed = version.wrapping_mul(1_000_003).wrapping_add(number as u64);
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let next = |_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..PIECE_BYTES).map(next).collect()
}

/// Digests of all pieces of a version.
fn digests(version: u64) -> Vec<String> {
    (0..PIECES).map(|number| sha256::hex(&piece(version, number))).collect()
}

/// What an engine holds and does; lost with the power, but for `runs`.
struct State {
    id: String,
    born: u128,
    version: Option<u64>,
    /// Loads this version until then.
    loading: Option<(u64, Instant)>,
    orders: u64,
    running: u32,
    staged: BTreeMap<usize, Vec<u8>>,
}

impl State {
    fn new(id: String, version: Option<u64>) -> Self {
        let staged = version.map(|version| (0..PIECES).map(|it| (it, piece(version, it))).collect());
        Self {
            id,
            born: unix_ms(),
            version,
            loading: None,
            orders: 0,
            running: 0,
            staged: staged.unwrap_or_default(),
        }
    }

    /// Ends a load whose time is over.
    fn settle(&mut self) {
        if let Some((version, until)) = self.loading
            && Instant::now() >= until
        {
            self.version = Some(version);
            self.loading = None;
        }
    }

    /// `models` and `layers`, as an engine tells them in the store and in its reports.
    fn weights(&self) -> String {
        match self.version {
            Some(version) => format!(
                "\"models\":[{{\"name\":\"{MODEL}\",\"version\":{version},\"adapters\":[]}}],\
                 \"layers\":[{{\"from\":0,\"target\":16,\"version\":{version}}}]"
            ),
            None => "\"models\":[],\"layers\":[]".to_owned(),
        }
    }
}

/// A model engine.
pub struct Engine {
    name: String,
    service: String,
    addr: SocketAddr,
    state: Mutex<State>,
    is_dark: AtomicBool,
    /// Answers have a length, and not chunks.
    pub states_lengths: AtomicBool,
    starts: AtomicU32,
    runs: AtomicU32,
    store: Store,
    record: Arc<Record>,
}

impl Engine {
    /// Starts an engine that holds version 1, which is staged as well.
    pub fn start(
        name: &str,
        service: &str,
        addr: SocketAddr,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let engine = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            addr,
            state: Mutex::new(State::new(format!("{name}-0"), Some(1))),
            is_dark: AtomicBool::new(false),
            states_lengths: AtomicBool::new(false),
            starts: AtomicU32::new(0),
            runs: AtomicU32::new(0),
            store: store.clone(),
            record: Arc::clone(record),
        });
        let answering = Arc::clone(&engine);
        serve(TcpListener::bind(addr)?, move |conn| answering.answer_all(conn));
        let beating = Arc::clone(&engine);
        thread::spawn(move || {
            for sequence in 1.. {
                if !beating.is_dark.load(Ordering::Relaxed) {
                    beating.register(sequence);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(engine)
    }

    /// How many requests began to run.
    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::Relaxed)
    }

    pub fn version(&self) -> Option<u64> {
        let mut state = self.state.lock().unwrap();
        state.settle();
        state.version
    }

    /// Loses its power, and with it all that it holds.
    pub fn power_off(&self) {
        self.is_dark.store(true, Ordering::Relaxed);
    }

    /// Starts again, as another incarnation that holds nothing.
    pub fn power_on(&self) {
        self.start_with(BTreeMap::new());
    }

    /// Crashes: its connections end, and new ones as well.
    pub fn crash(&self) {
        self.is_dark.store(true, Ordering::Relaxed);
        self.record.say(&format!("{} crashes", self.name));
    }

    /// Starts again after a crash, as another incarnation. What was staged has survived.
    pub fn start_again(&self) {
        let staged = std::mem::take(&mut self.state.lock().unwrap().staged);
        self.start_with(staged);
    }

    fn start_with(&self, staged: BTreeMap<usize, Vec<u8>>) {
        let start = self.starts.fetch_add(1, Ordering::Relaxed) + 1;
        let id = format!("{}-{start}", self.name);
        let before = {
            let mut state = self.state.lock().unwrap();
            let next = State {
                staged,
                ..State::new(id, None)
            };
            std::mem::replace(&mut *state, next).id
        };
        self.is_dark.store(false, Ordering::Relaxed);
        self.store.put(SERVERS, &before, "");
        self.register(1);
    }

    fn register(&self, sequence: u64) {
        let mut state = self.state.lock().unwrap();
        state.settle();
        let (service, addr, born) = (&self.service, self.addr, state.born);
        let value = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"quito-hall\",\
             \"version\":\"1\",\"slots\":16,\"state\":\"ready\",\"warmupLeftMs\":0,\
             \"sequence\":{sequence},\"born\":{born},\"stage\":\"both\",{}}}",
            state.weights()
        );
        self.store.put(SERVERS, &state.id, &value);
    }

    fn answer_all(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.read_head()? {
            let body = conn.read_body(&head)?;
            if self.is_dark.load(Ordering::Relaxed) {
                return Ok(());
            }
            let path = head.path().to_owned();
            let staged = format!("/stage-get/{MODEL}");
            match path.as_str() {
                "/report" => {
                    let report = self.report();
                    conn.answer("200 OK", JSON, report.as_bytes())?;
                }
                "/order" => {
                    let status = self.order(&String::from_utf8_lossy(&body));
                    conn.answer(status, JSON, b"{}")?;
                }
                _ if path == staged => self.staged(&mut conn, &head)?,
                _ if path == format!("/stage-put/{MODEL}") => {
                    let number = head.number("num").unwrap_or(0) as usize;
                    self.state.lock().unwrap().staged.insert(number, body);
                    conn.answer("200 OK", JSON, b"{}")?;
                }
                _ => self.stream(&mut conn, &head)?,
            }
        }
        Ok(())
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.settle();
        format!(
            "{{\"stage\":\"both\",{},\"busy\":{},\"sequence\":{},\"queued\":0,\"running\":{},\
             \"kvUsed\":{},\"kvTotal\":685000,\"handles\":0,\"pace\":1.0,\"born\":{}}}",
            state.weights(),
            state.loading.is_some(),
            state.orders,
            state.running,
            state.running * 1000,
            state.born
        )
    }

    /// Takes an order to load what is staged.
    fn order(&self, order: &str) -> &'static str {
        let field = |name: &str| {
            let (_, rest) = order.split_once(&format!("\"{name}\":"))?;
            rest.split([',', '}']).next()?.parse::<u64>().ok()
        };
        let mut state = self.state.lock().unwrap();
        state.settle();
        let Some(version) = field("version") else {
            return "400 Bad Request";
        };
        if state.version == Some(version) {
            return "200 OK";
        }
        if state.loading.is_some() || field("expect").is_some_and(|it| it != state.orders) {
            return "409 Conflict";
        }
        state.orders += 1;
        state.loading = Some((version, Instant::now() + WARM));
        let is_whole = (0..PIECES).all(|it| state.staged.get(&it) == Some(&piece(version, it)));
        let text = format!("{} loads version {version}, staged whole: {is_whole}", self.name);
        self.record.line(&text);
        "202 Accepted"
    }

    fn staged(&self, conn: &mut Conn, head: &Head) -> io::Result<()> {
        let state = self.state.lock().unwrap();
        let Some(number) = head.number("num") else {
            let held: Vec<String> = state.staged.keys().map(ToString::to_string).collect();
            let held = format!("{{\"held\":[{}]}}", held.join(","));
            drop(state);
            return conn.answer("200 OK", JSON, held.as_bytes());
        };
        let found = state.staged.get(&(number as usize)).cloned();
        drop(state);
        match found {
            Some(data) => conn.answer("200 OK", "", &data),
            None => conn.answer("404 Not Found", "", b""),
        }
    }

    fn stream(&self, conn: &mut Conn, head: &Head) -> io::Result<()> {
        let attempt = head.get("attempt-id").unwrap_or_default().to_owned();
        let version = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let expected = head.get("expect-version").and_then(|it| it.parse().ok());
            let is_other = head.get("expect-instance") != Some(&state.id)
                || state.version.is_none()
                || expected.is_some_and(|it: u64| state.version != Some(it));
            if is_other {
                drop(state);
                return conn.answer("421 Misdirected Request", "Not-Executed: 1\r\n", b"");
            }
            if state.loading.is_some() || state.running >= 16 {
                drop(state);
                return conn.answer("503 Service Unavailable", "Not-Executed: 1\r\n", b"");
            }
            state.running += 1;
            state.version.unwrap_or(0)
        };
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.record.line(&format!("{} runs {attempt} on version {version}", self.name));
        let born = self.state.lock().unwrap().born;
        let last = head.get("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let sent = self.events(conn, &attempt, version, last);
        let mut state = self.state.lock().unwrap();
        if state.born == born {
            state.running = state.running.saturating_sub(1);
        }
        sent
    }

    /// Writes the events after the last one that the client has.
    fn events(&self, conn: &mut Conn, attempt: &str, version: u64, last: u32) -> io::Result<()> {
        let events: Vec<String> = (last + 1..=EVENTS)
            .map(|event| format!("id: {event}\ndata: {}\n\n", self.text(attempt, event)))
            .collect();
        let length: usize = events.iter().map(String::len).sum();
        let is_chunked = !self.states_lengths.load(Ordering::Relaxed);
        let framing = if is_chunked {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {length}")
        };
        conn.write(
            format!(
                "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nResponse-Stamp: {}.{attempt}\r\n\
                 Weight-Versions: {version}\r\nContent-Type: text/event-stream\r\n{framing}\r\n\r\n",
                self.name
            )
            .as_bytes(),
        )?;
        for event in events {
            thread::sleep(EVENT_INTERVAL);
            if self.is_dark.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            if is_chunked {
                conn.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            } else {
                conn.write(event.as_bytes())?;
            }
        }
        if is_chunked {
            conn.write(b"0\r\n\r\n")?;
        }
        Ok(())
    }

    /// The tokens of an event. Two runs of a request needn't write the same text.
    fn text(&self, attempt: &str, event: u32) -> String {
        let key = format!("{} {attempt} {event}", self.name);
        let digest = sha256::hex(key.as_bytes());
        let words = 3 + usize::from_str_radix(&digest[..2], 16).unwrap_or(0) % 8;
        let words: Vec<&str> = (0..words).map(|word| &digest[4 * word..4 * word + 4]).collect();
        words.join(" ")
    }
}

const JSON: &str = "Content-Type: application/json\r\n";

/// The origin of weights.
pub struct Origin {
    digests: Vec<String>,
    /// How many of the next digest lists are spoilt in one digit.
    spoils: AtomicU32,
    spoilt: AtomicU32,
    answers: AtomicU32,
    record: Arc<Record>,
}

impl Origin {
    pub fn start(addr: SocketAddr, record: &Arc<Record>) -> io::Result<Arc<Self>> {
        let origin = Arc::new(Self {
            digests: digests(1),
            spoils: AtomicU32::new(0),
            spoilt: AtomicU32::new(0),
            answers: AtomicU32::new(0),
            record: Arc::clone(record),
        });
        let answering = Arc::clone(&origin);
        serve(TcpListener::bind(addr)?, move |conn| answering.answer_all(conn));
        Ok(origin)
    }

    /// Spoils one digit in each of the next `lists` lists of digests.
    pub fn spoil_next(&self, lists: u32) {
        self.spoils.store(lists, Ordering::Relaxed);
    }

    /// How many answers were given, and how many of them were spoilt.
    pub fn answers(&self) -> (u32, u32) {
        (self.answers.load(Ordering::Relaxed), self.spoilt.load(Ordering::Relaxed))
    }

    fn answer_all(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.read_head()? {
            conn.read_body(&head)?;
            self.answers.fetch_add(1, Ordering::Relaxed);
            if head.path() == format!("/manifest/{MODEL}") {
                let left = |left: u32| left.checked_sub(1);
                let taken = self.spoils.fetch_update(Ordering::Relaxed, Ordering::Relaxed, left);
                let spoilt = taken.is_ok();
                self.spoilt.fetch_add(u32::from(spoilt), Ordering::Relaxed);
                let peer = conn.stream.peer_addr()?;
                self.record.line(&format!("the origin sends {peer} the digests, one spoilt: {spoilt}"));
                let mut digests = self.digests.clone();
                if spoilt {
                    let digit = if digests[17].starts_with('0') { "1" } else { "0" };
                    digests[17].replace_range(..1, digit);
                }
                let body = format!(
                    "{{\"model\":\"{MODEL}\",\"version\":1,\"chunkBytes\":{PIECE_BYTES},\"layers\":16,\
                     \"digests\":[\"{}\"]}}",
                    digests.join("\",\"")
                );
                conn.answer("200 OK", JSON, body.as_bytes())?;
            } else if head.path() == format!("/piece/{MODEL}") {
                let number = head.number("num").unwrap_or(0) as usize;
                conn.answer("200 OK", "", &piece(1, number))?;
            } else {
                conn.answer("404 Not Found", "", b"")?;
            }
        }
        Ok(())
    }
}
