//! Callers that ask for streams, one after the other, until they are told to end.

use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use crate::client::{Answer, Client};
use crate::record::Record;
use crate::world::{KEY, World};

const DEADLINE: Duration = Duration::from_millis(6000);
/// Pause of a caller after an answer that is no success.
const PAUSE: Duration = Duration::from_millis(300);

/// An attempt and what its caller saw.
pub type Stream = (String, Answer);

pub struct Callers {
    ends: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<Stream>>>,
    threads: Vec<JoinHandle<()>>,
}

/// What the callers ask for.
#[derive(Clone, Copy)]
pub struct Demand {
    pub callers: u32,
    /// The callers begin spread over this time, about that of one stream.
    pub spread: Duration,
    /// `Token-Usage` of each request.
    pub usage: &'static str,
}

impl Callers {
    pub fn start(world: &World, record: &Arc<Record>, demand: Demand) -> Self {
        let ends = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<Stream>>> = Arc::default();
        let numbers = Arc::new(AtomicU32::new(0));
        let threads = (0..demand.callers)
            .map(|caller| {
                let mut client = Client::new(world.callers((caller % 2) as u8 + 1));
                let (ends, streams) = (Arc::clone(&ends), Arc::clone(&streams));
                let (numbers, record) = (Arc::clone(&numbers), Arc::clone(record));
                std::thread::spawn(move || {
                    std::thread::sleep(demand.spread * caller / demand.callers);
                    while !ends.load(Ordering::SeqCst) {
                        let number = numbers.fetch_add(1, Ordering::SeqCst);
                        let stream = ask(&mut client, &record, number, demand.usage);
                        let is_success = stream.1.status == 200;
                        streams.lock().unwrap().push(stream);
                        if !is_success {
                            std::thread::sleep(PAUSE);
                        }
                    }
                })
            })
            .collect();
        Self {
            ends,
            streams,
            threads,
        }
    }

    /// Ends the callers once their last streams have ended.
    pub fn end(self) -> Vec<Stream> {
        self.ends.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        std::mem::take(&mut self.streams.lock().unwrap())
    }
}

fn ask(client: &mut Client, record: &Record, number: u32, usage: &str) -> Stream {
    let attempt = format!("{:016x}", 0x7000_0000 + number);
    let headers = format!(
        "Attempt-Id: {attempt}\r\nCredential: {KEY}\r\nModel: daka510000\r\nToken-Usage: {usage}\r\n\
         Prompt-Prefix: 5c1e07a2:40,{number:08x}:600\r\n"
    );
    let answer = client.call("POST", "/draft/text", &headers, "prompt", DEADLINE);
    record.note(&format!(
        "answer attempt={attempt} status={} events={:?} complete={} ms={} stamp={} {}",
        answer.status,
        answer.events(),
        answer.is_complete,
        answer.took_ms,
        answer.head.get("response-stamp").unwrap_or(""),
        answer.error
    ));
    (attempt, answer)
}

/// Returns the streams that ended as complete without exactly the events 1 to `count`, and how many had them.
pub fn check(streams: &[Stream], count: u32, record: &Record) -> (usize, usize) {
    let wanted: Vec<u32> = (1..=count).collect();
    let ended = streams
        .iter()
        .filter(|(_, it)| it.status == 200 && it.is_complete);
    let (whole, wrong): (Vec<_>, Vec<_>) = ended.partition(|(_, it)| it.events() == wanted);
    for (attempt, answer) in &wrong {
        record.note(&format!(
            "ORDER attempt={attempt} ended as complete; of the events 1 to {count} it has {:?}",
            answer.events()
        ));
    }
    (wrong.len(), whole.len())
}
