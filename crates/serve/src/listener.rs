//! Accepting connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

use crate::connection::{ConnectionNumber, serve};
use crate::events;
use crate::front::Front;
use crate::phase::Phase;
use crate::server::{Connections, Shared};

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the server closes its listener.
pub(crate) async fn accept<F>(cx: Arc<Shared<F>>, listener: TcpListener, tasks: Connections)
where
    F: Front,
{
    let next = AtomicU64::new(1);
    let begin = |stream: TcpStream| {
        let number = ConnectionNumber(next.fetch_add(1, Ordering::Relaxed));
        let tasks = tasks.of(cx.phase.now());
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
    let waiting = take_backlog(listener);
    let taken = waiting.len().to_string();
    waiting.into_iter().for_each(begin);
    let accepted = (next.load(Ordering::Relaxed) - 1).to_string();
    events::LISTENER_CLOSED.emit(&[
        ("listener", &cx.listener),
        ("accepted", &accepted),
        ("waiting", &taken),
    ]);
}

/// Closes a listener, and returns the connections that only the kernel had accepted: closing resets them.
///
/// One whose handshake ends between the last look and the close is still reset.
fn take_backlog(listener: TcpListener) -> Vec<TcpStream> {
    let mut waiting = Vec::new();
    let Ok(listener) = listener.into_std() else {
        return waiting;
    };
    while let Ok((stream, _)) = listener.accept() {
        let stream = stream
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(stream));
        waiting.extend(stream);
    }
    waiting
}
