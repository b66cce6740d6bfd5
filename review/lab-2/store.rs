//! Stand-in of the platform's store: keyed topics, long polls and the newest record of each key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Conn, listen, query};

#[derive(Clone, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    era: u64,
}

#[derive(Default)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(addr: SocketAddr) -> std::io::Result<Arc<Self>> {
        let store = Arc::new(Self::default());
        store.state.lock().unwrap().era = 1;
        let serving = Arc::clone(&store);
        listen(addr, move |conn| {
            let _ = serving.serve(conn);
        })?;
        Ok(store)
    }

    /// Appends a record; the return is the store's acknowledgement.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic
            .records
            .push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn serve(&self, mut conn: Conn) -> std::io::Result<()> {
        while let Some(head) = conn.head()? {
            conn.request_body(&head)?;
            let target = head.word(1).to_owned();
            let headers = self.headers();
            let topic = query(&target, "topic").unwrap_or("").to_owned();
            if target.starts_with("/log-newest") {
                let body = self.newest(&topic);
                let headers = format!("{headers}Content-Type: application/json\r\n");
                conn.answer("200 OK", &headers, body.as_bytes())?;
            } else if target.starts_with("/log-read") {
                let number = |name| query(&target, name).and_then(|it| it.parse::<u64>().ok());
                let from = number("from").unwrap_or(0) as usize;
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                let max = number("maxKb").unwrap_or(1024) as usize * 1024;
                match self.read(&topic, from, wait, max) {
                    Some(body) => conn.answer("200 OK", &headers, &body)?,
                    None => conn.answer("410 Gone", &headers, b"{\"first\":0}")?,
                }
            } else {
                conn.answer("404 Not Found", &headers, b"")?;
            }
        }
        Ok(())
    }

    fn headers(&self) -> String {
        let state = self.state.lock().unwrap();
        format!("Store-Era: {}\r\n", state.era)
    }

    fn newest(&self, topic: &str) -> String {
        let state = self.state.lock().unwrap();
        let topic = state.topics.get(topic).cloned().unwrap_or_default();
        let mut newest: BTreeMap<&str, usize> = BTreeMap::new();
        for (offset, (key, _)) in topic.records.iter().enumerate() {
            newest.insert(key, offset);
        }
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, offset)| !topic.records[**offset].1.is_empty())
            .map(|(key, offset)| {
                let value = base64(&topic.records[*offset].1);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}",
            items.join(",")
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration, max: usize) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let records = state.topics.get(topic).map_or(&[][..], |it| &it.records);
            if from > records.len() {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    let length = 1 + key.len() + value.len();
                    body.extend((length as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                    if body.len() >= max {
                        break;
                    }
                }
                return Some(body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in data.chunks(3) {
        let word = u32::from(part[0]) << 16
            | u32::from(*part.get(1).unwrap_or(&0)) << 8
            | u32::from(*part.get(2).unwrap_or(&0));
        for position in 0..4 {
            if position <= part.len() {
                let letter = word >> (18 - 6 * position) & 63;
                out.push(LETTERS[letter as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
