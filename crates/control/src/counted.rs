//! A TCP stream that counts bytes read and written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use futures::io::{AsyncRead, AsyncWrite};
use prometheus::IntCounter;
use tokio::net::TcpStream;
use tokio_util::compat::{Compat, TokioAsyncReadCompatExt};

use crate::metrics::Metrics;

/// A TCP stream that counts bytes read and written.
#[derive(Debug)]
pub(crate) struct CountedStream {
    stream: Compat<TcpStream>,
    bytes_in: IntCounter,
    bytes_out: IntCounter,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, metrics: &Metrics) -> Self {
        // Messages are small and each waits for an answer. Nagle's algorithm would only delay them.
        let _ = stream.set_nodelay(true);
        Self {
            stream: stream.compat(),
            bytes_in: metrics.socket_in.clone(),
            bytes_out: metrics.socket_out.clone(),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        count(&self.bytes_in, &polled);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        count(&self.bytes_out, &polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

fn count(counter: &IntCounter, polled: &Poll<io::Result<usize>>) {
    if let Poll::Ready(Ok(length)) = polled {
        counter.inc_by(u64::try_from(*length).unwrap_or(0));
    }
}
