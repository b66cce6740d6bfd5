//! Accepting connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;

use crate::connection::{ConnectionNumber, serve};
use crate::events;
use crate::front::Front;
use crate::phase::Phase;
use crate::server::Shared;

/// Pause after a connection could not be accepted, as when descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections until the server closes its listener.
pub(crate) async fn accept<F>(cx: Arc<Shared<F>>, listener: TcpListener, tasks: TaskTracker)
where
    F: Front,
{
    let next = AtomicU64::new(1);
    let begin = |stream: TcpStream| {
        let number = ConnectionNumber(next.fetch_add(1, Ordering::Relaxed));
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
    let waiting = waiting(listener);
    let accepted = (next.load(Ordering::Relaxed) - 1).to_string();
    events::LISTENER_CLOSED.emit(&[
        ("listener", &cx.listener),
        ("accepted", &accepted),
        ("waiting", &waiting.to_string()),
    ]);
}

/// Returns how many connections the kernel has accepted that nobody took.
fn waiting(listener: TcpListener) -> u64 {
    let Ok(listener) = listener.into_std() else {
        return 0;
    };
    let mut waiting = 0;
    while listener.accept().is_ok() {
        waiting += 1;
    }
    waiting
}
