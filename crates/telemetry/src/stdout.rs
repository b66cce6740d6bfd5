//! Lines on standard output that never hold up whoever writes them.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that wait for standard output. At 400 bytes a line they hold 400 KB.
const MOST_WAITING: usize = 1024;

/// Lines in a second. An entry that answers 100 requests a second, each with two lines, stays
/// below; what a storm of failures writes beyond it is counted and left out.
const MOST_PER_SECOND: u32 = 400;

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
        self.lines <= MOST_PER_SECOND
    }
}

/// Hands lines to a thread that writes them; leaves out what is too much.
#[derive(Debug)]
pub(crate) struct Lines {
    tx: SyncSender<Vec<u8>>,
    budget: Mutex<Budget>,
}

impl Lines {
    /// Starts the thread that writes.
    ///
    /// # Errors
    ///
    /// Returns what the system says if the thread can't be started.
    pub(crate) fn start() -> io::Result<Self> {
        let (tx, rx) = sync_channel(MOST_WAITING);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 * 1024)
            .spawn(move || write_all(&rx))?;
        Ok(Self {
            tx,
            budget: Mutex::new(Budget {
                since: Instant::now(),
                lines: 0,
            }),
        })
    }
}

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let budget = self
            .budget
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        if !budget.allows(Instant::now()) {
            DROPPED.fetch_add(1, Ordering::Relaxed);
            return Ok(buf.len());
        }
        match self.tx.try_send(buf.to_vec()) {
            Ok(()) => {}
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
fn write_all(rx: &Receiver<Vec<u8>>) {
    let mut told = 0;
    while let Ok(mut buf) = rx.recv() {
        while let Ok(more) = rx.try_recv() {
            buf.extend_from_slice(&more);
        }
        let dropped = lines_dropped();
        if dropped > told {
            told = dropped;
            buf.extend_from_slice(
                format!("{{\"message\":\"lines-left-out\",\"total\":{dropped}}}\n").as_bytes(),
            );
        }
        // Where standard output is gone there is nobody to tell.
        let _ = io::stdout().write_all(&buf);
    }
}
