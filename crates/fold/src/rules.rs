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
    /// The base has been built upon, by an edit that the fold has not read: it may be this one,
    /// sent before.
    #[display("it may have been accepted before: read the document again and compare")]
    Unclear,
    /// The service belongs to another team.
    #[display("the service belongs to another team: take another name")]
    NotOwner,
    /// The document names another service than the record.
    #[display("the document names another service: correct `service`")]
    WrongService,
}

/// The accepted edit that stands where a refused one wanted to go.
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
    /// What stands instead; none if the service does not exist.
    pub winner: Option<Winner>,
}

fn winner_suffix(winner: Option<&Winner>) -> String {
    winner.map_or_else(String::new, |winner| format!(" [stands: {winner}]"))
}

/// One edit as the log carries it.
#[derive(Clone, Debug)]
pub(crate) struct Edit {
    pub(crate) edit_id: EditId,
    pub(crate) team: TeamName,
    pub(crate) base: Offset,
    pub(crate) document: Option<Box<Document>>,
    pub(crate) service: ServiceName,
}

/// Decides whether `team` may put something on top of `base`, given the service's state.
///
/// A deleted service keeps its revision and its team, so an edit of what it was before can't
/// bring it back, and no other team can take its name.
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
/// The invariant of the whole fold rests on this: nothing else is looked at, such as which edits
/// are remembered. Two folds that hold the same state of a service decide alike, however they
/// came by it.
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

/// Returns `offset` if `document` changes what is loaded, else the epoch that is.
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
