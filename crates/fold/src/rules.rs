//! The rule by which an edit is accepted or refused.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wagtailreel_core::{
    Document, EditId, Epoch, ModelRef, Offset, ServiceKind, ServiceName, ServiceState, TeamName,
};

/// Why an edit is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// Another edit was accepted since the revision that the operator edited.
    #[display("another edit came first: read the document again and edit that")]
    StaleBase,
    /// The edit is based on a revision that the service has not reached.
    #[display("its base is not a revision of the service: read the document again and edit that")]
    BaseAhead,
    /// An edit that the fold has not read was accepted on the same base. It may be an earlier
    /// submission of this edit.
    #[display("it may have been accepted before: read the document again and compare")]
    Unclear,
    /// The service belongs to another team.
    #[display("the service belongs to another team: take another name")]
    NotOwner,
    /// The document names another service than the record.
    #[display("the document names another service: correct `service`")]
    WrongService,
}

/// The accepted edit that is in the place of a refused one.
#[derive(Clone, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[display("{} of {team} at revision {revision}", edit_id.as_deref().unwrap_or("unknown edit"))]
pub struct Winner {
    /// The service's revision.
    pub revision: Offset,
    /// Team that owns the service.
    pub team: TeamName,
    /// The edit that made the revision, if the fold has seen it.
    pub edit_id: Option<EditId>,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, Snafu)]
#[snafu(display("{reason}{}", winner_suffix(winner.as_ref())))]
pub struct Refusal {
    /// Why the edit is refused.
    pub reason: RefusalReason,
    /// The accepted edit; `None` if the service does not exist.
    pub winner: Option<Winner>,
}

fn winner_suffix(winner: Option<&Winner>) -> String {
    winner.map_or_else(String::new, |winner| format!(" [stands: {winner}]"))
}

/// One edit, as recorded in the log.
#[derive(Clone, Debug)]
pub(crate) struct Edit {
    pub(crate) edit_id: EditId,
    pub(crate) team: TeamName,
    pub(crate) base: Offset,
    pub(crate) document: Option<Box<Document>>,
    pub(crate) service: ServiceName,
}

/// Checks whether `team` may edit the service on `base`, given the service's state.
///
/// A deleted service keeps its revision and its team, so an edit of an earlier revision can't
/// restore it, and no other team can take its name.
pub(crate) fn check_base(
    current: Option<&ServiceState>,
    team: &str,
    base: Offset,
) -> Result<(), RefusalReason> {
    if current.is_some_and(|state| state.team != team) {
        return Err(RefusalReason::NotOwner);
    }
    let revision = current.map_or(0, |state| state.revision);
    if base < revision {
        return Err(RefusalReason::StaleBase);
    }
    if base > revision {
        return Err(RefusalReason::BaseAhead);
    }
    Ok(())
}

/// Decides an edit at `offset` from the service's state alone.
///
/// The invariant of the fold depends on this function using nothing else, such as the history of
/// edits: two folds with the same state of a service decide alike, whatever the source of that state.
pub(crate) fn decide(
    current: Option<&ServiceState>,
    edit: Edit,
    offset: Offset,
) -> Result<ServiceState, RefusalReason> {
    let named = edit.document.as_ref().map(|document| &document.service);
    if named.is_some_and(|name| *name != edit.service) {
        return Err(RefusalReason::WrongService);
    }
    check_base(current, &edit.team, edit.base)?;
    let epoch = next_epoch(current, edit.document.as_deref(), offset);
    Ok(ServiceState {
        service: edit.service,
        team: edit.team,
        revision: offset,
        epoch,
        document: edit.document,
    })
}

/// Returns `offset` if `document` changes what the engine loads, and the current epoch otherwise.
fn next_epoch(
    current: Option<&ServiceState>,
    document: Option<&Document>,
    offset: Offset,
) -> Epoch {
    match current {
        Some(state) if engine_contents(state.document.as_deref()) == engine_contents(document) => {
            state.epoch
        }
        _ => offset,
    }
}

fn engine_contents(document: Option<&Document>) -> Option<(ServiceKind, Vec<ModelRef>)> {
    document.map(|document| (document.kind, document.parts()))
}
