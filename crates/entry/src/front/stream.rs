//! The stream of tokens to a caller, continued at a replica if the upstream's stream is cut.

use std::convert::Infallible;
use std::time::Instant;

use axum::body::Body;
use bytes::Bytes;
use futures::stream::unfold;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use serde::Serialize;
use tokio_util::task::task_tracker::TaskTrackerToken;
use wagtailreel_core::{Digest, Epoch, Outcome};
use wagtailreel_route::UnknownReason;

use crate::events;
use crate::front::answer::Denial;
use crate::front::attempt::Attempt;
use crate::front::dispatch::{Dispatch, Opened};
use crate::front::relay::{Finish, Relay};
use crate::metrics::StreamTimes;

/// An answer that is being streamed to the caller.
#[derive(Debug)]
pub(crate) struct AnswerStream {
    dispatch: Dispatch,
    /// The upstream's stream; `None` once the last event is sent.
    source: Option<Source>,
    relay: Relay,
    weights: Option<Digest>,
    epoch: Option<Epoch>,
    last_token: Option<Instant>,
    times: StreamTimes,
    /// Keeps a shutdown waiting until the caller has the last event.
    _in_flight: TaskTrackerToken,
}

#[derive(Debug)]
struct Source {
    body: Incoming,
    attempt: Attempt,
}

#[derive(Serialize)]
struct EndData {
    outcome: Outcome,
    tokens: u64,
    weights: Option<Digest>,
    epoch: Option<Epoch>,
}

#[derive(Serialize)]
struct ErrorData {
    outcome: Outcome,
    reason: String,
}

impl AnswerStream {
    /// Creates the stream of an answer that an upstream has started.
    pub(crate) fn new(dispatch: Dispatch, opened: Opened, in_flight: TaskTrackerToken) -> Self {
        Self {
            times: dispatch.stream_times(),
            dispatch,
            weights: opened.weights,
            epoch: opened.epoch,
            source: Some(Source {
                body: opened.response.into_body(),
                attempt: opened.attempt,
            }),
            relay: Relay::new(),
            last_token: None,
            _in_flight: in_flight,
        }
    }

    /// Converts the stream into the body of a response. Backpressure reaches the upstream: the next frame
    /// is read only when the caller has taken the last one.
    pub(crate) fn into_body(self) -> Body {
        Body::from_stream(unfold(self, |mut answer| async move {
            let bytes = answer.next().await?;
            Some((Ok::<Bytes, Infallible>(bytes), answer))
        }))
    }

    /// Returns the next events for the caller; `None` after the last.
    async fn next(&mut self) -> Option<Bytes> {
        loop {
            let source = self.source.as_mut()?;
            let frame = source.attempt.while_alive(source.body.frame()).await;
            let data = match frame {
                // Trailers carry nothing for the caller.
                Some(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                // A stream without its end event was cut, even if the connection closed cleanly.
                Some(None | Some(Err(_))) | None => match self.resume().await {
                    Ok(()) => continue,
                    Err(last) => return Some(last),
                },
            };
            let batch = self.relay.push(&data);
            self.record_token_times(batch.tokens);
            match batch.finish {
                Some(Finish::Whole) => return Some(self.end(batch.bytes)),
                Some(Finish::Broken) => match self.resume().await {
                    Ok(()) if batch.bytes.is_empty() => {}
                    Ok(()) => return Some(batch.bytes),
                    Err(last) => return Some(join(batch.bytes, last)),
                },
                None if batch.bytes.is_empty() => {}
                None => return Some(batch.bytes),
            }
        }
    }

    /// Continues the stream at a replica with the same weights.
    ///
    /// # Errors
    ///
    /// Returns the last event for the caller if no replica can continue.
    async fn resume(&mut self) -> Result<(), Bytes> {
        loop {
            let Some(source) = self.source.take() else {
                return Err(self.fail(&Denial::Unknown(UnknownReason::Cut)));
            };
            let vm = source.attempt.vm().clone();
            // Dropped before the next attempt: the drop cancels the old one at its upstream, where it
            // then no longer counts as in flight.
            drop(source);
            let cut = self.dispatch.cut(&vm, self.relay.next(), self.weights);
            cut.map_err(|denial| self.fail(&denial))?;
            let opened = self.dispatch.open().await;
            let opened = opened.map_err(|denial| self.fail(&denial))?;
            let same = opened.weights == self.weights;
            self.source = Some(Source {
                body: opened.response.into_body(),
                attempt: opened.attempt,
            });
            self.relay.restart();
            if self.relay.next() == 0 {
                self.weights = opened.weights;
                self.epoch = opened.epoch;
            } else if !same {
                // The agent did not keep to the pinned weights: its tokens must not follow the earlier ones.
                continue;
            }
            self.record_resume();
            return Ok(());
        }
    }

    fn end(&mut self, before: Bytes) -> Bytes {
        if let Some(mut source) = self.source.take() {
            source.attempt.set_done();
        }
        self.dispatch.record_outcome(Outcome::Answered, None);
        let end = EndData {
            outcome: Outcome::Answered,
            tokens: self.relay.next(),
            weights: self.weights,
            epoch: self.epoch,
        };
        join(before, event("end", &end))
    }

    fn fail(&mut self, denial: &Denial) -> Bytes {
        self.source = None;
        let reason = match denial {
            Denial::Unknown(reason) => *reason,
            // The stream has started, so its request can't count as not run.
            Denial::Bad(..) | Denial::NotRun(..) => UnknownReason::Cut,
        };
        self.dispatch.record_outcome(Outcome::Unknown, None);
        let error = ErrorData {
            outcome: Outcome::Unknown,
            reason: reason.to_string(),
        };
        event("error", &error)
    }

    fn record_token_times(&mut self, tokens: u64) {
        if tokens == 0 {
            return;
        }
        let now = Instant::now();
        let head = self.dispatch.head();
        match self.last_token.replace(now) {
            None => {
                let wait = now.saturating_duration_since(head.arrived);
                self.times.first_token.observe(wait.as_secs_f64());
            }
            Some(last) => {
                let gap = now.saturating_duration_since(last);
                self.times.between_tokens.observe(gap.as_secs_f64());
            }
        }
    }

    fn record_resume(&self) {
        let head = self.dispatch.head();
        let next = self.relay.next().to_string();
        events::STREAM_RESUMED.emit(&[("request", &head.id), ("from", &next)]);
        self.dispatch.count_resume();
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if self.source.is_some() {
            self.dispatch.count_caller_gone();
        }
    }
}

fn join(before: Bytes, last: Bytes) -> Bytes {
    if before.is_empty() {
        return last;
    }
    [before, last].concat().into()
}

fn event<T>(name: &str, data: &T) -> Bytes
where
    T: Serialize,
{
    let data = serde_json::to_string(data).unwrap_or_default();
    Bytes::from(format!("event: {name}\ndata: {data}\n\n"))
}
