//! Accepting connections.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::connection::{ConnectionNumber, serve};
use crate::events;
use crate::front::Front;
use crate::phase::Phase;
use crate::server::Shared;

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Tries to take a connection of the backlog that fails, as when descriptors have run out.
const BACKLOG_TRIES: u32 = 50;

/// How long handshakes that are under way are waited for as the listener closes: some round trips.
const HANDSHAKE: Duration = Duration::from_millis(30);

/// Instructions of a socket filter, by the kernel's `linux/filter.h`.
const LOAD_BYTE: u16 = 0x30;
const AND: u16 = 0x54;
const JUMP_IF_EQUAL: u16 = 0x15;
/// Returns how many bytes of a packet are taken; none drops it.
const RETURN: u16 = 0x06;

/// Offset of the flags in the head of a TCP segment, and two of them.
const FLAGS: u32 = 13;
const SYN: u32 = 0x02;
const ACK: u32 = 0x10;

/// Accepts connections until the server closes its listener.
pub(crate) async fn accept<F>(cx: Arc<Shared<F>>, listener: TcpListener, tasks: TaskTracker)
where
    F: Front,
{
    let begin = |stream: TcpStream| {
        let number = ConnectionNumber(cx.accepted.fetch_add(1, Ordering::Relaxed) + 1);
        tasks.spawn(serve(Arc::clone(&cx), stream, number));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = cx.phase.reached(Phase::Closing) => break,
        };
        match accepted {
            Ok((stream, _)) => begin(stream),
            Err(e) => {
                let reason = e.to_string();
                events::ACCEPT_FAILED.emit(&[("listener", &cx.listener), ("reason", &reason)]);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    let taken = take_backlog(listener, begin).await;
    let accepted = cx.accepted.load(Ordering::Relaxed).to_string();
    events::LISTENER_CLOSED.emit(&[
        ("listener", &cx.listener),
        ("accepted", &accepted),
        ("waiting", &taken.to_string()),
    ]);
}

/// Closes a listener once the connections are taken that the kernel has accepted, which a close would reset;
/// returns how many these were.
async fn take_backlog<F>(listener: TcpListener, begin: F) -> u64
where
    F: Fn(TcpStream),
{
    let is_filtered = refuse_handshakes(&listener);
    let mut taken = 0;
    if is_filtered {
        // Handshakes that are under way end in the meantime.
        let since = Instant::now();
        while let Some(left) = HANDSHAKE.checked_sub(since.elapsed()) {
            if let Ok(Ok((stream, _))) = timeout(left, listener.accept()).await {
                taken += 1;
                begin(stream);
            }
        }
    }
    let Ok(listener) = listener.into_std() else {
        return taken;
    };
    let mut tries_left = BACKLOG_TRIES;
    loop {
        let accepted = listener.accept().and_then(|(stream, _)| {
            stream.set_nonblocking(true)?;
            TcpStream::from_std(stream)
        });
        match accepted {
            Ok(stream) => {
                taken += 1;
                begin(stream);
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return taken,
            // Connections that end give their descriptors back.
            Err(_) if tries_left > 0 => {
                tries_left -= 1;
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => return taken,
        }
    }
}

/// Has the kernel drop the opening packets of new connections; returns whether it does.
///
/// A connection whose handshake is under way as its listener closes is reset, with the request behind it: of
/// connections that two callers opened one after the other on the loopback, 11 to 32 were lost in 200 closes.
/// Whoever is dropped so sends its packet again a second later, to the next process.
fn refuse_handshakes(listener: &TcpListener) -> bool {
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        // Skips the next line unless only SYN is set.
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter).is_ok()
}
