//! Appends snapshots of the state to the log before the records that they replace lapse.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use tokio_util::sync::CancellationToken;
use wagtailreel_adapters::LogService;
use wagtailreel_core::VmId;
use wagtailreel_fold::{LogHead, SnapshotRule, encode_config, snapshot_wait};

use crate::config::ConfigBook;
use crate::events;
use crate::follower::StreamSink as _;
use crate::vms::KnownVms;

/// How much longer each rank waits than the one before, whose snapshot is read by then.
const RANK_DELAY: Duration = Duration::from_secs(3);

/// Appends snapshots when they are due, until `cancel`.
pub(crate) async fn append_due_snapshots<L>(
    log: L,
    book: Arc<ConfigBook>,
    vms: Arc<KnownVms>,
    me: VmId,
    rule: SnapshotRule,
    cancel: CancellationToken,
) where
    L: LogService,
{
    let mut head = book.head();
    loop {
        let changed = cancel.run_until_cancelled(head.changed()).await;
        if !matches!(changed, Some(Ok(()))) {
            return;
        }
        let Some(now_head) = *head.borrow_and_update() else {
            continue;
        };
        if !is_due(&book, now_head, rule) {
            continue;
        }
        let names = vms.entry_names();
        let at = book.applied();
        let wait = snapshot_wait(names.iter().map(String::as_str), &me, at, RANK_DELAY);
        let waited = cancel.run_until_cancelled(tokio::time::sleep(wait)).await;
        if waited.is_none() {
            return;
        }
        // Another entry's snapshot may have been read in the meantime.
        let latest = book.head().borrow().unwrap_or(now_head);
        if is_due(&book, latest, rule) {
            append(&log, &book).await;
        }
    }
}

fn is_due(book: &ConfigBook, head: LogHead, rule: SnapshotRule) -> bool {
    book.with_fold(|fold| fold.snapshot_due(head, SystemTime::now(), rule))
}

async fn append<L>(log: &L, book: &ConfigBook)
where
    L: LogService,
{
    let Some(record) = book.with_fold(|fold| fold.snapshot()) else {
        return;
    };
    let encoded = match encode_config(&record) {
        Ok(encoded) => encoded,
        Err(err) => return report_failed(&err.to_string()),
    };
    match log.append(ConfigBook::STREAM, encoded).await {
        Ok(offset) => {
            book.with_fold(|fold| fold.note_snapshot(offset));
            let offset = offset.to_string();
            events::SNAPSHOT_APPENDED.emit(&[("offset", &offset)]);
        }
        // The snapshot may be in the log nevertheless; a second one does no harm.
        Err(err) => report_failed(&err.to_string()),
    }
}

fn report_failed(reason: &str) {
    events::APPEND_FAILED.emit(&[("stream", ConfigBook::STREAM), ("reason", reason)]);
}
