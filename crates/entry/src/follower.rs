//! Follows one stream of the platform's log by long polls.

use std::time::Duration;

use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::{LogPage, LogService, PlatformError};
use wagtailreel_core::Offset;
use wagtailreel_fold::FoldStop;

use crate::backoff::Backoff;
use crate::events;
use crate::metrics::Metrics;

/// Maximum number of records in one page.
const MAX_PAGE_RECORDS: usize = 200;

/// How long the log may hold a poll. Periodic work of the sink is delayed by at most this time.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Consumer of the records of a stream.
pub(crate) trait StreamSink: Sync {
    /// Name of the stream.
    const STREAM: &'static str;

    /// Returns the offset to read next. After a failure, this is one from which the sink can check
    /// that the log is still the same.
    fn next(&self, after_failure: bool) -> Offset;

    /// Returns the offset of the last record applied.
    fn applied(&self) -> Offset;

    /// Applies a page. `applied` is the value of [`StreamSink::applied`] before the page was read.
    ///
    /// # Errors
    ///
    /// Returns why the sink applies no more records.
    fn apply_page(&self, page: &LogPage, applied: Offset) -> Result<(), FoldStop>;

    /// Records that the log keeps only `first` to `next`. Returns whether unread records were lost.
    ///
    /// # Errors
    ///
    /// Returns why the sink applies no more records.
    fn on_lapsed(&self, first: Offset, next: Offset, applied: Offset) -> Result<bool, FoldStop>;

    /// Records whether the stream can be read.
    fn set_readable(&self, reading: bool);

    /// Records that the sink applies no more records.
    fn on_stop(&self, stop: &FoldStop);
}

/// Follows the stream of `sink` until `cancel` or until the fold stops.
pub(crate) async fn follow<L, S>(log: L, sink: &S, metrics: &Metrics, cancel: CancellationToken)
where
    L: LogService,
    S: StreamSink,
{
    let mut backoff = Backoff::new();
    let mut unreachable = false;
    let mut check_again = false;
    loop {
        let applied = sink.applied();
        let from = sink.next(check_again);
        let read = log.read(S::STREAM, from, MAX_PAGE_RECORDS, POLL_TIMEOUT);
        let Some(result) = cancel.run_until_cancelled(read).await else {
            return;
        };
        let result = match result {
            Ok(page) => sink.apply_page(&page, applied),
            Err(PlatformError::Gone { first, next }) => handle_lapsed(sink, first, next, applied),
            Err(err) => {
                if !unreachable {
                    report_unreachable(S::STREAM, &err);
                }
                unreachable = true;
                check_again = true;
                sink.set_readable(false);
                metrics
                    .log_errors
                    .with_label_values(&[S::STREAM, "read"])
                    .inc();
                let wait = backoff.failed(err.retry_after());
                let slept = cancel.run_until_cancelled(tokio::time::sleep(wait)).await;
                if slept.is_none() {
                    return;
                }
                continue;
            }
        };
        if let Err(stop) = result {
            let reason = stop.to_string();
            events::LOG_STOPPED.emit(&[("stream", S::STREAM), ("reason", &reason)]);
            sink.set_readable(false);
            sink.on_stop(&stop);
            return;
        }
        if unreachable {
            events::LOG_BACK.emit(&[("stream", S::STREAM)]);
        }
        unreachable = false;
        check_again = false;
        backoff.reset();
        sink.set_readable(true);
    }
}

fn handle_lapsed<S>(sink: &S, first: Offset, next: Offset, applied: Offset) -> Result<(), FoldStop>
where
    S: StreamSink,
{
    if sink.on_lapsed(first, next, applied)? {
        let from = first.to_string();
        events::LOG_LAPSED.emit(&[("stream", S::STREAM), ("first", &from)]);
    }
    Ok(())
}

fn report_unreachable(stream: &str, err: &PlatformError) {
    let reason = err.to_string();
    events::LOG_AWAY.emit(&[("stream", stream), ("reason", &reason)]);
}
