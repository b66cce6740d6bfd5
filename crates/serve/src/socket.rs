//! A socket that records its reads and writes as activity of the connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::{Shutdown, sockopt};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::activity::Activity;

/// Longest wait for the peer to close its side after the connection was shut down here.
///
/// A peer closes within a round trip of some milliseconds; a lost packet is sent again within a second.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Size of the read buffer while the peer is waited for.
const LINGER_BUF_BYTES: usize = 1024;

/// Maximum bytes that are read while the peer is waited for. They cover a body that is a few times longer than
/// allowed.
const MAX_LINGER_BYTES: u64 = 16 << 20;

/// Response to a request that could not be read before the process exits. The caller can retry at once,
/// because another process serves the request.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 0\r\n\
    content-length: 0\r\n\r\n";

/// Socket of a connection. The stream is shared with the task that closes the connection, which checks for
/// unread bytes.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
}

impl Socket {
    pub(crate) fn new(stream: Arc<TcpStream>, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }

    /// Calls `write` once the socket is writable.
    fn poll_written<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            let Poll::Ready(ready) = self.stream.poll_write_ready(cx) else {
                self.activity.on_write_blocked();
                return Poll::Pending;
            };
            ready?;
            match write(&self.stream) {
                // The readiness was stale; polling again registers the task.
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => {
                    self.activity.on_write();
                    return Poll::Ready(written);
                }
            }
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.stream.poll_read_ready(cx))?;
            let before = buf.filled().len();
            match self.stream.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) => {
                    self.activity.on_peer_end();
                    return Poll::Ready(Ok(()));
                }
                Ok(_) => {
                    return Poll::Ready(self.activity.on_read(&buf.filled()[before..]));
                }
                Err(e) => {
                    self.activity.on_peer_end();
                    return Poll::Ready(Err(e));
                }
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_written(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The socket has no buffer in user space.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The task that closes the connection checks for unread bytes first, then shuts the socket down.
        Poll::Ready(Ok(()))
    }
}

/// Refuses a request whose head is incomplete. No handler has run for the request.
pub(crate) fn refuse(stream: &TcpStream) {
    // All earlier writes have reached the kernel, so the send buffer has space. An error means that the peer
    // has reset the connection.
    let _ = stream.try_write(REFUSAL);
}

/// Makes the kernel reset the connection when it is closed, also if the process ends.
pub(crate) fn reset_on_close(stream: &TcpStream) {
    // If the option can't be set, the socket is closed in order; there is no other way to reset it.
    let _ = stream.set_zero_linger();
}

/// Reverts [`reset_on_close`].
pub(crate) fn close_in_order(stream: &TcpStream) {
    // An error means that the peer has reset the connection.
    let _ = sockopt::set_socket_linger(stream, None);
}

/// Shuts down the writing side, and reads until the peer closes its side. Adds the bytes read to `received`.
///
/// Closing a socket with unread bytes resets the connection, and the peer may lose a response that it has not
/// read yet.
pub(crate) async fn linger(stream: &TcpStream, received: &mut u64) {
    // An error means that the peer has reset the connection.
    let _ = rustix::net::shutdown(stream, Shutdown::Write);
    let mut buf = [0; LINGER_BUF_BYTES];
    let reading = async {
        while *received < MAX_LINGER_BYTES && stream.readable().await.is_ok() {
            // The readiness of a socket that always has bytes never lets other tasks run, nor the time-out.
            tokio::task::consume_budget().await;
            match stream.try_read(&mut buf) {
                Ok(0) => return,
                Ok(read) => *received += read as u64,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // A peer that keeps its side open for longer has had time to read the response.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, reading).await;
}

/// Returns the number of bytes in the receive buffer, or `None` if the kernel reports an error.
pub(crate) fn unread(stream: &TcpStream) -> Option<u64> {
    rustix::io::ioctl_fionread(stream).ok()
}
