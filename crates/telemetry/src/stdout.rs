//! Lines on standard output that never hold up whoever writes them.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that wait for standard output. At 400 bytes a line they hold 400 KB.
const MAX_QUEUED_LINES: usize = 1024;

/// Lines in a second. An entry that answers 100 requests a second, each with two lines, stays
/// below; what a storm of failures writes beyond it is counted and left out.
const MAX_LINES_PER_SECOND: u32 = 400;

/// Longest wait at the end of a process for lines that are not written yet. A reader of standard
/// output that is stuck holds up the end no longer; the shortest grace that is configured is 8 s.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Lines that were left out since the start.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns how many lines were left out since the process started.
pub fn lines_dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// The lines of the second under way.
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

/// How far the thread that writes has come.
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
        // After the bound the rest is lost: nobody reads standard output.
        let _ = self
            .changed
            .wait_timeout_while(written, timeout, |written| *written < queued);
    }
}

/// Keeps the last lines of a process: when it is dropped, at an orderly end as well as by a panic,
/// it waits until the lines that were taken are written.
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
        // Wakes the thread, so that it also tells of lines that were left out last. A full queue
        // wakes it as well.
        if tx.try_send(Vec::new()).is_ok() {
            progress.queued.fetch_add(1, Ordering::Release);
        }
        progress.wait(FLUSH_TIMEOUT);
    }
}

/// Hands lines to a thread that writes them; leaves out what is too much.
#[derive(Debug)]
pub struct LogWriter {
    tx: SyncSender<Vec<u8>>,
    progress: Arc<Progress>,
    budget: Budget,
}

impl LogWriter {
    /// Starts the thread that writes to `out`, and returns the guard of the last lines with it.
    ///
    /// # Errors
    ///
    /// Returns what the system says if the thread can't be started.
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

/// Writes lines as they come, several at once if several wait; tells how many were left out.
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
        // Where the output is gone there is nobody to tell.
        let _ = out.write_all(&buf).and_then(|()| out.flush());
        progress.add_written(lines);
    }
}
