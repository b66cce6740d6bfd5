//! Bodies of requests and responses. Their connection counts as busy until they are dropped.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use pin_project_lite::pin_project;

use crate::activity::OpenRequest;

/// The body of a request. Its connection counts as busy until the body is dropped.
#[derive(Debug)]
pub struct RequestBody {
    body: Incoming,
    open: Arc<OpenRequest>,
}

impl RequestBody {
    pub(crate) fn new(body: Incoming, open: Arc<OpenRequest>) -> Self {
        if body.is_end_stream() {
            open.on_body_read();
        }
        Self { body, open }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.open.on_body_read();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

pin_project! {
    /// The body of a response. Its request counts as open until the body is dropped.
    pub(crate) struct TrackedBody<B> {
        #[pin]
        body: B,
        open: Arc<OpenRequest>,
    }
}

impl<B> TrackedBody<B>
where
    B: Body<Data = Bytes>,
{
    pub(crate) fn new(body: B, open: Arc<OpenRequest>) -> Self {
        if body.is_end_stream() {
            open.on_whole_response();
        }
        Self { body, open }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body<Data = Bytes>,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let mut this = self.project();
        let frame = ready!(this.body.as_mut().poll_frame(cx));
        if frame.is_none() || this.body.is_end_stream() {
            this.open.on_whole_response();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
