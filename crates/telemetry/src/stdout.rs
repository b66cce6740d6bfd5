//! Non-blocking log lines on standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Maximum number of lines queued for standard output: 400 KB at 400 bytes per line.
const MAX_QUEUED_LINES: usize = 1024;

/// Maximum number of lines per second. An entry that answers 100 requests per second, with two lines each,
/// stays below. Lines over the limit, as after many failures at once, are counted and dropped.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Longest wait at the exit of a process for lines that are not written yet.
///
/// A stuck reader of standard output must not use up the grace period; the shortest one configured is 8 s.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of lines dropped since the process started.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were dropped since the process started.
pub fn lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Rate limit of lines, counted in windows of one second.
#[derive(Debug)]
struct Budget {
    since: Instant,
    lines: u32,
}

impl Budget {
    fn allows(&mut self, now: Instant) -> bool {
        if now.saturating_duration_since(self.since) >= Duration::from_secs(1) {
            self.since = now;
            self.lines = 0;
        }
        self.lines = self.lines.saturating_add(1);
        self.lines <= MAX_LINES_PER_SECOND
    }
}

/// Progress of the writer thread.
#[derive(Debug, Default)]
struct Progress {
    queued: AtomicU64,
    written: Mutex<u64>,
    changed: Condvar,
}

impl Progress {
    fn add_written(&self, lines: u64) {
        let mut written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        *written += lines;
        self.changed.notify_all();
    }

    /// Waits until all lines that were taken so far are written, or `timeout` has passed.
    fn wait(&self, timeout: Duration) {
        let queued = self.queued.load(Ordering::Acquire);
        let written = self.written.lock().unwrap_or_else(PoisonError::into_inner);
        // After the time-out the rest is lost: standard output is not being read.
        let _ = self
            .changed
            .wait_timeout_while(written, timeout, |written| *written < queued);
    }
}

/// Guard that flushes the last lines of a process.
///
/// On drop, at a normal exit as well as by a panic, the guard waits until the queued lines are written.
#[derive(Debug, Default)]
#[must_use = "the last lines are lost if the guard is dropped before the process has done its work"]
pub struct LogGuard {
    lines: Option<(SyncSender<Vec<u8>>, Arc<Progress>)>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let Some((tx, progress)) = self.lines.take() else {
            return;
        };
        // Wakes the writer thread so that it also reports the lines dropped last. If the queue is full,
        // the thread is awake already.
        if tx.try_send(Vec::new()).is_ok() {
            progress.queued.fetch_add(1, Ordering::Release);
        }
        progress.wait(FLUSH_TIMEOUT);
    }
}

/// Writer that queues lines for a thread, and drops lines over the limits.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
    budget: Budget,
}

impl LogWriter {
    /// Starts the thread that writes to `out`. Returns the writer and the guard that flushes the last lines.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the thread can't be started.
    pub fn start<W>(out: W) -> io::Result<(Self, LogGuard)>
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
        let progress = Arc::new(Progress::default());
        let done = Arc::clone(&progress);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_all(&rx, out, &done))?;
        let guard = LogGuard {
            lines: Some((tx.clone(), Arc::clone(&progress))),
        };
        let lines = Self {
            tx,
            progress,
            budget: Budget {
                since: Instant::now(),
                lines: 0,
            },
        };
        Ok((lines, guard))
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if !self.budget.allows(Instant::now()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(buf.len());
        }
        match self.tx.try_send(buf.to_vec()) {
            Ok(()) => {
                self.progress.queued.fetch_add(1, Ordering::Release);
            }
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines, several at once if several wait, and reports how many were dropped.
fn write_all<W>(rx: &Receiver<Vec<u8>>, mut out: W, progress: &Progress)
where
    W: Write,
{
    let mut reported = 0;
    while let Ok(mut buf) = rx.recv() {
        let mut lines = 1;
        while let Ok(more) = rx.try_recv() {
            buf.extend_from_slice(&more);
            lines += 1;
        }
        let dropped = lines_dropped();
        if dropped > reported {
            reported = dropped;
            buf.extend_from_slice(
                format!("{{\"message\":\"lines-left-out\",\"total\":{dropped}}}\n").as_bytes(),
            );
        }
        // A failed write has no other place to be reported.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        progress.add_written(lines);
    }
}
