//! The socket of an upstream connection, which is reset if it is dropped while a request is in progress.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether a request is in progress on a connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct ExchangeFlag(Arc<AtomicBool>);

impl ExchangeFlag {
    /// Records that the first byte of a request is about to be sent, or that its response was read
    /// completely.
    pub(crate) fn set(&self, in_exchange: bool) {
        self.0.store(in_exchange, Ordering::Release);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A socket that is reset if it is dropped while a request is in progress, and closed in order otherwise.
///
/// An orderly close still delivers all data that was written before it. So an upstream that was suspended
/// reads the rest of a request whose caller has left, and runs it. A reset discards what is still in this
/// host's send buffer, and tells an upstream that has read the request that its answer is no longer wanted.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    in_exchange: ExchangeFlag,
}

impl Socket {
    pub(crate) const fn new(stream: TcpStream, in_exchange: ExchangeFlag) -> Self {
        Self {
            stream,
            in_exchange,
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.in_exchange.get() {
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
