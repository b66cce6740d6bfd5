//! A server of a plain service, which registers itself in the store and runs requests.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::HEARTBEAT;
use crate::http::{Conn, serve};
use crate::record::Record;
use crate::store::{SERVERS, Store};

/// Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH).unwrap().as_millis()
}

/// Bytes that a faulty server sends after a complete answer, at the point where the next one is expected.
pub type Extra = fn(request: u64) -> Option<&'static [u8]>;

/// How a server answers.
#[derive(Clone, Copy)]
pub struct Behaviour {
    /// Time for which a request runs.
    pub work: Duration,
    pub extra: Extra,
    /// Seconds for which the server keeps an idle connection.
    pub keep_alive: u64,
}

impl Behaviour {
    /// A sound server whose requests run for `work`.
    pub fn sound(work: Duration) -> Self {
        Self {
            work,
            extra: |_| None,
            keep_alive: 5,
        }
    }
}

/// A server of a plain service.
pub struct Server {
    pub id: String,
    /// Runs by the id of the request, with the time of the last.
    runs: Mutex<BTreeMap<String, (u32, Instant)>>,
    served: Mutex<u64>,
    behaviour: Behaviour,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        addr: SocketAddr,
        behaviour: Behaviour,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let server = Arc::new(Self {
            id: id.to_owned(),
            runs: Mutex::default(),
            served: Mutex::default(),
            behaviour,
            record: Arc::clone(record),
        });
        let answering = Arc::clone(&server);
        serve(TcpListener::bind(addr)?, move |conn| answering.answer_all(conn));
        let (store, id, service) = (store.clone(), id.to_owned(), service.to_owned());
        let born = unix_ms();
        thread::spawn(move || {
            for sequence in 1.. {
                let value = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"quito-hall\",\
                     \"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"warmupLeftMs\":0,\
                     \"sequence\":{sequence},\"born\":{born}}}"
                );
                store.put(SERVERS, &id, &value);
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(server)
    }

    /// How often the request ran here.
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).map_or(0, |(count, _)| *count)
    }

    fn answer_all(&self, mut conn: Conn) -> io::Result<()> {
        let mut on_connection = 0;
        while let Some(head) = conn.read_head()? {
            let body = conn.read_body(&head)?;
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            if head.get("expect-instance") != Some(&self.id) {
                conn.answer("421 Misdirected Request", "Not-Executed: 1\r\n", b"")?;
                continue;
            }
            let number = {
                let mut served = self.served.lock().unwrap();
                *served += 1;
                *served
            };
            // What comes after a complete answer belongs to no request.
            if on_connection > 0
                && let Some(extra) = (self.behaviour.extra)(number)
            {
                self.record.line(&format!("{} sends extra bytes before the answer to {id}", self.id));
                conn.write(extra)?;
            }
            on_connection += 1;
            let mut runs = self.runs.lock().unwrap();
            let run = runs.entry(id.clone()).or_insert((0, Instant::now()));
            *run = (run.0 + 1, Instant::now());
            drop(runs);
            self.record.line(&format!("{} runs {id} with {} bytes", self.id, body.len()));
            thread::sleep(self.behaviour.work);
            let headers = format!(
                "Attempt-Id: {id}\r\nResponse-Stamp: {}.{id}\r\nKeep-Alive: timeout={}\r\n",
                self.id, self.behaviour.keep_alive
            );
            let text = format!("{id} {}", self.id);
            conn.answer("200 OK", &headers, text.as_bytes())?;
        }
        Ok(())
    }
}
