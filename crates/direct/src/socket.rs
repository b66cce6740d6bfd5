//! The socket of an upstream connection, which is reset if it is dropped while a request is in progress, and
//! which bounds the head of an answer.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::exchange::Exchange;

/// A socket that is reset if it is dropped while a request is in progress, and closed in order otherwise.
///
/// An orderly close still delivers all data that was written before it. So an upstream that was suspended
/// reads the rest of a request whose caller has left, and runs it. A reset discards what is still in this
/// host's send buffer, and tells an upstream that has read the request that its answer is no longer wanted.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    exchange: Exchange,
}

impl Socket {
    pub(crate) const fn new(stream: TcpStream, exchange: Exchange) -> Self {
        Self { stream, exchange }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.exchange.is_active() {
            // If the option can't be set, the socket is closed in order; there is no other way to reset it.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.exchange.on_read(&buf.filled()[before..]))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
