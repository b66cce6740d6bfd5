//! The response of an upstream, and the lease that counts its request there.

use std::sync::Arc;

use bytes::Bytes;
use http::response::Parts;
use http::{StatusCode, header};
use hyper::body::Incoming;
use wagtailreel_adapters::has_no_body;
use wagtailreel_fleet::{UpstreamId, UpstreamStart};

use crate::dialect::AnswerHead;
use crate::pool::Connection;
use crate::view::Service;

/// Counts a request as in flight at an upstream until it is dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    service: Arc<Service>,
    id: UpstreamId,
    start: UpstreamStart,
    /// Prompt tokens that the upstream has still to read; 0 once the answer has started.
    prompt_tokens: u32,
    is_ended: bool,
}

impl Lease {
    /// Counts a request with a prompt of `prompt_tokens` at the upstream `id`.
    pub(crate) fn new(service: &Arc<Service>, id: &str, prompt_tokens: u32) -> Self {
        let start = service.upstreams().started(id, prompt_tokens);
        Self {
            service: Arc::clone(service),
            id: id.to_owned(),
            start,
            prompt_tokens,
            is_ended: false,
        }
    }

    /// Records that the upstream has ended the request.
    pub(crate) fn end(&mut self) {
        self.answer_started();
        if !std::mem::replace(&mut self.is_ended, true) {
            self.service.upstreams().finished(&self.id, self.start);
        }
    }

    /// Records that the answer has started, and so that the prompt was read.
    pub(crate) fn answer_started(&mut self) {
        let prompt_tokens = std::mem::take(&mut self.prompt_tokens);
        if prompt_tokens > 0 {
            self.service
                .upstreams()
                .prefilled(&self.id, self.start, prompt_tokens);
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.end();
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct UpstreamResponse {
    pub(crate) head: Parts,
    /// Bytes that were read of the body already.
    pub(crate) read_ahead: Option<Bytes>,
    pub(crate) body: Incoming,
    pub(crate) meta: AnswerHead,
    pub(crate) conn: Connection,
    pub(crate) lease: Lease,
}

impl UpstreamResponse {
    /// Returns the connection to the pool after the response was read completely.
    pub(crate) fn finish(self) {
        self.conn.response_read();
        let closes = self
            .head
            .headers
            .get(header::CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        if !closes && self.is_framed() && !self.has_impossible_body() {
            let keep_alive = self.meta.keep_alive;
            self.lease.service.pool.check_in(self.conn, keep_alive);
        }
    }

    /// Returns whether the head says where the body ends. Otherwise it ends with the connection, and a body
    /// that was cut off can't be told from a complete one.
    pub(crate) fn is_framed(&self) -> bool {
        has_no_body(self.head.status)
            || self.head.headers.contains_key(header::CONTENT_LENGTH)
            || self.head.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Returns whether the headers announce a body that the status rules out. If it follows, its bytes stand where
    /// the next answer on the connection is due.
    fn has_impossible_body(&self) -> bool {
        let length = self.head.headers.get(header::CONTENT_LENGTH);
        has_no_body(self.head.status)
            && (length.is_some_and(|length| length != "0")
                || self.head.headers.contains_key(header::TRANSFER_ENCODING))
    }

    /// Returns whether the answer is a success whose body is the whole text of the upstream, neither coded nor a
    /// range of it, so that it can be split into events.
    pub(crate) fn has_plain_text(&self) -> bool {
        let status = self.head.status;
        status.is_success()
            && status != StatusCode::PARTIAL_CONTENT
            && !self.head.headers.contains_key(header::CONTENT_ENCODING)
    }

    /// Returns the start of the upstream that the request was counted for.
    pub(crate) fn start(&self) -> UpstreamStart {
        self.lease.start
    }

    /// Returns the id of the upstream.
    pub(crate) fn upstream(&self) -> &str {
        &self.lease.id
    }
}
