//! A TCP relay that stands for one link, so that the link can be cut.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use snafu::ResultExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::{CancellationToken, DropGuard};

use crate::error::{IoSnafu, Result};

/// Bytes that a relay moves at once.
const BUFFER: usize = 64 * 1024;

/// How a link behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    #[default]
    Open,
    /// Nothing passes and nobody is told, as when a network is partitioned.
    Stalled,
    /// Connections are closed, as when the other side's machine is gone.
    Refused,
}

/// One link from a listener of its own to a fixed address. It ends when it is dropped.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    state: watch::Sender<LinkState>,
    bytes: Arc<AtomicU64>,
    _stop: DropGuard,
}

impl Relay {
    /// Starts a relay to `target` on a free port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .context(IoSnafu {
                what: "bind a relay",
            })?;
        let addr = listener.local_addr().context(IoSnafu {
            what: "read a relay's address",
        })?;
        let (tx, rx) = watch::channel(LinkState::Open);
        let stop = CancellationToken::new();
        let guard = stop.clone().drop_guard();
        let bytes = Arc::new(AtomicU64::new(0));
        let link = Link {
            state: rx,
            bytes: Arc::clone(&bytes),
        };
        tokio::spawn(stop.run_until_cancelled_owned(accept(listener, target, link)));
        Ok(Self {
            addr,
            state: tx,
            bytes,
            _stop: guard,
        })
    }

    /// Returns the address to connect to.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns how many bytes have passed, both ways.
    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    /// Changes how the link behaves, for open connections too.
    pub fn set(&self, state: LinkState) {
        self.state.send_replace(state);
    }
}

/// What the connections of one link share.
#[derive(Clone, Debug)]
struct Link {
    state: watch::Receiver<LinkState>,
    bytes: Arc<AtomicU64>,
}

impl Link {
    /// Waits until the link passes bytes; says no if the relay is gone.
    async fn opened(&mut self) -> bool {
        let open = self.state.wait_for(|it| *it == LinkState::Open);
        open.await.is_ok()
    }
}

/// Accepts connections until cancelled; the set ends its connections with it.
async fn accept(listener: TcpListener, target: SocketAddr, link: Link) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((caller, _)) = accepted {
                    connections.spawn(carry(caller, target, link.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Carries one connection until either side ends it or the link refuses.
async fn carry(caller: TcpStream, target: SocketAddr, mut link: Link) {
    let mut refused = link.state.clone();
    let refusal = async move {
        // The sender lives as long as the relay, whose end cancels this task anyway.
        let _ = refused.wait_for(|it| *it == LinkState::Refused).await;
    };
    let passage = async move {
        if !link.opened().await {
            return;
        }
        let Ok(callee) = TcpStream::connect(target).await else {
            return;
        };
        // Without it the relay would add delays that the link does not have.
        let _ = caller.set_nodelay(true);
        let _ = callee.set_nodelay(true);
        let (caller_rx, caller_tx) = caller.into_split();
        let (callee_rx, callee_tx) = callee.into_split();
        tokio::join!(
            copy(caller_rx, callee_tx, link.clone()),
            copy(callee_rx, caller_tx, link),
        );
    };
    tokio::select! {
        () = refusal => {}
        () = passage => {}
    }
}

/// Copies one direction, and holds what was read back while the link is stalled.
async fn copy<R, W>(mut rx: R, mut tx: W, mut link: Link)
where
    R: AsyncRead + Unpin,
    W: AsyncWrite + Unpin,
{
    let mut buf = vec![0; BUFFER];
    loop {
        let Ok(read) = rx.read(&mut buf).await else {
            return;
        };
        if !link.opened().await {
            return;
        }
        if read == 0 {
            // The other direction goes on: a half-closed connection is an ordinary one.
            let _ = tx.shutdown().await;
            return;
        }
        if tx.write_all(&buf[..read]).await.is_err() {
            return;
        }
        link.bytes.fetch_add(read as u64, Ordering::Relaxed);
    }
}
