//! The platform's store: two topics of keyed records that are read over HTTP.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, Head, serve};

/// Topic of the operator.
pub const OPERATOR: &str = "keyed.op";
/// Topic of the servers.
pub const SERVERS: &str = "keyed.servers";

type Record = (String, Vec<u8>);

/// The store. Clones share the records.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<BTreeMap<String, Vec<Record>>>, Condvar)>,
}

impl Store {
    /// Starts the store on `addr`.
    pub fn start(addr: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(addr)?;
        let serving = store.clone();
        serve(listener, move |conn| serving.answer_all(conn));
        Ok(store)
    }

    /// Appends a record; an empty value removes the key. Returns when it was acknowledged.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Instant {
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        let records = topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        changed.notify_all();
        Instant::now()
    }

    fn answer_all(&self, mut conn: Conn) -> io::Result<()> {
        while let Some(head) = conn.read_head()? {
            conn.read_body(&head)?;
            match head.path() {
                "/log-read" => {
                    let page = self.read(&head);
                    conn.answer("200 OK", "Store-Era: 1\r\n", &page)?;
                }
                "/log-newest" => {
                    let page = self.newest(&head);
                    let headers = "Store-Era: 1\r\nContent-Type: application/json\r\n";
                    conn.answer("200 OK", headers, page.as_bytes())?;
                }
                _ => conn.answer("404 Not Found", "Store-Era: 1\r\n", b"")?,
            }
        }
        Ok(())
    }

    fn read(&self, head: &Head) -> Vec<u8> {
        let topic = head.query("topic").unwrap_or_default();
        let from = head.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(head.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                return page(records, from);
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, head: &Head) -> String {
        let topic = head.query("topic").unwrap_or_default();
        let (topics, _) = &*self.inner;
        let topics = topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let present = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<String> = present
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let (items, end) = (items.join(","), records.len());
        format!("{{\"items\":[{items}],\"hasMore\":false,\"end\":{end}}}")
    }
}

/// The end and the first offset, and then the records from `from` on.
fn page(records: &[Record], from: usize) -> Vec<u8> {
    let mut page = (records.len() as u64).to_be_bytes().to_vec();
    page.extend(0_u64.to_be_bytes());
    for (key, value) in records.iter().skip(from) {
        page.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
        page.push(key.len() as u8);
        page.extend(key.as_bytes());
        page.extend(value);
    }
    page
}

fn base64(data: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in data.chunks(3) {
        let bytes = [0, 1, 2].map(|at| u32::from(*group.get(at).unwrap_or(&0)));
        let bits = bytes[0] << 16 | bytes[1] << 8 | bytes[2];
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= group.len() { digit as char } else { '=' });
        }
    }
    text
}
