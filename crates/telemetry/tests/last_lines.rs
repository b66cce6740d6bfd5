//! The last log lines of a process are written before it exits.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use rstest::rstest;
use wagtailreel_telemetry::LogWriter;

/// Output that blocks each write until the test releases it.
struct BlockedOutput {
    gate: Receiver<()>,
    reached: SyncSender<()>,
    out: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // Errors mean that the test has ended.
        let _ = self.reached.send(());
        let _ = self.gate.recv();
        self.out.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Test side of a [`BlockedOutput`].
struct Gate {
    /// Releases one write.
    open: SyncSender<()>,
    /// Receives a message for each write in progress.
    under_way: Receiver<()>,
    /// What was written.
    out: Arc<Mutex<Vec<u8>>>,
}

fn output() -> (BlockedOutput, Gate) {
    let (open, gate) = sync_channel(16);
    let (reached, under_way) = sync_channel(16);
    let out = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        gate,
        reached,
        out: Arc::clone(&out),
    };
    let gate = Gate {
        open,
        under_way,
        out,
    };
    (output, gate)
}

/// Releases the output just before the guard is dropped.
struct OpenAtEnd(SyncSender<()>);

impl Drop for OpenAtEnd {
    fn drop(&mut self) {
        for _ in 0..3 {
            self.0.send(()).unwrap();
        }
    }
}

#[rstest]
#[case::by_return(false)]
#[case::by_panic(true)]
fn written_before_end(#[case] by_panic: bool) {
    let (output, gate) = output();
    let Gate {
        open,
        under_way,
        out,
    } = gate;
    let (mut lines, guard) = LogWriter::start(output).unwrap();
    lines.write_all(b"first\n").unwrap();
    under_way.recv().unwrap();
    lines.write_all(b"last\n").unwrap();
    let ended = catch_unwind(AssertUnwindSafe(move || {
        let _guard = guard;
        let _open = OpenAtEnd(open);
        assert!(!by_panic, "an end by panic");
    }));
    assert_eq!(ended.is_err(), by_panic);
    let written = String::from_utf8(out.lock().unwrap().clone()).unwrap();
    assert!(written.starts_with("first\nlast\n"), "{written:?}");
}

#[rstest]
fn stuck_output() {
    let (output, gate) = output();
    let (mut lines, guard) = LogWriter::start(output).unwrap();
    lines.write_all(b"first\n").unwrap();
    gate.under_way.recv().unwrap();
    // Returns although no write is ever released.
    drop(guard);
    assert!(gate.out.lock().unwrap().is_empty());
}
