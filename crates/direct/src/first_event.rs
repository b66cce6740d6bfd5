//! The first event of an upstream that is to replace a stalled one.

use std::pin::Pin;
use std::time::Instant;

use bytes::BytesMut;
use futures::FutureExt as _;
use futures::future::{Fuse, FusedFuture as _};
use http_body_util::BodyExt as _;
use wagtailreel_route::direct::Ending;

use crate::attempt::{Abandoned, Call, ExchangeResult, QUARANTINED, STALLED};
use crate::dialect::Dialect;
use crate::event_splitter::{EventSplitter, Split};
use crate::relay::MAX_ANSWER_BYTES;
use crate::replacement::{REPLACE_INTERVAL, StallCheck, replaced};
use crate::response::UpstreamResponse;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Reads an answer until its first event after `last_event` is complete, or its end. What was read is
    /// stored in the response.
    ///
    /// If the answer stalls, another upstream is looked for meanwhile.
    pub(crate) async fn read_first_event(
        &self,
        mut resp: UpstreamResponse,
        last_event: Option<u64>,
    ) -> ExchangeResult<D> {
        let since = Instant::now();
        let mut splitter = EventSplitter::new(last_event);
        let mut read = BytesMut::new();
        let mut replacement: Fuse<Pin<Box<_>>> = Fuse::terminated();
        let mut wait_until = since;
        loop {
            let is_replacing = !replacement.is_terminated();
            let now = Instant::now();
            let wait = match self.check_stall(since, false) {
                StallCheck::Outdated if is_replacing => {
                    // Ends the work at the stalled upstream.
                    drop(resp);
                    return Err(replaced(replacement.await, Ending::Lost, STALLED));
                }
                StallCheck::Outdated => return Err(Abandoned::Ended(Ending::Lost, STALLED)),
                StallCheck::Wait(wait) => wait,
                StallCheck::Stalled if self.is_quarantined() => {
                    return Err(Abandoned::Ended(Ending::Lost, QUARANTINED));
                }
                StallCheck::Stalled if is_replacing || now < wait_until => REPLACE_INTERVAL,
                StallCheck::Stalled => {
                    if let Some(call) = self.begin_replacement() {
                        // Boxed, as the replacement may stall as well.
                        replacement = Box::pin(call.replace(last_event)).fuse();
                    }
                    wait_until = now + REPLACE_INTERVAL;
                    continue;
                }
            };
            let why = tokio::select! {
                biased;
                frame = resp.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let data = frame.into_data().unwrap_or_default();
                        read.extend_from_slice(&data);
                        match splitter.push(&data) {
                            Split::Broken => "gap",
                            _ if read.len() > MAX_ANSWER_BYTES => "endless-body",
                            Split::Events(events) if events.is_empty() => continue,
                            Split::Events(_) => {
                                resp.read_ahead = Some(read.freeze());
                                return Ok(resp);
                            }
                        }
                    }
                    None if splitter.is_complete() => {
                        resp.read_ahead = Some(read.freeze());
                        return Ok(resp);
                    }
                    None => "cut",
                    Some(Err(_)) => "broken",
                },
                other = &mut replacement, if is_replacing => {
                    if other.is_success() {
                        return Err(replaced(other, Ending::Lost, STALLED));
                    }
                    continue;
                }
                () = tokio::time::sleep(wait) => continue,
            };
            drop(resp);
            if is_replacing {
                let ((), other) = tokio::join!(self.record_loss(why), replacement);
                return Err(replaced(other, Ending::Lost, why));
            }
            return Err(Abandoned::Ended(Ending::Lost, why));
        }
    }
}
