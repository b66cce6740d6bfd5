//! Accepting connections.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use crate::connection::{ConnectionNumber, serve};
use crate::events;
use crate::handler::Handler;
use crate::handshakes::refuse_handshakes;
use crate::phase::Phase;
use crate::server::Shared;

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Tries to take a connection of the backlog that fails, as when descriptors have run out.
const BACKLOG_TRIES: u32 = 50;

/// How long handshakes that are under way are waited for as the listener closes: some round trips.
pub(crate) const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(30);

/// Accepts connections until the server closes its listener.
pub(crate) async fn accept<F>(cx: Arc<Shared<F>>, listener: Arc<TcpListener>, tasks: TaskTracker)
where
    F: Handler,
{
    let begin = |stream: TcpStream| {
        cx.accepted.send_modify(|count| *count += 1);
        let number = ConnectionNumber(*cx.accepted.borrow());
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
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    // Handshakes have been waited for already where the server was quiet before.
    let wait = (!cx.refuses_handshakes.load(Ordering::Relaxed)).then_some(HANDSHAKE_TIMEOUT);
    let taken = take_backlog(&listener, wait, begin).await;
    drop(listener);
    let accepted = cx.accepted.borrow().to_string();
    events::LISTENER_CLOSED.emit(&[
        ("listener", &cx.listener),
        ("accepted", &accepted),
        ("waiting", &taken.to_string()),
    ]);
}

/// Takes the connections that the kernel has accepted, which the close of the listener would reset, and those
/// whose handshake ends within `wait`; returns how many these were.
async fn take_backlog<F>(listener: &TcpListener, wait: Option<Duration>, begin: F) -> u64
where
    F: Fn(TcpStream),
{
    let mut taken = 0;
    if let Some(wait) = wait.filter(|_| refuse_handshakes(listener).is_ok()) {
        let since = Instant::now();
        while let Some(left) = wait.checked_sub(since.elapsed()) {
            if let Ok(Ok((stream, _))) = timeout(left, listener.accept()).await {
                taken += 1;
                begin(stream);
            }
        }
    }
    let mut tries_left = BACKLOG_TRIES;
    loop {
        // The kernel is asked itself: the runtime may not have heard of a connection yet.
        let accepted = SockRef::from(listener).accept().and_then(|(socket, _)| {
            socket.set_nonblocking(true)?;
            TcpStream::from_std(socket.into())
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
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
            Err(_) => return taken,
        }
    }
}
