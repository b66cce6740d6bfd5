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

/// Bytes that one piece of the answer holds at most, about.
const PIECE: usize = 16 * 1024;

/// Reason of an answer from other weights than the admitted ones.
const WRONG_WEIGHTS: &str = "weights";

/// The engine's stream broke off, so that the answer is broken off too.
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

/// The answer's body, in pieces of as many events as are there at once.
///
/// Invariant: it ends without an error only after an `end` or `error` event. A stream of the
/// engine that breaks off, or leaves tokens out, ends in an error, which closes the connection
/// in mid-answer for the entry to see.
pub(crate) struct TokenBody<E>
where
    E: Engine,
{
    run: Run<E>,
    buf: BytesMut,
    next_index: u32,
    cut: Option<CutError>,
    over: bool,
}

impl<E> TokenBody<E>
where
    E: Engine,
{
    /// Makes the body of a request that runs, from token `resume_from` on.
    pub(crate) fn new(run: Run<E>, resume_from: u32) -> Self {
        Self {
            run,
            buf: BytesMut::with_capacity(PIECE),
            next_index: resume_from,
            cut: None,
            over: false,
        }
    }

    /// Takes in one event of the engine.
    fn take(&mut self, event: &EngineEvent) {
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

    /// Closes the answer, if it is whole and from the admitted weights.
    fn end(&mut self, tokens: u32, bundle: Digest) {
        let admission = self.run.admission();
        if bundle != admission.weights {
            self.over = true;
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
        // A resume may start at the very end, where no token is left.
        if tokens != self.next_index {
            let got = self.next_index;
            self.break_off(format!("the end came after {got} of {tokens} tokens"));
            return;
        }
        self.over = true;
        self.run.end_answered();
        let data = EndData {
            outcome: Outcome::Answered,
            tokens,
            weights: admission.weights,
            epoch: admission.epoch,
        };
        write_event(&mut self.buf, "end", &data);
    }

    /// Marks the answer as cut: what is there is given out, then the error.
    fn break_off(&mut self, why: String) {
        self.over = true;
        self.run.cut();
        events::STREAM_CUT.emit(&[("why", &why)]);
        self.cut = Some(CutError { why });
    }

    /// Takes in every event that is here, until a piece is full.
    fn fill(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let before = self.next_index;
        let filled = self.poll_events(cx);
        // Tokens that came together count as one: there is no gap between them to be measured.
        if self.next_index != before {
            self.run.note_tokens(Instant::now());
        }
        filled
    }

    fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while !self.over && self.buf.len() < PIECE {
            match ready!(self.run.poll_tokens(cx)) {
                Some(Ok(event)) => self.take(&event),
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
    // Writing numbers and texts to a buffer in memory does not fail.
    let _ = serde_json::to_writer((&mut *buf).writer(), data);
    buf.put_slice(b"\n\n");
}
