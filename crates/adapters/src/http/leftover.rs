//! What a request's body still holds when its answer is ready.
//!
//! Closing a connection with unread bytes resets it, and a reset can take the answer away from a
//! caller that is still sending. So the rest is read and thrown away, within bounds.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Buf as _;
use http_body_util::BodyExt as _;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use tokio::sync::oneshot;

/// Most of a refused body that is read, in bytes. It covers every body that is but a few times too
/// long; whoever sends more has to bear the reset.
const MOST: usize = 16 << 20;

/// Longest time for which a refused body is read. The answer waits for it.
const LONGEST: Duration = Duration::from_millis(500);

/// Reads a body and throws it away, until it ends or a bound is reached.
pub async fn discard<B>(body: B)
where
    B: HttpBody + Unpin,
{
    let mut body = body;
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, |data| data.remaining());
            if read > MOST {
                return;
            }
        }
    };
    // The time is up for whoever sends for longer.
    let _ = tokio::time::timeout(LONGEST, reading).await;
}

/// A body that gives itself back when it is dropped before its end.
#[derive(Debug)]
pub struct Returning<B> {
    inner: Option<B>,
    is_over: bool,
    tx: Option<oneshot::Sender<B>>,
}

impl<B> Returning<B> {
    /// Wraps `body`; the receiver gets it if it is dropped before its end.
    pub fn new(body: B) -> (Self, oneshot::Receiver<B>) {
        let (tx, rx) = oneshot::channel();
        let returning = Self {
            inner: Some(body),
            is_over: false,
            tx: Some(tx),
        };
        (returning, rx)
    }
}

impl<B> Drop for Returning<B> {
    fn drop(&mut self) {
        if let (false, Some(body), Some(tx)) = (self.is_over, self.inner.take(), self.tx.take()) {
            // Nobody may want it any more, and then it goes with the connection.
            let _ = tx.send(body);
        }
    }
}

impl<B> HttpBody for Returning<B>
where
    B: HttpBody + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let this = self.get_mut();
        let Some(inner) = &mut this.inner else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(inner).poll_frame(cx);
        this.is_over |= matches!(polled, Poll::Ready(None | Some(Err(_))));
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.as_ref().is_none_or(HttpBody::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.inner
            .as_ref()
            .map(HttpBody::size_hint)
            .unwrap_or_default()
    }
}
