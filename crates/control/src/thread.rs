//! The thread on which `capnp-rpc` runs, since its types are not `Send`.

use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::thread;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::ControlError;
use crate::error::{ListenSnafu, ThreadSnafu};

/// Stop signal of a control thread. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Stopper(watch::Sender<bool>);

impl Stopper {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(false))
    }

    pub(crate) fn stop(&self) {
        self.0.send_replace(true);
    }

    /// Completes once the thread is to stop.
    pub(crate) fn stopped(&self) -> impl Future<Output = ()> + use<> {
        let mut rx = self.0.subscribe();
        async move {
            // An error means that the last handle was dropped, which stops the thread as well.
            let _ = rx.wait_for(|stop| *stop).await;
        }
    }
}

/// Opens a listener.
///
/// # Errors
///
/// Returns [`ControlError::Listen`] if the address can't be listened on.
pub(crate) fn listen(addr: SocketAddr) -> Result<(StdListener, SocketAddr), ControlError> {
    let open = || -> io::Result<(StdListener, SocketAddr)> {
        let listener = StdListener::bind(addr)?;
        listener.set_nonblocking(true)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    open().context(ListenSnafu { addr })
}

/// Runs `body` on a thread of its own until it ends or `stopped` completes.
///
/// # Errors
///
/// Returns [`ControlError::Thread`] if the thread or its runtime can't be started.
pub(crate) fn spawn<F, B, S>(name: &str, stopped: S, body: B) -> Result<(), ControlError>
where
    F: Future<Output = ()> + 'static,
    B: FnOnce() -> F + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let runtime = Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ThreadSnafu)?;
    let run = move || {
        let local = LocalSet::new();
        local.block_on(&runtime, async move {
            tokio::select! {
                () = body() => {}
                () = stopped => {}
            }
        });
    };
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .context(ThreadSnafu)?;
    Ok(())
}

/// Registers a listener with the runtime of the calling thread.
pub(crate) fn adopt(listener: StdListener) -> io::Result<TcpListener> {
    TcpListener::from_std(listener)
}
