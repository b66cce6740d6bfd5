//! A socket that tells of what passes through it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use rustix::net::Shutdown;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::activity::Activity;

/// Longest wait for the peer's end of a connection that was ended here. A peer answers within a round trip,
/// some milliseconds; a lost packet is repeated within a second.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes read at once while the peer's end is waited for.
const LINGER_BUF_BYTES: usize = 1024;

/// The answer to a request that could not be read before the process ends; another process takes it at once.
const REFUSAL: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\nretry-after: 0\r\n\
    content-length: 0\r\n\r\n";

/// A connection's socket. Whoever ends the connection shares it, and so sees what lies unread.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: Arc<TcpStream>,
    activity: Arc<Activity>,
}

impl Socket {
    pub(crate) fn new(stream: Arc<TcpStream>, activity: Arc<Activity>) -> Self {
        Self { stream, activity }
    }

    /// Writes by `write` once the socket takes bytes.
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
                // The readiness was out of date; asking for it again registers the task.
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
                    self.activity.on_read(&buf.filled()[before..]);
                    return Poll::Ready(Ok(()));
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
        // A socket has no buffer of its own.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Whoever ends the connection looks first at what lies unread.
        Poll::Ready(Ok(()))
    }
}

/// Refuses a request whose head is not whole: the rest is not waited for, and nothing has run.
pub(crate) fn refuse(stream: &TcpStream) {
    // All that was written before has been taken by the kernel, so that there is room; where the peer has reset
    // the connection there is nobody to tell.
    let _ = stream.try_write(REFUSAL);
}

/// Ends the writing side, and reads until the peer has ended its own; counts the bytes that come in `came`.
///
/// Closing a socket in which bytes lie unread resets the connection, and the peer may lose the answer that
/// it has not read yet.
pub(crate) async fn linger(stream: &TcpStream, came: &mut u64) {
    // Where the peer has reset the connection there is nobody to tell.
    let _ = rustix::net::shutdown(stream, Shutdown::Write);
    let mut buf = [0; LINGER_BUF_BYTES];
    let reading = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut buf) {
                Ok(0) => return,
                Ok(read) => *came += read as u64,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    // A peer that holds its side open for longer has read what there was to read.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, reading).await;
}

/// Returns how many bytes the kernel holds that were not read; none if it doesn't say.
pub(crate) fn unread(stream: &TcpStream) -> Option<u64> {
    rustix::io::ioctl_fionread(stream).ok()
}
