//! An answer whose head has come, and the count of its request.

use std::sync::Arc;

use http::header;
use http::response::Parts;
use hyper::body::Incoming;
use wagtailreel_fleet::{UpstreamId, UpstreamStart};

use crate::dialect::AnswerHead;
use crate::pool::Connection;
use crate::view::Service;

/// Counts a request at an upstream for as long as it is there.
#[derive(Debug)]
pub(crate) struct Lease {
    service: Arc<Service>,
    id: UpstreamId,
    start: UpstreamStart,
    /// Prompt tokens that the upstream is still to read.
    unread: u32,
}

impl Lease {
    /// Counts a request with a prompt of `unread` tokens at the upstream `id`.
    pub(crate) fn new(service: &Arc<Service>, id: &str, unread: u32) -> Self {
        let start = service.upstreams().started(id, unread);
        Self {
            service: Arc::clone(service),
            id: id.to_owned(),
            start,
            unread,
        }
    }

    /// Takes that the answer has begun.
    pub(crate) fn begun(&mut self) {
        let unread = std::mem::take(&mut self.unread);
        if unread > 0 {
            self.service
                .upstreams()
                .prefilled(&self.id, self.start, unread);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.begun();
        self.service.upstreams().finished(&self.id, self.start);
    }
}

/// An answer whose head has come.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) marks: AnswerHead,
    pub(crate) conn: Connection,
    pub(crate) lease: Lease,
}

impl Live {
    /// Gives the connection back after the whole answer was read.
    pub(crate) fn finish(self) {
        self.conn.answered();
        let closes = self
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes && self.is_framed() {
            let keep = self.marks.keep_alive;
            self.lease.service.pool.give_back(self.conn, keep);
        }
    }

    /// Says whether the answer tells where it ends, other than by the end of its connection.
    pub(crate) fn is_framed(&self) -> bool {
        self.head.headers.contains_key(header::CONTENT_LENGTH)
            || self.head.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns the id of the upstream.
    pub(crate) fn upstream(&self) -> &str {
        &self.lease.id
    }
}
