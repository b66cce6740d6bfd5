//! The streams of a server, which can all be ended at once from outside of their tasks.

use std::collections::BTreeMap;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rustix::net::Shutdown;
use tokio::net::TcpStream;

/// The open streams of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Streams {
    open: Arc<Mutex<Open>>,
}

#[derive(Debug, Default)]
struct Open {
    is_over: bool,
    next: u64,
    streams: BTreeMap<u64, OwnedFd>,
}

impl Streams {
    /// Takes in a stream for as long as what is returned lives; none if the server is over, or has no descriptor
    /// left, and the stream is to be dropped.
    pub(super) fn add(&self, stream: &TcpStream) -> Option<Held> {
        let copy = rustix::io::fcntl_dupfd_cloexec(stream, 0).ok()?;
        let mut open = self.lock();
        if open.is_over {
            return None;
        }
        let key = open.next;
        open.next += 1;
        open.streams.insert(key, copy);
        drop(open);
        Some(Held {
            key,
            streams: self.clone(),
        })
    }

    /// Ends all streams, and those that are still to come.
    pub(super) fn end(&self) {
        let mut open = self.lock();
        open.is_over = true;
        for stream in open.streams.values() {
            // One whose peer has ended it needs no end.
            let _ = rustix::net::shutdown(stream, Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Open> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place among the streams of a server.
#[derive(Debug)]
pub(super) struct Held {
    key: u64,
    streams: Streams,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.streams.lock().streams.remove(&self.key);
    }
}
