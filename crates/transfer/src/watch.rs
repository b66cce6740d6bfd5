//! Follows what one neighbour has.

use std::net::SocketAddr;
use std::time::Duration;

use rand::RngExt as _;
use tokio::sync::mpsc;
use wagtailreel_adapters::{HttpClient, collect_body};
use wagtailreel_core::{Digest, VmId};
use wagtailreel_spread::ChunkSet;

use crate::current::{Generation, Note};
use crate::fetch;
use crate::haves::HaveAnswer;

/// How long a neighbour may hold back an answer without news.
const WAIT: Duration = Duration::from_secs(1);

/// How much later an answer may come before the neighbour counts as lost.
const MARGIN: Duration = Duration::from_secs(1);

/// Shortest time between two questions: chunks that come close together make one answer.
const GAP: Duration = Duration::from_millis(10);

/// First and longest pause after a neighbour could not be reached.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2));

/// Bytes of an answer besides the bitmap, at most.
const FRAME: usize = 256;

/// Chunks that a hexadecimal digit stands for.
const CHUNKS_PER_DIGIT: usize = 4;

/// One neighbour, and the bundle in question.
#[derive(Debug)]
pub(crate) struct Watch {
    pub(crate) client: HttpClient,
    pub(crate) vm: VmId,
    pub(crate) addr: SocketAddr,
    pub(crate) bundle: Digest,
    /// Chunks of the bundle.
    pub(crate) total: u32,
    pub(crate) generation: Generation,
    pub(crate) notes: mpsc::Sender<Note>,
}

impl Watch {
    /// Tells the driver what the neighbour has, again and again, until it is dropped.
    pub(crate) async fn run(self) {
        let mut since = None;
        let mut pause = PAUSES.0;
        loop {
            let answer = self.ask(since).await;
            let next = answer.as_ref().ok().map(|(version, _)| *version);
            let note = Note::Have {
                generation: self.generation,
                vm: self.vm.clone(),
                have: answer.map(|(_, have)| have),
            };
            if self.notes.send(note).await.is_err() {
                return;
            }
            if let Some(version) = next {
                since = Some(version);
                pause = PAUSES.0;
                tokio::time::sleep(GAP).await;
            } else {
                since = None;
                let jitter = rand::rng().random_range(0.5..1.5);
                tokio::time::sleep(pause.mul_f64(jitter)).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }

    /// Asks once, and returns the version and the chunks.
    async fn ask(&self, since: Option<u64>) -> Result<(u64, ChunkSet), String> {
        let mut path = format!("/weights/{}/have?wait_ms={}", self.bundle, WAIT.as_millis());
        if let Some(since) = since {
            path.push_str(&format!("&since={since}"));
        }
        let req = fetch::get(self.addr, &path).map_err(|trouble| trouble.text)?;
        let response = self.client.request_within(req, WAIT + MARGIN).await;
        let response = response.map_err(|err| err.to_string())?;
        if !response.status().is_success() {
            return Err(format!("it refused with {}", response.status()));
        }
        let limit = FRAME + self.total as usize / CHUNKS_PER_DIGIT;
        let body = collect_body(&self.vm, response.into_body(), limit, MARGIN).await;
        let body = body.map_err(|err| err.to_string())?;
        let answer: HaveAnswer =
            serde_json::from_slice(&body).map_err(|err| format!("its answer is none: {err}"))?;
        let have = self.read(&answer)?;
        Ok((answer.version, have))
    }

    /// Reads the chunks; a neighbour that doesn't know the bundle has none.
    fn read(&self, answer: &HaveAnswer) -> Result<ChunkSet, String> {
        if *answer == HaveAnswer::default() {
            return Ok(ChunkSet::new(self.total));
        }
        let set = ChunkSet::from_hex(&answer.have, self.total);
        set.filter(|_| answer.chunks == self.total).ok_or_else(|| {
            format!(
                "it says {} chunks in place of {}",
                answer.chunks, self.total
            )
        })
    }
}
