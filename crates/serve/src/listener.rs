//! Accepts connections until the listener is closed.

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

/// Pause after a failed accept, for example without free file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// How many failed accepts are retried while the backlog is emptied, for example without free file
/// descriptors.
const BACKLOG_TRIES: u32 = 50;

/// Time to wait for handshakes in progress before the listener closes: several round trips.
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
    // `Server::quiet` has already waited for the handshakes if it refuses new ones.
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

/// Accepts the connections in the backlog, which closing the listener would reset, and those whose handshake
/// completes within `wait`. Returns how many connections were accepted.
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
        // Calls accept on the socket itself: the runtime may not have been notified of a connection yet.
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
            // Connections that are closed in the meantime free their descriptors.
            Err(_) if tries_left > 0 => {
                tries_left -= 1;
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
            Err(_) => return taken,
        }
    }
}
