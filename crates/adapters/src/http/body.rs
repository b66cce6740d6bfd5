//! Bodies of requests.

use std::fmt;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use futures::Stream;
use futures::stream::BoxStream;
use http_body_util::Full;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

/// Body of a request: bytes at hand, a body that is passed on, or a stream.
///
/// Only the stream is boxed; it carries weights, never a caller's request.
pub struct Body {
    kind: Kind,
}

enum Kind {
    Full(Full<Bytes>),
    Incoming(Incoming),
    Stream {
        stream: BoxStream<'static, Result<Bytes, io::Error>>,
        /// Bytes still to come, if that is known.
        left: Option<u64>,
    },
}

impl Body {
    /// Makes an empty body.
    pub fn empty() -> Self {
        Self::from(Bytes::new())
    }

    /// Makes a body from a stream of `length` bytes; without `length` it is sent in chunks.
    ///
    /// The request fails if the stream gives another number of bytes than `length`.
    pub fn from_stream<S>(stream: S, length: Option<u64>) -> Self
    where
        S: Stream<Item = Result<Bytes, io::Error>> + Send + 'static,
    {
        Self {
            kind: Kind::Stream {
                stream: Box::pin(stream),
                left: length,
            },
        }
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match &self.kind {
            Kind::Full(_) => "full",
            Kind::Incoming(_) => "incoming",
            Kind::Stream { .. } => "stream",
        };
        f.debug_struct("Body").field("kind", &kind).finish()
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::empty()
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self {
            kind: Kind::Full(Full::new(bytes)),
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Self::from(Bytes::from(bytes))
    }
}

impl From<String> for Body {
    fn from(text: String) -> Self {
        Self::from(Bytes::from(text))
    }
}

impl From<&'static str> for Body {
    fn from(text: &'static str) -> Self {
        Self::from(Bytes::from_static(text.as_bytes()))
    }
}

impl From<Incoming> for Body {
    fn from(body: Incoming) -> Self {
        Self {
            kind: Kind::Incoming(body),
        }
    }
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.kind {
            Kind::Full(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Incoming(body) => Pin::new(body).poll_frame(cx).map_err(io::Error::other),
            Kind::Stream { stream, left } => {
                let polled = stream.as_mut().poll_next(cx);
                polled.map(|next| next.map(|item| item.map(|bytes| count_down(left, bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.kind {
            Kind::Full(full) => full.is_end_stream(),
            Kind::Incoming(body) => body.is_end_stream(),
            // A stream that still has bytes to give must be polled, or the excess goes unseen.
            Kind::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.kind {
            Kind::Full(full) => full.size_hint(),
            Kind::Incoming(body) => body.size_hint(),
            Kind::Stream { left, .. } => left.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}

/// Subtracts `bytes` from what is left and makes them a frame.
fn count_down(left: &mut Option<u64>, bytes: Bytes) -> Frame<Bytes> {
    if let Some(left) = left {
        *left = left.saturating_sub(bytes.len() as u64);
    }
    Frame::data(bytes)
}
