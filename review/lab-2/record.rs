//! What was sent, answered and run, as lines of text and for the checks.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub attempt: String,
    pub at_ms: u64,
}

pub struct Record {
    started: Instant,
    out: Mutex<Box<dyn Write + Send>>,
    runs: Mutex<Vec<Run>>,
    spoilt: Mutex<Vec<String>>,
}

impl Record {
    pub fn new(out: Box<dyn Write + Send>) -> Self {
        Self {
            started: Instant::now(),
            out: Mutex::new(out),
            runs: Mutex::default(),
            spoilt: Mutex::default(),
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: &str) {
        let mut out = self.out.lock().unwrap();
        let _ = writeln!(out, "{:>7} {text}", self.now_ms());
        let _ = out.flush();
    }

    /// Records that an engine began to work on a request.
    pub fn run(&self, engine: &str, attempt: &str, method: &str, path: &str, after: u64) {
        self.runs.lock().unwrap().push(Run {
            engine: engine.to_owned(),
            attempt: attempt.to_owned(),
            at_ms: self.now_ms(),
        });
        self.note(&format!(
            "run engine={engine} attempt={attempt} {method} {path} after={after}"
        ));
    }

    /// Records that an engine made a token with spoilt weights.
    pub fn spoilt(&self, engine: &str) {
        self.spoilt.lock().unwrap().push(engine.to_owned());
    }

    pub fn spoilt_tokens(&self) -> usize {
        self.spoilt.lock().unwrap().len()
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn runs_of(&self, attempt: &str) -> Vec<Run> {
        self.runs()
            .into_iter()
            .filter(|it| it.attempt == attempt)
            .collect()
    }
}
