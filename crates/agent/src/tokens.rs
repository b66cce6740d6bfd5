//! The stream of tokens from the engine to the entry.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::{BufMut, Bytes, BytesMut};
use futures::Stream;
use serde::Serialize;
use snafu::Snafu;
use wagtailreel_adapters::{Engine, EngineEvent};
use wagtailreel_core::{Digest, Epoch, Outcome};

use crate::engine_app::Run;
use crate::events;

/// Approximate maximum size of one piece of the answer's body, in bytes. The last event of a piece may
/// exceed the limit.
const MAX_PIECE_BYTES: usize = 16 * 1024;

/// Reason for an unknown outcome: the answer came from other weights than the admitted ones.
const WRONG_WEIGHTS: &str = "weights";

/// The engine's stream was cut, so the answer is cut too.
#[derive(Debug, Snafu)]
#[snafu(display("the engine's stream was cut ({why}): resume the request elsewhere"))]
pub(crate) struct CutError {
    why: String,
}

#[derive(Serialize)]
struct EndData {
    outcome: Outcome,
    tokens: u32,
    weights: Digest,
    epoch: Epoch,
}

#[derive(Serialize)]
struct ErrorData {
    outcome: Outcome,
    reason: &'static str,
}

/// The answer's body, in pieces of as many events as are ready at once.
///
/// Invariant: the body ends without an error only after an `end` or `error` event. If the engine's
/// stream breaks off or skips tokens, the body ends with an error. The error closes the connection in
/// mid-answer, by which the entry detects the cut.
pub(crate) struct TokenBody<E>
where
    E: Engine,
{
    run: Run<E>,
    buf: BytesMut,
    next_index: u32,
    cut: Option<CutError>,
    is_over: bool,
}

impl<E> TokenBody<E>
where
    E: Engine,
{
    /// Creates the body of a running request, from token `resume_from` on.
    pub(crate) fn new(run: Run<E>, resume_from: u32) -> Self {
        Self {
            run,
            buf: BytesMut::with_capacity(MAX_PIECE_BYTES),
            next_index: resume_from,
            cut: None,
            is_over: false,
        }
    }

    /// Appends one event of the engine to the answer.
    fn push(&mut self, event: &EngineEvent) {
        match event {
            EngineEvent::Token { index, data } if *index == self.next_index => {
                self.next_index += 1;
                self.run.count_token();
                self.buf.put_slice(b"event: token\ndata: ");
                self.buf.put_slice(data);
                self.buf.put_slice(b"\n\n");
            }
            EngineEvent::Token { index, .. } => {
                let wanted = self.next_index;
                self.break_off(format!("token {index} came instead of {wanted}"));
            }
            EngineEvent::End { tokens, bundle } => self.end(*tokens, *bundle),
        }
    }

    /// Ends the answer if it is complete and from the admitted weights.
    fn end(&mut self, tokens: u32, bundle: Digest) {
        let admission = self.run.admission();
        if bundle != admission.weights {
            self.is_over = true;
            self.run.end_unknown(WRONG_WEIGHTS);
            events::WRONG_WEIGHTS.emit(&[
                ("admitted", &admission.weights.short()),
                ("answered", &bundle.short()),
            ]);
            let data = ErrorData {
                outcome: Outcome::Unknown,
                reason: WRONG_WEIGHTS,
            };
            write_event(&mut self.buf, "error", &data);
            return;
        }
        // A resumed request may start at the end of the answer, where no token is left.
        if tokens != self.next_index {
            let got = self.next_index;
            self.break_off(format!("the end came after {got} of {tokens} tokens"));
            return;
        }
        self.is_over = true;
        self.run.end_answered();
        let data = EndData {
            outcome: Outcome::Answered,
            tokens,
            weights: admission.weights,
            epoch: admission.epoch,
        };
        write_event(&mut self.buf, "end", &data);
    }

    /// Marks the answer as cut: the buffered events are sent, then the error.
    fn break_off(&mut self, why: String) {
        self.is_over = true;
        self.run.mark_cut();
        events::STREAM_CUT.emit(&[("why", &why)]);
        self.cut = Some(CutError { why });
    }

    /// Appends all events that are ready, until the piece is full.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let before = self.next_index;
        let filled = self.poll_events(cx);
        // Tokens that arrive together count as one, since no gap between them can be measured.
        if self.next_index != before {
            self.run.record_token_time(Instant::now());
        }
        filled
    }

    fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.is_over && self.buf.len() < MAX_PIECE_BYTES {
            match ready!(self.run.poll_tokens(cx)) {
                Some(Ok(event)) => self.push(&event),
                Some(Err(err)) => self.break_off(err.to_string()),
                None => self.break_off("it ended early".to_owned()),
            }
        }
        Poll::Ready(())
    }
}

impl<E> Stream for TokenBody<E>
where
    E: Engine + Unpin,
{
    type Item = Result<Bytes, CutError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = &mut *self;
        let filled = this.fill(cx);
        if !this.buf.is_empty() {
            return Poll::Ready(Some(Ok(this.buf.split().freeze())));
        }
        ready!(filled);
        Poll::Ready(this.cut.take().map(Err))
    }
}

/// Writes one event at the end of `buf`.
fn write_event<T>(buf: &mut BytesMut, name: &str, data: &T)
where
    T: Serialize,
{
    buf.put_slice(b"event: ");
    buf.put_slice(name.as_bytes());
    buf.put_slice(b"\ndata: ");
    // Serializing numbers and strings into a buffer in memory does not fail.
    let _ = serde_json::to_writer((&mut *buf).writer(), data);
    buf.put_slice(b"\n\n");
}
