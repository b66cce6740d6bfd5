//! Results of the latest edits of each service.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtailreel_core::{Digest, EditId, Epoch, Offset, ServiceName, TeamName};

use crate::rules::Refusal;

/// Maximum number of edits that are kept for each service.
const MAX_KEPT_EDITS: usize = 256;

/// Maximum number of edits of each service in a snapshot, so that a snapshot stays far below the
/// maximum length of a record.
const MAX_SNAPSHOT_EDITS: usize = 8;

/// Maximum number of edits that a history lists.
const MAX_LISTED_EDITS: usize = 64;

/// Decision of the fold about an edit.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum Verdict {
    /// The edit is the service's state as of `revision`.
    #[display("accepted at revision {revision}, epoch {epoch}")]
    Accepted {
        /// The new revision.
        revision: Offset,
        /// The epoch of the revision.
        epoch: Epoch,
    },
    /// The edit changed nothing.
    #[display("refused: {refusal}")]
    Refused {
        /// The reason, and the accepted edit that is in its place.
        refusal: Refusal,
    },
}

/// One edit and its result.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{edit_id} was {verdict}")]
pub struct EditResult {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifies the submission.
    pub edit_id: EditId,
    /// Team that submitted it.
    pub team: TeamName,
    /// The revision that the operator edited.
    pub base: Offset,
    /// Digest of the edit, which distinguishes a re-send from another edit with the same id.
    pub digest: Digest,
    /// The decision.
    pub verdict: Verdict,
}

/// The latest edits of each service, oldest first.
///
/// The history only serves answers to operators. The state never depends on it, because two folds
/// may keep different edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct EditHistory {
    services: BTreeMap<ServiceName, VecDeque<EditResult>>,
}

impl EditHistory {
    /// Adds `result`, which is newer than all others of `service`.
    pub(crate) fn push(&mut self, service: &str, result: EditResult) {
        let edits = self.services.entry(service.to_owned()).or_default();
        edits.push_back(result);
        if edits.len() > MAX_KEPT_EDITS {
            edits.pop_front();
        }
    }

    /// Returns the latest edit `edit_id` of `service`.
    pub(crate) fn find(&self, service: &str, edit_id: &str) -> Option<&EditResult> {
        self.newest_first(service)
            .find(|result| result.edit_id == edit_id)
    }

    /// Returns the edit of which a record with `edit_id` and `digest` is a re-send.
    pub(crate) fn find_same(
        &self,
        service: &str,
        edit_id: &str,
        digest: Digest,
    ) -> Option<&EditResult> {
        self.newest_first(service)
            .find(|result| result.edit_id == edit_id && result.digest == digest)
    }

    /// Returns the id of the edit that was accepted at `revision`.
    pub(crate) fn accepted_at(&self, service: &str, revision: Offset) -> Option<&EditId> {
        self.newest_first(service)
            .find(|result| {
                result.offset == revision && matches!(result.verdict, Verdict::Accepted { .. })
            })
            .map(|result| &result.edit_id)
    }

    /// Returns whether the history holds the edit that was accepted on `base`. There is at most one,
    /// so every other edit on that base must have been refused.
    pub(crate) fn has_successor(&self, service: &str, base: Offset) -> bool {
        self.newest_first(service)
            .any(|result| result.base == base && matches!(result.verdict, Verdict::Accepted { .. }))
    }

    /// Returns the latest edits of `service`, newest first.
    pub(crate) fn history(&self, service: &str) -> Vec<EditResult> {
        self.newest_first(service)
            .take(MAX_LISTED_EDITS)
            .cloned()
            .collect()
    }

    /// Returns the edits that go into a snapshot.
    pub(crate) fn for_snapshot(&self) -> Self {
        let newest = |edits: &VecDeque<EditResult>| {
            let skipped = edits.len().saturating_sub(MAX_SNAPSHOT_EDITS);
            edits.iter().skip(skipped).cloned().collect()
        };
        Self {
            services: self
                .services
                .iter()
                .map(|(service, edits)| (service.clone(), newest(edits)))
                .collect(),
        }
    }

    /// Adds the edits of `other` that this history lacks, in the order of their offsets.
    pub(crate) fn merge(&mut self, other: Self) {
        for (service, theirs) in other.services {
            let ours = self.services.entry(service).or_default();
            let mut all: BTreeMap<Offset, EditResult> = BTreeMap::new();
            for result in theirs.into_iter().chain(ours.drain(..)) {
                all.insert(result.offset, result);
            }
            let skipped = all.len().saturating_sub(MAX_KEPT_EDITS);
            ours.extend(all.into_values().skip(skipped));
        }
    }

    fn newest_first(&self, service: &str) -> impl Iterator<Item = &EditResult> {
        self.services.get(service).into_iter().flatten().rev()
    }
}
