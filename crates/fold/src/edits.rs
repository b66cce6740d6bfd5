//! What became of the latest edits of each service.

use std::collections::{BTreeMap, VecDeque};

use derive_more::Display;
use serde::{Deserialize, Serialize};
use wagtailreel_core::{Digest, EditId, Epoch, Offset, ServiceName, TeamName};

use crate::rules::Refusal;

/// Edits that are remembered for each service.
const MAX_KEPT_EDITS: usize = 256;

/// Edits of each service that a snapshot carries on, so that it stays far below the longest
/// record that the log takes.
const MAX_SNAPSHOT_EDITS: usize = 8;

/// Edits that a history lists.
const MAX_LISTED_EDITS: usize = 64;

/// What the fold decided about an edit.
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
        /// Why, and what stands instead.
        refusal: Refusal,
    },
}

/// One edit and what became of it.
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
    /// Digest of the edit, which tells a re-send from another edit under the same id.
    pub digest: Digest,
    /// What was decided.
    pub verdict: Verdict,
}

/// The latest edits of each service, oldest first.
///
/// This is for answers to operators only. The state never depends on it, because two folds need
/// not remember the same edits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct EditHistory {
    services: BTreeMap<ServiceName, VecDeque<EditResult>>,
}

impl EditHistory {
    /// Remembers `result`, which is newer than all others of `service`.
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

    /// Returns the first edit that a record with `edit_id` and `digest` is a re-send of.
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

    /// Says whether the edit is known that was accepted on top of `base`. There is one at most, so
    /// any other edit on that base is sure to have been refused.
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

    /// Returns what a snapshot carries on.
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

    /// Adds the edits of `other` that are not here, in the order of their offsets.
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
