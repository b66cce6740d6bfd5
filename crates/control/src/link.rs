//! Connections to peers, re-established with a jittered backoff when they break.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use capnp::capability::FromClientHook;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use futures::AsyncReadExt;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Mutex;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::timeout;
use wagtailreel_core::VmId;
use wagtailreel_wire::reader_options;

use crate::ControlError;
use crate::counted::CountedStream;
use crate::error::{CallSnafu, ConnectSnafu, TimeoutSnafu};
use crate::events;
use crate::metrics::Metrics;

/// First backoff after a failed connection.
const MIN_BACKOFF: Duration = Duration::from_millis(20);
/// Backoff of the listener after a failure to accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);
/// Most connections that a listener serves at once, far above the agents and entries of a data centre.
const MAX_CONNECTIONS: usize = 4096;
/// Consecutive unanswered calls after which the connection is re-established.
const MAX_UNANSWERED_CALLS: u32 = 4;

/// A connection's client and its task, which is aborted on drop.
struct Connection<C> {
    client: C,
    task: JoinHandle<()>,
}

impl<C> Drop for Connection<C> {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A peer, and the connection to it if there is one.
pub(crate) struct Link<C> {
    vm: VmId,
    addr: SocketAddr,
    metrics: Metrics,
    max_backoff: Duration,
    connection: RefCell<Option<Connection<C>>>,
    /// Held while connecting, so that only one connection is made.
    connecting: Mutex<()>,
    backoff: Cell<Duration>,
    not_before: Cell<Option<Instant>>,
    unanswered_calls: Cell<u32>,
    lost: Cell<bool>,
}

impl<C> Link<C>
where
    C: FromClientHook + Clone + 'static,
{
    /// Creates a link that waits at most `max_backoff` between attempts to connect.
    pub(crate) fn new(vm: VmId, addr: SocketAddr, max_backoff: Duration, metrics: Metrics) -> Self {
        Self {
            vm,
            addr,
            metrics,
            max_backoff,
            connection: RefCell::new(None),
            connecting: Mutex::new(()),
            backoff: Cell::new(MIN_BACKOFF),
            not_before: Cell::new(None),
            unanswered_calls: Cell::new(0),
            lost: Cell::new(false),
        }
    }

    pub(crate) fn vm(&self) -> &str {
        &self.vm
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns when the next attempt to connect may be made, or `None` if there is no backoff.
    pub(crate) fn retry_at(&self) -> Option<Instant> {
        self.not_before
            .get()
            .filter(|not_before| *not_before > Instant::now())
    }

    /// Calls the peer, connecting first if necessary. Both together take at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns a [`ControlError`] if the peer can't be reached, closes the connection or doesn't
    /// answer in time.
    pub(crate) async fn call<T, F>(
        &self,
        limit: Duration,
        call: impl FnOnce(C) -> F,
    ) -> Result<T, ControlError>
    where
        F: Future<Output = capnp::Result<T>>,
    {
        let addr = self.addr;
        let whole = async {
            let client = self.client().await?;
            call(client).await.context(CallSnafu { addr })
        };
        let result = match timeout(limit, whole).await {
            Ok(result) => result,
            Err(_elapsed) => TimeoutSnafu {
                addr,
                timeout: limit,
            }
            .fail(),
        };
        self.record_result(&result);
        result
    }

    /// Closes the connection, so that the next call makes a new one.
    pub(crate) fn reset(&self) {
        self.connection.replace(None);
    }

    async fn client(&self) -> Result<C, ControlError> {
        let _guard = self.connecting.lock().await;
        if let Some(connection) = &*self.connection.borrow() {
            return Ok(connection.client.clone());
        }
        let addr = self.addr;
        let stream = TcpStream::connect(addr)
            .await
            .context(ConnectSnafu { addr })?;
        let (client, task) = connect::<C>(CountedStream::new(stream, &self.metrics));
        self.connection.replace(Some(Connection {
            client: client.clone(),
            task,
        }));
        Ok(client)
    }

    fn record_result<T>(&self, result: &Result<T, ControlError>) {
        match result {
            Ok(_) => self.record_answer(),
            // A peer that doesn't answer may be suspended: its connection is kept for a few calls.
            Err(ControlError::Timeout { .. }) => {
                self.unanswered_calls.set(self.unanswered_calls.get() + 1);
                if self.unanswered_calls.get() >= MAX_UNANSWERED_CALLS {
                    self.record_loss();
                }
            }
            Err(_) => self.record_loss(),
        }
    }

    fn record_answer(&self) {
        self.unanswered_calls.set(0);
        self.backoff.set(MIN_BACKOFF);
        self.not_before.set(None);
        if self.lost.replace(false) {
            self.emit(&events::PEER_FOUND);
        }
    }

    fn record_loss(&self) {
        self.reset();
        self.unanswered_calls.set(0);
        let backoff = self.backoff.get();
        // Jitter keeps the peers of a failed process from reconnecting all at once.
        let delay = backoff.mul_f64(rand::random_range(0.5..1.0));
        self.not_before.set(Some(Instant::now() + delay));
        self.backoff.set((backoff * 2).min(self.max_backoff));
        if !self.lost.replace(true) {
            self.emit(&events::PEER_LOST);
        }
    }

    fn emit(&self, event: &wagtailreel_telemetry::Event) {
        event.emit(&[("vm", &self.vm), ("addr", &self.addr.to_string())]);
    }
}

/// Starts an RPC client over `stream`. The task ends with the connection.
pub(crate) fn connect<C>(stream: CountedStream) -> (C, JoinHandle<()>)
where
    C: FromClientHook,
{
    let (rx, tx) = stream.split();
    let network = twoparty::VatNetwork::new(rx, tx, Side::Client, reader_options());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(Side::Server);
    let task = spawn_local(async move {
        // Each call in flight returns the error itself.
        let _ = system.await;
    });
    (client, task)
}

/// Accepts connections and offers `bootstrap` on each, until the task is dropped.
pub(crate) async fn serve(
    listener: TcpListener,
    bootstrap: capnp::capability::Client,
    metrics: Metrics,
) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept(), if connections.len() < MAX_CONNECTIONS => accepted,
            Some(_) = connections.join_next() => continue,
        };
        match stream {
            Ok((stream, _)) => {
                let (rx, tx) = CountedStream::new(stream, &metrics).split();
                let network = twoparty::VatNetwork::new(rx, tx, Side::Server, reader_options());
                let system = RpcSystem::new(Box::new(network), Some(bootstrap.clone()));
                connections.spawn_local(async move {
                    // The client re-establishes a broken connection.
                    let _ = system.await;
                });
            }
            Err(error) => {
                events::ACCEPT_FAILED.emit(&[("error", &error.to_string())]);
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}
