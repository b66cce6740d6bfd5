//! Passes answers on to callers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::Stream;
use futures::stream::unfold;
use http_body::Frame;
use http_body_util::BodyExt as _;
use snafu::Snafu;

use crate::attempt::{Call, STALLED};
use crate::cutter::{Cut, Cutter};
use crate::dialect::Dialect;
use crate::live::Live;
use crate::refusal::Refusal;
use crate::tally::Tally;
use wagtailreel_route::direct::{Ending, Next};

/// Longest body of an answer that is no stream which is read whole before it is passed on, so that
/// one that breaks off can be asked for again or told as a failure.
const WHOLE_BODY: usize = 256 * 1024;

/// An answer broke off after a part of it was passed on. The connection ends with it, so that the
/// caller sees that the answer isn't whole.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the answer broke off: ask for the rest or send the request again"))]
pub(crate) struct BrokenOff;

/// A whole answer, or the part that was read and the rest.
#[derive(Debug)]
pub(crate) enum Collected {
    /// The whole body.
    Whole(Bytes),
    /// The body is too long to be read whole.
    Long(Bytes, Box<Live>),
    /// The body broke off.
    Broken(String),
}

/// Reads the body of an answer, if it isn't long.
pub(crate) async fn collect(mut live: Live) -> Collected {
    let mut buf: Vec<u8> = Vec::new();
    loop {
        match live.body.frame().await {
            None => {
                live.finish();
                return Collected::Whole(Bytes::from(buf));
            }
            Some(Err(_)) => return Collected::Broken(live.upstream().to_owned()),
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                buf.extend_from_slice(&data);
                if buf.len() > WHOLE_BODY {
                    return Collected::Long(Bytes::from(buf), Box::new(live));
                }
            }
        }
    }
}

/// How a relayed answer is kept whole.
#[derive(Debug)]
enum Mode {
    /// Events, which another upstream may go on with.
    Events(Cutter),
    /// Bytes as they come.
    Bytes,
}

/// An answer on its way to the caller. Dropping it ends the work at the upstream.
#[derive(Debug)]
pub(crate) struct Relay<D> {
    call: Call<D>,
    live: Option<Box<Live>>,
    first: Option<Bytes>,
    mode: Mode,
    tally: Tally,
    /// The upstream under way has sent an event.
    has_begun: bool,
}

impl<D> Relay<D>
where
    D: Dialect,
{
    /// Makes the relay of a stream of events.
    pub(crate) fn events(call: Call<D>, live: Live, tally: Tally) -> Self {
        let cutter = Cutter::new(call.admitted.head.last_event);
        Self {
            call,
            live: Some(Box::new(live)),
            first: None,
            mode: Mode::Events(cutter),
            tally,
            has_begun: false,
        }
    }

    /// Makes the relay of a long body of which `first` was read.
    pub(crate) fn bytes(call: Call<D>, first: Bytes, live: Box<Live>, tally: Tally) -> Self {
        Self {
            call,
            live: Some(live),
            first: Some(first),
            mode: Mode::Bytes,
            tally,
            has_begun: false,
        }
    }

    /// Returns the frames for the caller.
    pub(crate) fn into_frames(self) -> impl Stream<Item = Result<Frame<Bytes>, BrokenOff>> + Send {
        unfold(Some(self), |relay| async move {
            let mut relay = relay?;
            match relay.next().await {
                Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(relay))),
                Ok(None) => {
                    relay.tally.done("answered");
                    None
                }
                Err(BrokenOff) => Some((Err(BrokenOff), None)),
            }
        })
    }

    /// Returns the next bytes for the caller, none after the last.
    async fn next(&mut self) -> Result<Option<Bytes>, BrokenOff> {
        if let Some(first) = self.first.take() {
            return Ok(Some(first));
        }
        loop {
            let ending = match self.read().await {
                Read::Data(data) => match self.cut(&data) {
                    Some(out) if out.is_empty() => continue,
                    Some(out) => {
                        self.begin();
                        self.tally.first_byte();
                        return Ok(Some(out));
                    }
                    None => "gap",
                },
                Read::End if self.is_whole() => {
                    if let Some(live) = self.live.take() {
                        if live.is_framed() {
                            self.call.finished();
                        }
                        live.finish();
                    }
                    return Ok(None);
                }
                Read::End => "cut",
                Read::Broken => "broken",
                Read::Stalled => STALLED,
                Read::Late => {
                    self.tally.done("timeout");
                    return Err(BrokenOff);
                }
            };
            self.resume(ending).await?;
        }
    }

    /// Takes that the upstream under way has sent an event.
    fn begin(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.call.begun();
        }
        if let Some(live) = &mut self.live {
            live.lease.begun();
        }
    }

    async fn read(&mut self) -> Read {
        let since = Instant::now();
        let Some(live) = &mut self.live else {
            return Read::Broken;
        };
        let is_repeatable = self.call.admitted.route.kind.repeatable();
        loop {
            let now = Instant::now();
            let left = self.call.admitted.deadline.saturating_duration_since(now);
            let look = if is_repeatable {
                self.call.next_check(since, self.has_begun)
            } else {
                Some(left)
            };
            let Some(look) = look.map(|look| look.min(left)) else {
                return Read::Stalled;
            };
            match tokio::time::timeout(look, live.body.frame()).await {
                Ok(None) => return Read::End,
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    return Read::Data(data);
                }
                Ok(Some(Err(_))) => return Read::Broken,
                Err(_) if look == left => return Read::Late,
                Err(_) => {}
            }
        }
    }

    /// Returns what of `data` the caller gets, none if the stream is broken.
    fn cut(&mut self, data: &Bytes) -> Option<Bytes> {
        match &mut self.mode {
            Mode::Bytes => Some(data.clone()),
            Mode::Events(cutter) => match cutter.push(data) {
                Cut::Events(events) => {
                    self.tally.passed_on(cutter.events());
                    Some(events)
                }
                Cut::Broken => None,
            },
        }
    }

    fn is_whole(&self) -> bool {
        match &self.mode {
            Mode::Bytes => true,
            Mode::Events(cutter) => !cutter.is_mid_event(),
        }
    }

    /// Goes on at another upstream where that is allowed.
    async fn resume(&mut self, why: &'static str) -> Result<(), BrokenOff> {
        let Some(live) = self.live.take() else {
            return Err(BrokenOff);
        };
        let upstream = live.upstream().to_owned();
        // Ends the work at the upstream before another begins with it.
        drop(live);
        let next = self.call.ended(&upstream, Ending::Lost, why).await;
        let Mode::Events(cutter) = &mut self.mode else {
            self.tally.done(why);
            return Err(BrokenOff);
        };
        if next != Next::Again {
            self.tally.done(why);
            return Err(BrokenOff);
        }
        cutter.restart();
        let last = cutter.last();
        match self.obtain(last).await {
            Ok(live) if live.head.status.is_success() => {
                self.tally.resumed(live.upstream());
                self.live = Some(Box::new(live));
                self.has_begun = false;
                Ok(())
            }
            Ok(_) => {
                self.tally.done("resume-failed");
                Err(BrokenOff)
            }
            Err(refusal) => {
                self.tally.done_by(refusal);
                Err(BrokenOff)
            }
        }
    }

    async fn obtain(&mut self, last: Option<u64>) -> Result<Live, Refusal> {
        let now = Instant::now();
        let left: Duration = self.call.admitted.deadline.saturating_duration_since(now);
        let obtained = tokio::time::timeout(left, self.call.obtain(last)).await;
        obtained.unwrap_or(Err(Refusal::Timeout))
    }
}

/// What was read of an answer.
enum Read {
    Data(Bytes),
    /// The answer ended as its framing says.
    End,
    /// The connection broke.
    Broken,
    /// Nothing came for too long, and another upstream may go on.
    Stalled,
    /// The request's time is over.
    Late,
}
