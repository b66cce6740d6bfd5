//! The last lines of a process are written before it ends.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex};

use rstest::rstest;
use wagtailreel_telemetry::LogWriter;

/// An output that holds each write until it is let go.
struct Held {
    gate: Receiver<()>,
    reached: SyncSender<()>,
    out: Arc<Mutex<Vec<u8>>>,
}

impl Write for Held {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        // A test that has ended neither watches nor holds it any more.
        let _ = self.reached.send(());
        let _ = self.gate.recv();
        self.out.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The test's side of a held output.
struct Gate {
    /// Lets one write go.
    open: SyncSender<()>,
    /// Tells of writes under way.
    under_way: Receiver<()>,
    /// What was written.
    out: Arc<Mutex<Vec<u8>>>,
}

fn held() -> (Held, Gate) {
    let (open, gate) = sync_channel(16);
    let (reached, under_way) = sync_channel(16);
    let out = Arc::new(Mutex::new(Vec::new()));
    let held = Held {
        gate,
        reached,
        out: Arc::clone(&out),
    };
    let gate = Gate {
        open,
        under_way,
        out,
    };
    (held, gate)
}

/// Lets the output go just before the guard is dropped.
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
    let (held, gate) = held();
    let Gate {
        open,
        under_way,
        out,
    } = gate;
    let (mut lines, guard) = LogWriter::start(held).unwrap();
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
    let (held, gate) = held();
    let (mut lines, guard) = LogWriter::start(held).unwrap();
    lines.write_all(b"first\n").unwrap();
    gate.under_way.recv().unwrap();
    // Returns, though nothing is ever let through.
    drop(guard);
    assert!(gate.out.lock().unwrap().is_empty());
}
