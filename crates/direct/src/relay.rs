//! Relays answers of upstreams to callers.

mod resume;

use std::time::Instant;

use bytes::Bytes;
use futures::Stream;
use futures::future::{Fuse, FusedFuture as _, FutureExt as _};
use futures::stream::unfold;
use http_body::Frame;
use http_body_util::BodyExt as _;
use snafu::Snafu;

use crate::attempt::{Call, QUARANTINED, STALLED};
use crate::dialect::Dialect;
use crate::event_splitter::{EventSplitter, Split};
use crate::front::MAX_UNREAD;
use crate::replacement::{REPLACE_INTERVAL, StallCheck};
use crate::request_log::RequestLog;
use crate::response::UpstreamResponse;

/// Maximum bytes of an answer, in case that it has no end. They take 9 s on a link of 60 Mbit/s, which is longer
/// than any deadline.
pub(crate) const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Maximum bytes that are relayed after the deadline, as long as they have arrived already. The receive buffer
/// of a socket holds no more for an answer that its upstream has sent in time.
const MAX_LATE_BYTES: usize = 256 * 1024;

/// An answer broke off after a part of it was relayed. The error closes the connection, so that the caller
/// sees that the answer is incomplete.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer broke off: resume it after its last event or send the request again"))]
pub(crate) struct BrokenOff;

/// How the bytes of an answer are relayed.
#[derive(Debug)]
enum Mode {
    /// Event by event, so that another upstream can resume the stream.
    Events(EventSplitter),
    /// As they come.
    Bytes,
}

/// An answer that is relayed to the caller. Dropping it closes the connection to the upstream, which ends
/// its work.
#[derive(Debug)]
pub(crate) struct Relay<D> {
    call: Call<D>,
    resp: Option<Box<UpstreamResponse>>,
    first: Option<Bytes>,
    mode: Mode,
    log: RequestLog,
    /// Whether the current upstream has sent an event.
    has_first_event: bool,
    /// Bytes that were read of the answer.
    received: usize,
    /// Bytes of them that were read after the deadline.
    received_late: usize,
}

impl<D> Relay<D>
where
    D: Dialect,
{
    /// Creates the relay of an event stream.
    pub(crate) fn events(call: Call<D>, resp: UpstreamResponse, log: RequestLog) -> Self {
        let splitter = EventSplitter::new(call.admitted.head.last_event);
        Self {
            call,
            resp: Some(Box::new(resp)),
            first: None,
            mode: Mode::Events(splitter),
            log,
            has_first_event: false,
            received: 0,
            received_late: 0,
        }
    }

    /// Creates the relay of a body that is passed on as it comes, whose first part `first` was buffered.
    pub(crate) fn bytes(
        call: Call<D>,
        first: Bytes,
        resp: Box<UpstreamResponse>,
        log: RequestLog,
    ) -> Self {
        Self {
            call,
            resp: Some(resp),
            first: Some(first),
            mode: Mode::Bytes,
            log,
            has_first_event: false,
            received: 0,
            received_late: 0,
        }
    }

    /// Returns the frames for the caller.
    pub(crate) fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send {
        unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
                Ok(None) => {
                    relay.log.finish("answered");
                    None
                }
                Err(BrokenOff) => Some((Err(BrokenOff), None)),
            }
        })
    }

    /// Returns the next bytes for the caller, or `None` after the last.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        if let Some(first) = self.first.take() {
            return Ok(Some(self.call.cx.held.hold(first)));
        }
        if !self.call.cx.held.room(MAX_UNREAD).await {
            self.log.finish("no-memory");
            return Err(BrokenOff);
        }
        // Bytes that complete no event are no progress.
        let mut since = Instant::now();
        let mut replacement = std::pin::pin!(Fuse::terminated());
        let mut held_until = None;
        loop {
            let is_replacing = !replacement.is_terminated();
            let read = tokio::select! {
                biased;
                read = self.read(since, is_replacing, held_until) => read,
                other = &mut replacement, if is_replacing => {
                    if self.take_over(other, since, STALLED) {
                        since = Instant::now();
                    }
                    continue;
                }
            };
            let ending = match read {
                Read::Data(data) => match self.split(&data) {
                    Some(out) if out.is_empty() => {
                        if !self.is_mid_event() {
                            since = Instant::now();
                        }
                        continue;
                    }
                    Some(out) => {
                        self.went_on(is_replacing, since);
                        self.on_event();
                        self.log.first_byte();
                        return Ok(Some(self.call.cx.held.hold(out)));
                    }
                    None => "gap",
                },
                Read::Gap => "gap",
                Read::End if !self.is_complete() => "cut",
                Read::End if self.is_unframed_without_event() => "no-event",
                Read::End => {
                    if self.finish().await {
                        self.went_on(is_replacing, since);
                        return Ok(None);
                    }
                    "ended-with-upstream"
                }
                Read::Broken => "broken",
                Read::TooLong => "endless-body",
                Read::Stalled if self.call.is_quarantined() => QUARANTINED,
                Read::Stalled => {
                    if let Some(call) = self.call.begin_replacement() {
                        replacement.set(call.replace(self.last_event()).fuse());
                    } else if held_until.is_none() {
                        self.call.record_stall("kept", since, None);
                    }
                    held_until = Some(Instant::now() + REPLACE_INTERVAL);
                    continue;
                }
                Read::Outdated => STALLED,
                Read::TimedOut => {
                    if is_replacing || held_until.is_some() {
                        self.call.record_stall("timeout", since, None);
                    }
                    self.log.finish("timeout");
                    return Err(BrokenOff);
                }
            };
            if is_replacing && self.resp.take().is_some() {
                let ((), other) = tokio::join!(self.call.record_loss(ending), &mut replacement);
                if self.take_over(other, since, ending) {
                    since = Instant::now();
                    continue;
                }
                self.log.finish(ending);
                return Err(BrokenOff);
            }
            self.resume(ending).await?;
            since = Instant::now();
        }
    }

    /// Logs that the stalled upstream went on before another one answered.
    fn went_on(&self, is_replacing: bool, since: Instant) {
        if is_replacing {
            self.call.record_stall("went-on", since, None);
        }
    }

    /// Returns the last event that was passed on.
    fn last_event(&self) -> Option<u64> {
        match &self.mode {
            Mode::Events(splitter) => splitter.last(),
            Mode::Bytes => None,
        }
    }

    /// Ends the answer of the current upstream, unless it ended because the upstream crashed. Returns whether
    /// it is complete.
    async fn finish(&mut self) -> bool {
        let Some(resp) = &self.resp else {
            return true;
        };
        let (status, is_framed) = (resp.head.status, resp.is_framed());
        let is_complete = self.call.answer_ended(status, is_framed).await;
        if is_complete && let Some(resp) = self.resp.take() {
            resp.finish();
        }
        is_complete
    }

    /// Records that the current upstream has sent an event.
    fn on_event(&mut self) {
        if !std::mem::replace(&mut self.has_first_event, true) {
            self.call.record_first_event();
        }
        if let Some(resp) = &mut self.resp {
            resp.lease.answer_started();
        }
    }

    /// Reads the next bytes of the answer, whose last event came at `since`. A stall is not reported while a
    /// replacement is looked for, and before `held_until`.
    async fn read(
        &mut self,
        since: Instant,
        is_replacing: bool,
        held_until: Option<Instant>,
    ) -> Read {
        let is_resumable = self.is_resumable();
        if matches!(&self.mode, Mode::Events(splitter) if splitter.is_broken()) {
            return Read::Gap;
        }
        let Some(resp) = &mut self.resp else {
            return Read::Broken;
        };
        if let Some(data) = resp.read_ahead.take() {
            self.received = self.received.saturating_add(data.len());
            return Read::Data(data);
        }
        loop {
            let now = Instant::now();
            let left = self.call.admitted.deadline.saturating_duration_since(now);
            let check = if is_resumable {
                self.call.check_stall(since, self.has_first_event)
            } else {
                StallCheck::Wait(left)
            };
            let is_held = is_replacing || held_until.is_some_and(|until| now < until);
            let wait = match check {
                StallCheck::Wait(wait) => wait,
                StallCheck::Stalled if is_held => REPLACE_INTERVAL,
                StallCheck::Stalled => return Read::Stalled,
                StallCheck::Outdated => return Read::Outdated,
            };
            let wait = wait.min(left);
            match tokio::time::timeout(wait, resp.body.frame()).await {
                Ok(None) => return Read::End,
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    self.received = self.received.saturating_add(data.len());
                    if left.is_zero() {
                        self.received_late = self.received_late.saturating_add(data.len());
                    }
                    if self.received > MAX_ANSWER_BYTES {
                        return Read::TooLong;
                    }
                    if self.received_late > MAX_LATE_BYTES {
                        return Read::TimedOut;
                    }
                    return Read::Data(data);
                }
                Ok(Some(Err(_))) => return Read::Broken,
                Err(_) if wait == left => return Read::TimedOut,
                Err(_) => {}
            }
        }
    }

    /// Returns the part of `data` to relay, or `None` if the stream is broken.
    fn split(&mut self, data: &Bytes) -> Option<Bytes> {
        match &mut self.mode {
            Mode::Bytes => Some(data.clone()),
            Mode::Events(splitter) => match splitter.push(data) {
                Split::Events(events) => {
                    self.log.set_events(splitter.events());
                    Some(events)
                }
                Split::Broken => None,
            },
        }
    }

    fn is_complete(&self) -> bool {
        match &self.mode {
            Mode::Bytes => true,
            Mode::Events(splitter) => splitter.is_complete(),
        }
    }

    /// Returns whether another upstream may go on after the last event that was passed on.
    fn is_resumable(&self) -> bool {
        let is_repeatable = self.call.admitted.route.kind.repeatable();
        is_repeatable && matches!(&self.mode, Mode::Events(splitter) if splitter.is_resumable())
    }

    fn is_mid_event(&self) -> bool {
        matches!(&self.mode, Mode::Events(splitter) if splitter.is_mid_event())
    }

    /// Returns whether a stream has no event at all and ends with the connection, so that it may have been cut off
    /// behind its head. A resumed stream may have none left.
    fn is_unframed_without_event(&self) -> bool {
        let is_unframed = self.resp.as_ref().is_some_and(|resp| !resp.is_framed());
        let has_event = self.has_first_event || self.last_event().is_some();
        is_unframed && matches!(self.mode, Mode::Events(_)) && !has_event
    }
}

/// Outcome of one read of an answer's body.
enum Read {
    Data(Bytes),
    /// What follows the events that were passed on is out of order.
    Gap,
    /// The end of the body.
    End,
    /// The connection broke.
    Broken,
    /// The answer is longer than allowed.
    TooLong,
    /// The stall timeout has passed, and another upstream may resume the stream.
    Stalled,
    /// The stream may not begin at its upstream any more.
    Outdated,
    /// The deadline of the request has passed.
    TimedOut,
}
