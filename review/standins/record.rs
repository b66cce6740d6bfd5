//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        let start = Instant::now();
        Ok(Self { file, start })
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").unwrap();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
