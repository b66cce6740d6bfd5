//! The HTTP server under each stand-in, whose connections can all be dropped at once.

mod streams;

use std::convert::Infallible;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Poll;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::response::{IntoResponse, Response};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{Service as _, service_fn};
use hyper_util::rt::TokioIo;
use hyper_util::service::TowerToHyperService;
use snafu::{ResultExt as _, Snafu};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

use self::streams::{Held, Streams};

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time for the answer to an order over HTTP before the order drops its connection.
pub(crate) const ANSWER_PAUSE: Duration = Duration::from_millis(20);

/// A stand-in can't be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StartError {
    /// The address can't be used.
    #[snafu(display("{listen} can't be listened at ({source}): choose another, or port 0"))]
    Listen {
        /// The address.
        listen: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// A model can't be made.
    #[snafu(display("model {model} can't be made: {reason}"))]
    Model {
        /// Name and version.
        model: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A port with a server that can crash and come back at the same address.
#[derive(Clone)]
pub(crate) struct Port {
    inner: Arc<Inner>,
}

struct Inner {
    addr: SocketAddr,
    /// Keeps the port from others while the server is down: bound, but never listening.
    _reserved: TcpSocket,
    state: Mutex<State>,
}

struct State {
    router: Option<Router>,
    /// The server that runs now.
    running: Option<Running>,
}

/// A server that listens.
struct Running {
    listener: Listener,
    /// Ends the connections.
    streams: Streams,
    /// Drops what serves them.
    cancel: CancellationToken,
}

/// A listening socket that can be closed at once, while a task waits for connections on it.
#[derive(Clone)]
struct Listener {
    socket: Arc<Mutex<Option<TcpListener>>>,
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Port")
            .field("addr", &self.inner.addr)
            .finish_non_exhaustive()
    }
}

impl Port {
    /// Reserves the port of `listen`, or some port for port 0. Nothing is served yet.
    pub(crate) fn reserve(listen: SocketAddr) -> Result<Self, StartError> {
        let reserved = bind(listen).context(ListenSnafu { listen })?;
        let addr = reserved.local_addr().context(ListenSnafu { listen })?;
        Ok(Self {
            inner: Arc::new(Inner {
                addr,
                _reserved: reserved,
                state: Mutex::new(State {
                    router: None,
                    running: None,
                }),
            }),
        })
    }

    /// Serves `router` from now on.
    pub(crate) fn serve(&self, router: Router) -> Result<(), StartError> {
        self.lock().router = Some(router);
        self.resume()
    }

    /// Returns the address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.inner.addr
    }

    /// Drops all connections and refuses new ones.
    pub(crate) fn crash(&self) {
        if let Some(running) = self.lock().running.take() {
            running.listener.close();
            // Their tasks may be long in coming to their turn.
            running.streams.end();
            running.cancel.cancel();
        }
    }

    /// Serves again after a crash; does nothing while serving.
    pub(crate) fn resume(&self) -> Result<(), StartError> {
        let listen = self.inner.addr;
        let mut state = self.lock();
        let Some(router) = state.router.clone() else {
            return Ok(());
        };
        if state.running.is_some() {
            return Ok(());
        }
        let socket = bind(listen)
            .and_then(|socket| socket.listen(BACKLOG))
            .context(ListenSnafu { listen })?;
        let listener = Listener::new(socket);
        let cancel = CancellationToken::new();
        let streams = Streams::default();
        let accepting = accept(listener.clone(), streams.clone(), router, cancel.clone());
        tokio::spawn(accepting);
        state.running = Some(Running {
            listener,
            streams,
            cancel,
        });
        Ok(())
    }

    /// Crashes as soon as the answer that says so is on its way, and serves again after `pause`.
    pub(crate) fn crash_for(&self, pause: Duration) {
        let port = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(ANSWER_PAUSE).await;
            port.crash();
            tokio::time::sleep(pause).await;
            if let Err(err) = port.resume() {
                log::error!("a stand-in stays down: {err}");
            }
        });
    }

    /// Stops for good and lets go of what is served.
    pub(crate) fn stop(&self) {
        self.crash();
        self.lock().router = None;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = &self.inner.state;
        state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Binds a socket that shares its port with others that don't listen.
fn bind(listen: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match listen {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(listen)?;
    Ok(socket)
}

impl Listener {
    fn new(socket: TcpListener) -> Self {
        Self {
            socket: Arc::new(Mutex::new(Some(socket))),
        }
    }

    /// Returns the next connection; none once the socket is closed.
    async fn accept(&self) -> Option<io::Result<(TcpStream, SocketAddr)>> {
        poll_fn(|cx| match &*self.lock() {
            Some(socket) => socket.poll_accept(cx).map(Some),
            None => Poll::Ready(None),
        })
        .await
    }

    /// Closes the socket, so that its port can be listened at again.
    ///
    /// A process that is being started has a copy of it for a moment, which would go on listening.
    fn close(&self) {
        if let Some(socket) = self.lock().take() {
            // One that is no longer listening needs no end.
            let _ = rustix::net::shutdown(&socket, rustix::net::Shutdown::Both);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<TcpListener>> {
        self.socket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes connections until `cancel` is cancelled.
async fn accept(listener: Listener, streams: Streams, router: Router, cancel: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Some(Ok((stream, peer))) => {
                let Some(held) = streams.add(&stream) else {
                    continue;
                };
                let serving = serve_connection(stream, held, peer, router.clone());
                tokio::spawn(cancel.clone().run_until_cancelled_owned(serving));
            }
            Some(Err(_)) => tokio::time::sleep(ACCEPT_PAUSE).await,
            None => return,
        }
    }
}

/// Address of the client of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer(pub(crate) SocketAddr);

/// Marks a response that is never sent: the connection is dropped instead.
#[derive(Clone, Copy, Debug)]
struct DropConnection;

/// The answer was dropped on purpose.
#[derive(Debug, Snafu)]
#[snafu(display("the answer is lost on purpose"))]
struct LostOnPurpose;

/// Returns a response in whose place the connection is dropped without an answer.
pub(crate) fn lose_answer() -> Response {
    let mut response = StatusCode::NO_CONTENT.into_response();
    response.extensions_mut().insert(DropConnection);
    response
}

/// Serves one connection until its end.
async fn serve_connection(stream: TcpStream, _held: Held, peer: SocketAddr, router: Router) {
    // Without it tokens would wait for each other; a connection that can't is served all the same.
    let _ = stream.set_nodelay(true);
    let service = TowerToHyperService::new(router);
    let service = service_fn(move |mut req: Request<Incoming>| {
        req.extensions_mut().insert(Peer(peer));
        let answer = service.call(req);
        async move { keep_or_lose(answer.await) }
    });
    // A connection that breaks is the client's affair.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Turns a response that is marked as lost into an error, which closes the connection.
fn keep_or_lose(
    answer: Result<Response<Body>, Infallible>,
) -> Result<Response<Body>, LostOnPurpose> {
    let response = answer.unwrap_or_else(|never| match never {});
    if response.extensions().get::<DropConnection>().is_some() {
        return Err(LostOnPurpose);
    }
    Ok(response)
}
