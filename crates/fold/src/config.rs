//! The fold of the stream `config`.

use std::time::SystemTime;

use serde_json::Value;
use wagtailreel_core::{ConfigRecord, Digest, Epoch, Offset, ServiceState, StateView};

use crate::applied::Applied;
use crate::codec::decode;
use crate::cursor::{Cursor, record_digest};
use crate::edits::{EditHistory, EditResult, Verdict};
use crate::rules::{Edit, Refusal, RefusalReason, Winner, check_base, decide};
use crate::snapshot::{KnownSnapshots, LogHead, SnapshotRule, SnapshotState};
use crate::snapshot_search::{Incoming, SnapshotSearch};
use crate::stop::{FoldStop, UnknownFormatSnafu};

/// The configuration, from the records of the stream `config`.
///
/// Invariant: the state of each service is the result of the whole log up to some offset, which is
/// at least [`ConfigFold::offset`] and at least the service's revision. Changes only raise that
/// offset.
#[derive(Clone, Debug, Default)]
pub struct ConfigFold {
    view: StateView,
    edits: EditHistory,
    search: Option<SnapshotSearch>,
    cursor: Cursor,
    snapshots: KnownSnapshots,
}

impl ConfigFold {
    /// Makes a fold that has applied nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the record `data`, which was appended to the log at `offset` at the time `at`.
    ///
    /// A record that was applied before is ignored. While the fold waits for a snapshot, records are
    /// buffered; the call that ends the wait returns the effects of all of them.
    ///
    /// # Errors
    ///
    /// Returns a [`FoldStop`] if the record is not the next one or can't be read. All later calls
    /// return the same stop.
    pub fn apply(
        &mut self,
        offset: Offset,
        at: SystemTime,
        data: &Value,
    ) -> Result<Vec<Applied>, FoldStop> {
        self.cursor.check_running()?;
        let applied = self.apply_next(offset, at, data);
        self.cursor.record_stop(applied)
    }

    /// Checks the end of the log.
    ///
    /// `reached` is the value of [`ConfigFold::reached`] before the log was queried, and `next` the
    /// offset that the log then returned for its next append. A value read after the query proves
    /// nothing, because the state may have come from a peer in between.
    ///
    /// # Errors
    ///
    /// Returns [`FoldStop::Shorter`] if the log ends before `reached`, or the earlier stop if the fold
    /// has already stopped.
    pub fn check_head(&mut self, reached: Offset, next: Offset) -> Result<(), FoldStop> {
        self.cursor.check_head(reached, next)
    }

    /// Continues from `first`, the oldest record that the log keeps, after the log has dropped the
    /// next one.
    ///
    /// The fold keeps serving its state unchanged until a snapshot or a peer fills the gap. Does
    /// nothing if the log still has all records that the fold needs.
    pub fn start_from(&mut self, first: Offset) {
        if first > self.next() {
            self.search = Some(SnapshotSearch::new(first));
        }
    }

    /// Merges the whole state of a peer that folds the same log: for each service the higher
    /// revision, and the higher offset.
    ///
    /// Returns the effects of buffered records that could be applied. A stopped fold merges nothing,
    /// because the records that the peer has read since may not belong on top of its state.
    pub fn restore(&mut self, view: &StateView) -> Vec<Applied> {
        if self.stop().is_some() {
            return Vec::new();
        }
        self.view.merge(view);
        self.end_scan()
    }

    /// Merges the state of one service, as an agent has it, if its revision is higher. Returns whether
    /// the state changed.
    ///
    /// The offset is unchanged, because an agent knows only its own service: records up to that
    /// revision are still applied to the other services and ignored for this one.
    pub fn merge_service(&mut self, state: &ServiceState) -> bool {
        let known = self.view.services.get(&state.service);
        let newer = known.is_none_or(|ours| ours.revision < state.revision);
        if self.stop().is_some() || !newer {
            return false;
        }
        let service = state.service.clone();
        self.view.services.insert(service, state.clone());
        true
    }

    /// Returns the state.
    pub fn state(&self) -> &StateView {
        &self.view
    }

    /// Returns the offset of the last record applied.
    pub fn offset(&self) -> Offset {
        self.view.offset
    }

    /// Returns the highest offset that is reflected in any part of the state. It is above
    /// [`ConfigFold::offset`] if an agent had a newer revision of its service.
    pub fn reached(&self) -> Offset {
        let revisions = self.view.services.values().map(|state| state.revision);
        revisions.fold(self.view.offset, Offset::max)
    }

    /// Returns the offset to read next.
    pub fn next(&self) -> Offset {
        let next = self.view.offset + 1;
        self.search.as_ref().map_or(next, SnapshotSearch::next)
    }

    /// Returns the offset to read first after an outage of the log: the last record again, so that a
    /// rewritten log is detected.
    pub fn resume_from(&self) -> Offset {
        self.cursor.resume_from(self.next())
    }

    /// Returns whether no records are missing between the state and the next record. It is `false`
    /// while the fold waits for a snapshot.
    pub fn is_ready(&self) -> bool {
        self.search.is_none()
    }

    /// Returns why the fold has stopped, if it has.
    pub fn stop(&self) -> Option<&FoldStop> {
        self.cursor.stop()
    }

    /// Returns the result of the edit `edit_id` of `service`, if the fold has read it.
    ///
    /// `None` does not mean that the edit was refused: a state from a peer does not include the edits
    /// that led to it. Sending the edit again is harmless and yields a result.
    pub fn edit_result(&self, service: &str, edit_id: &str) -> Option<&EditResult> {
        self.edits.find(service, edit_id)
    }

    /// Returns the latest edits of `service` that the fold has read, newest first.
    pub fn history(&self, service: &str) -> Vec<EditResult> {
        self.edits.history(service)
    }

    /// Checks that this state does not refuse an edit, before the edit is appended. Check
    /// [`ConfigFold::edit_result`] first, in case the edit is a re-send.
    ///
    /// An edit based on a revision that no fold has reached must never be appended. Such an edit is
    /// refused when it is first read, but a later re-send could be accepted by coincidence.
    ///
    /// # Errors
    ///
    /// Returns the refusal. [`RefusalReason::BaseAhead`] may mean only that this fold is behind the log.
    pub fn check_edit(&self, service: &str, team: &str, base: Offset) -> Result<(), Refusal> {
        let current = self.view.services.get(service);
        check_base(current, team, base).map_err(|reason| self.refusal(service, base, reason))
    }

    /// Returns the state as a snapshot record. Returns `None` if the fold has stopped, waits for a
    /// snapshot or has applied nothing.
    pub fn snapshot(&self) -> Option<ConfigRecord> {
        if self.stop().is_some() || !self.is_ready() || self.view.offset == 0 {
            return None;
        }
        let state = SnapshotState {
            view: self.view.clone(),
            edits: self.edits.for_snapshot(),
        };
        let state = serde_json::to_value(&state).ok()?;
        Some(ConfigRecord::Snapshot {
            at: self.view.offset,
            state,
        })
    }

    /// Records that this process has appended a snapshot at `offset`. No snapshot is due until the fold
    /// has read it.
    pub fn note_snapshot(&mut self, offset: Offset) {
        self.snapshots.record_appended(offset);
    }

    /// Returns whether a snapshot is due at `now`, given the bounds of the log.
    ///
    /// No snapshot is due while the fold is behind the log, because the unread records may contain a
    /// newer one.
    pub fn snapshot_due(&mut self, head: LogHead, now: SystemTime, rule: SnapshotRule) -> bool {
        let behind = self.next() < head.next;
        if behind || self.stop().is_some() || !self.is_ready() || self.view.offset == 0 {
            return false;
        }
        let at = self.view.offset;
        self.snapshots.is_due(at, head.first, now, rule)
    }

    fn apply_next(
        &mut self,
        offset: Offset,
        at: SystemTime,
        data: &Value,
    ) -> Result<Vec<Applied>, FoldStop> {
        if !self.cursor.check_offset(self.next(), offset, data)? {
            return Ok(Vec::new());
        }
        let incoming = read(offset, at, data)?;
        self.cursor.advance(offset, incoming.digest);
        if self.search.is_some() {
            return Ok(self.buffer_record(incoming));
        }
        Ok(vec![self.apply_record(incoming)])
    }

    /// Buffers a record, and ends the search if it is a snapshot that connects to the buffered records.
    fn buffer_record(&mut self, incoming: Incoming) -> Vec<Applied> {
        let taken = self.take_snapshot(&incoming);
        if let Some(search) = &mut self.search {
            search.buffer(incoming);
        }
        let mut applied: Vec<Applied> = taken.into_iter().collect();
        applied.extend(self.end_scan());
        applied
    }

    /// Merges the state of a snapshot if the snapshot can end the search.
    fn take_snapshot(&mut self, incoming: &Incoming) -> Option<Applied> {
        let ConfigRecord::Snapshot { at, state } = &incoming.record else {
            return None;
        };
        let connects = self
            .search
            .as_ref()
            .is_some_and(|search| search.connects_to(*at));
        if !connects || *at >= incoming.offset {
            return None;
        }
        let state: SnapshotState = serde_json::from_value(state.clone()).ok()?;
        self.view.merge(&state.view);
        self.view.offset = self.view.offset.max(*at);
        self.edits.merge(state.edits);
        Some(Applied::SnapshotTaken { at: *at })
    }

    /// Ends the search if the state connects to the buffered records, and applies these.
    fn end_scan(&mut self) -> Vec<Applied> {
        let offset = self.view.offset;
        let Some(search) = self.search.take_if(|search| search.connects_to(offset)) else {
            return Vec::new();
        };
        let buffered = search.into_records().into_iter();
        let later = buffered.filter(|incoming| incoming.offset > offset);
        later.map(|incoming| self.apply_record(incoming)).collect()
    }

    /// Applies the next record.
    fn apply_record(&mut self, incoming: Incoming) -> Applied {
        let offset = incoming.offset;
        self.view.offset = offset;
        match incoming.record {
            ConfigRecord::Edit {
                edit_id,
                team,
                base,
                document,
                service,
            } => {
                let edit = Edit {
                    edit_id,
                    team,
                    base,
                    document,
                    service,
                };
                self.edit(offset, incoming.digest, edit)
            }
            ConfigRecord::Snapshot { at, state } => {
                self.skip_snapshot(offset, incoming.at, at, state)
            }
        }
    }

    fn edit(&mut self, offset: Offset, digest: Digest, edit: Edit) -> Applied {
        let service = edit.service.clone();
        let current = self.view.services.get(&service);
        if let Some(state) = current.filter(|state| state.revision >= offset) {
            if state.revision == offset {
                let epoch = state.epoch;
                self.record_result(offset, digest, &edit, accepted(offset, epoch));
            }
            return Applied::Known { service, offset };
        }
        match decide(current, edit.clone(), offset) {
            Ok(state) => self.accept(digest, &edit, state),
            Err(reason) => self.refuse(offset, digest, &edit, reason),
        }
    }

    fn accept(&mut self, digest: Digest, edit: &Edit, state: ServiceState) -> Applied {
        let (revision, epoch) = (state.revision, state.epoch);
        let service = state.service.clone();
        self.record_result(revision, digest, edit, accepted(revision, epoch));
        self.view.services.insert(service.clone(), state);
        Applied::Accepted {
            service,
            edit_id: edit.edit_id.clone(),
            revision,
            epoch,
        }
    }

    fn refuse(
        &mut self,
        offset: Offset,
        digest: Digest,
        edit: &Edit,
        reason: RefusalReason,
    ) -> Applied {
        let service = edit.service.clone();
        let first = self.edits.find_same(&service, &edit.edit_id, digest);
        if let Some(first) = first.cloned() {
            return Applied::Repeated { service, first };
        }
        let refusal = self.refusal(&service, edit.base, reason);
        let verdict = Verdict::Refused {
            refusal: refusal.clone(),
        };
        self.record_result(offset, digest, edit, verdict);
        Applied::Refused {
            service,
            edit_id: edit.edit_id.clone(),
            refusal,
        }
    }

    fn record_result(&mut self, offset: Offset, digest: Digest, edit: &Edit, verdict: Verdict) {
        let result = EditResult {
            offset,
            edit_id: edit.edit_id.clone(),
            team: edit.team.clone(),
            base: edit.base,
            digest,
            verdict,
        };
        self.edits.push(&edit.service, result);
    }

    fn refusal(&self, service: &str, base: Offset, reason: RefusalReason) -> Refusal {
        let stale = reason == RefusalReason::StaleBase;
        let reason = if stale && !self.edits.has_successor(service, base) {
            RefusalReason::Unclear
        } else {
            reason
        };
        let current = self.view.services.get(service);
        let winner = current.map(|state| Winner {
            revision: state.revision,
            team: state.team.clone(),
            edit_id: self.edits.accepted_at(service, state.revision).cloned(),
        });
        Refusal { reason, winner }
    }

    /// Skips a snapshot, because the fold has already applied all records that the snapshot contains.
    fn skip_snapshot(
        &mut self,
        offset: Offset,
        time: SystemTime,
        at: Offset,
        state: Value,
    ) -> Applied {
        // A snapshot that claims to contain records after itself is unusable and does not count.
        if at < offset {
            self.snapshots.record_read(at, time);
        }
        let state: Option<SnapshotState> = serde_json::from_value(state).ok();
        let contradicts = state.map_or_else(Vec::new, |state| state.contradictions(at, &self.view));
        Applied::SnapshotIgnored { at, contradicts }
    }
}

fn accepted(revision: Offset, epoch: Epoch) -> Verdict {
    Verdict::Accepted { revision, epoch }
}

/// Decodes a record, including the state of a snapshot, so that all folds stop at the same record.
fn read(offset: Offset, at: SystemTime, data: &Value) -> Result<Incoming, FoldStop> {
    let record: ConfigRecord = match decode(data) {
        Ok(record) => record,
        Err(e) => return stop_at(offset, &e),
    };
    if let ConfigRecord::Snapshot { state, .. } = &record
        && let Err(e) = serde_json::from_value::<SnapshotState>(state.clone())
    {
        return stop_at(offset, &e);
    }
    Ok(Incoming {
        offset,
        at,
        record,
        digest: record_digest(data),
        length: data.to_string().len(),
    })
}

fn stop_at<T, E>(offset: Offset, e: &E) -> Result<T, FoldStop>
where
    E: std::error::Error,
{
    let why = e.to_string();
    UnknownFormatSnafu { offset, why }.fail()
}
