//! How a stream goes on at another upstream.

use std::time::{Duration, Instant};

use wagtailreel_route::direct::{Ending, Next};

use super::{BrokenOff, Mode, Relay};
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::replacement::Replaced;
use crate::response::UpstreamResponse;

impl<D> Relay<D>
where
    D: Dialect,
{
    /// Goes on at the other upstream if it answered with the rest of the stream. Returns whether it did.
    pub(super) fn take_over(
        &mut self,
        other: Replaced<D>,
        since: Instant,
        why: &'static str,
    ) -> bool {
        let Ok(resp) = other.answer else {
            return false;
        };
        if !resp.has_plain_text() {
            return false;
        }
        if let Mode::Events(splitter) = &mut self.mode {
            splitter.restart();
        }
        self.call.take_over(other.call, since, Ending::Lost, why);
        self.log.resumed(resp.upstream());
        self.resp = Some(Box::new(resp));
        self.has_first_event = false;
        true
    }

    /// Resumes the stream at another upstream if the route and the retry budget allow it.
    pub(super) async fn resume(&mut self, why: &'static str) -> Result<(), BrokenOff> {
        let Some(resp) = self.resp.take() else {
            return Err(BrokenOff);
        };
        let upstream = resp.upstream().to_owned();
        // Ends the work at the lost upstream before another one starts it.
        drop(resp);
        let next = self.call.ended(&upstream, Ending::Lost, why).await;
        let Mode::Events(splitter) = &mut self.mode else {
            self.log.finish(why);
            return Err(BrokenOff);
        };
        if next != Next::Again || !splitter.is_resumable() {
            self.log.finish(why);
            return Err(BrokenOff);
        }
        splitter.restart();
        let last = splitter.last();
        match self.obtain(last).await {
            Ok(resp) if resp.has_plain_text() => {
                self.log.resumed(resp.upstream());
                self.resp = Some(Box::new(resp));
                self.has_first_event = false;
                Ok(())
            }
            Ok(_) => {
                self.log.finish("resume-failed");
                Err(BrokenOff)
            }
            Err(refusal) => {
                self.log.finish_refused(refusal);
                Err(BrokenOff)
            }
        }
    }

    async fn obtain(&mut self, last: Option<u64>) -> Result<UpstreamResponse, Refusal> {
        let now = Instant::now();
        let left: Duration = self.call.admitted.deadline.saturating_duration_since(now);
        let obtained = tokio::time::timeout(left, self.call.obtain(last)).await;
        obtained.unwrap_or(Err(Refusal::Timeout))
    }
}
