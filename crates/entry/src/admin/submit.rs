//! `POST /admin/v1/services/{service}/document`: one edit of a service's document.

use std::time::Duration;

use axum::Json;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::Instant;
use wagtailreel_adapters::{Effect, LogService};
use wagtailreel_core::{ConfigRecord, Document, EditId, Offset, Outcome, TeamName};
use wagtailreel_fold::{EditResult, Refusal, RefusalReason, Verdict, encode_config};
use wagtailreel_settings::{check_document_for, is_name};

use crate::admin::Admin;
use crate::admin::auth::{Forbidden, authorize};
use crate::config::ConfigBook;
use crate::events;
use crate::follower::StreamSink as _;
use crate::front::OUTCOME;
use crate::in_force::wait_in_force;

/// How long to wait until an appended edit is read back from the log.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(5);

/// How long to wait until this entry has read a revision that the operator saw at another entry.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(2);

/// Id of an edit and the revision that it is based on.
#[derive(Debug, Deserialize)]
pub(crate) struct EditQuery {
    base: Offset,
    edit: EditId,
}

/// Result of a submission.
enum Submitted {
    Decided(EditResult),
    Problems(Value),
    BadEdit,
    /// Refused before it was appended.
    Refused(Refusal),
    Failed(Outcome, String),
}

/// Handles an edit: appends it to the log and answers once it is read back.
pub(crate) async fn submit<L>(
    State(admin): State<Admin<L>>,
    Path(service): Path<String>,
    Query(query): Query<EditQuery>,
    headers: HeaderMap,
    yaml: String,
) -> Result<Response, Forbidden>
where
    L: LogService,
{
    let team = authorize(&admin.cx, &headers, &service)?;
    let edit = query.edit.clone();
    let submitted = run(&admin, &team, &service, query, &yaml).await;
    let (status, body) = answer(&submitted);
    let code = status.as_str().to_owned();
    events::DOCUMENT_SUBMITTED.emit(&[
        ("service", &service),
        ("team", &team),
        ("edit", &edit),
        ("status", &code),
    ]);
    Ok(with_outcome(status, body))
}

/// Builds the response and copies the outcome in the body to a header. The submitting tool
/// uses the header to decide whether sending again is safe.
fn with_outcome(status: StatusCode, body: Value) -> Response {
    let outcome = body["outcome"].as_str().unwrap_or_default();
    let outcome = HeaderValue::from_str(outcome).ok();
    let mut response = (status, Json(body)).into_response();
    if let Some(outcome) = outcome.filter(|outcome| !outcome.is_empty()) {
        response.headers_mut().insert(OUTCOME, outcome);
    }
    response
}

async fn run<L>(
    admin: &Admin<L>,
    team: &TeamName,
    service: &str,
    query: EditQuery,
    yaml: &str,
) -> Submitted
where
    L: LogService,
{
    let document = match check_document_for(service, yaml) {
        Ok(document) => document,
        Err(problems) => return Submitted::Problems(json!(problems)),
    };
    if !is_name(&query.edit) {
        return Submitted::BadEdit;
    }
    let book = &admin.cx.book;
    if let Some(stop) = book.with_fold(|fold| fold.stop().cloned()) {
        return Submitted::Failed(Outcome::NotRun, stop.to_string());
    }
    if let Some(decided) = decided_before(book, service, &query, &document) {
        return decided;
    }
    if let Err(refusal) = check_edit(book, service, team, query.base).await {
        return Submitted::Refused(refusal);
    }
    let record = ConfigRecord::Edit {
        edit_id: query.edit.clone(),
        team: team.clone(),
        base: query.base,
        document: Some(Box::new(document)),
        service: service.to_owned(),
    };
    append(admin, service, &query.edit, &record).await
}

/// Checks an edit's base. This entry may not have read yet a revision that the operator saw at
/// another entry, so the check waits for a base that is ahead.
async fn check_edit(
    book: &ConfigBook,
    service: &str,
    team: &str,
    base: Offset,
) -> Result<(), Refusal> {
    let check = || book.with_fold(|fold| fold.check_edit(service, team, base));
    let is_ahead = |refusal: &Refusal| refusal.reason == RefusalReason::BaseAhead;
    let decided = |_| Some(check()).filter(|fits| !fits.as_ref().is_err_and(is_ahead));
    let until = Instant::now() + CATCH_UP_TIMEOUT;
    let fits = wait_in_force(book.offset(), until, decided).await;
    fits.unwrap_or_else(check)
}

/// Returns the recorded result of an edit that was sent again, or `None` if the edit is new.
///
/// The same id with another document is another edit, and is checked by its base.
fn decided_before(
    book: &ConfigBook,
    service: &str,
    query: &EditQuery,
    document: &Document,
) -> Option<Submitted> {
    let result = book.with_fold(|fold| fold.edit_result(service, &query.edit).cloned())?;
    if result.base != query.base {
        return None;
    }
    let Verdict::Accepted { revision, .. } = &result.verdict else {
        return Some(Submitted::Decided(result));
    };
    let view = book.view();
    let state = view.services.get(service)?;
    // After a later edit, the document of this one is no longer there to compare with. Its
    // base is stale by then, so the edit can't be accepted twice.
    let same = state.revision != *revision || state.document.as_deref() == Some(document);
    same.then_some(Submitted::Decided(result))
}

async fn append<L>(
    admin: &Admin<L>,
    service: &str,
    edit: &EditId,
    record: &ConfigRecord,
) -> Submitted
where
    L: LogService,
{
    let encoded = match encode_config(record) {
        Ok(encoded) => encoded,
        Err(err) => return Submitted::Failed(Outcome::NotRun, err.to_string()),
    };
    let book = &admin.cx.book;
    let appended = match admin.log.append(ConfigBook::STREAM, encoded).await {
        Ok(offset) => Some(offset),
        Err(err) => {
            let reason = err.to_string();
            events::APPEND_FAILED.emit(&[("stream", ConfigBook::STREAM), ("reason", &reason)]);
            if err.took_effect() == Effect::No {
                return Submitted::Failed(Outcome::NotRun, reason);
            }
            // The record may be in the log nevertheless; reading the log shows whether it is.
            None
        }
    };
    await_result(book, service, edit, appended).await
}

/// Waits until the fold has read the edit.
async fn await_result(
    book: &ConfigBook,
    service: &str,
    edit: &EditId,
    appended: Option<Offset>,
) -> Submitted {
    let until = Instant::now() + READ_BACK_TIMEOUT;
    let find = |in_force| find_result(book, service, edit, appended, in_force);
    match wait_in_force(book.offset(), until, find).await {
        Some(submitted) => submitted,
        None => {
            report_unread(book, service, edit, appended);
            let reason = "the edit was not read back: send it again with the same id";
            Submitted::Failed(Outcome::Unknown, reason.to_owned())
        }
    }
}

/// Returns the fold's result of the edit, once the records that the fold has applied are in force.
fn find_result(
    book: &ConfigBook,
    service: &str,
    edit: &EditId,
    appended: Option<Offset>,
    in_force: Offset,
) -> Option<Submitted> {
    // Reads all three under one lock: between two locks the fold could apply the record, and the
    // result would be missing although the offset says that the record is applied.
    let (found, applied, state) = book.with_fold(|fold| {
        let found = fold.edit_result(service, edit).cloned();
        let state = fold.state().services.get(service).cloned();
        (found, fold.offset(), state)
    });
    // The fold is briefly ahead of the state in force. The answer waits until the edit is in
    // force at this entry.
    if in_force < applied {
        return None;
    }
    if let Some(result) = found.filter(|result| is_same_or_earlier(result, appended)) {
        return Some(Submitted::Decided(result));
    }
    // A state from a peer has no results of edits, but it has the revision in force.
    let appended = appended.filter(|appended| *appended <= applied)?;
    if let Some(state) = state.filter(|state| state.revision == appended) {
        return Some(accepted(state.revision, state.epoch, edit, &state.team));
    }
    let reason = "the edit was read by a peer: send it again with the same id";
    Some(Submitted::Failed(Outcome::Unknown, reason.to_owned()))
}

/// Logs how far the entry has read, so that an operator can find the cause of the delay.
fn report_unread(book: &ConfigBook, service: &str, edit: &EditId, appended: Option<Offset>) {
    let applied = book.with_fold(|fold| fold.offset());
    let in_force = *book.offset().borrow();
    let log_end = (*book.head().borrow()).map(|head| head.next);
    let reading = *book.reading().borrow();
    let text = |offset: Option<Offset>| offset.map_or("unknown".to_owned(), |it| it.to_string());
    events::EDIT_UNREAD.emit(&[
        ("service", service),
        ("edit", edit),
        ("appended", &text(appended)),
        ("applied", &applied.to_string()),
        ("in_force", &in_force.to_string()),
        ("log_end", &text(log_end)),
        ("reading", &reading.to_string()),
    ]);
}

/// Returns whether `result` is of the edit that was appended at `appended`, or of an earlier copy.
fn is_same_or_earlier(result: &EditResult, appended: Option<Offset>) -> bool {
    appended.is_none_or(|appended| result.offset <= appended)
}

fn accepted(revision: Offset, epoch: Offset, edit: &EditId, team: &TeamName) -> Submitted {
    Submitted::Decided(EditResult {
        offset: revision,
        edit_id: edit.clone(),
        team: team.clone(),
        base: 0,
        digest: wagtailreel_core::Digest::new([0; 32]),
        verdict: Verdict::Accepted { revision, epoch },
    })
}

fn answer(submitted: &Submitted) -> (StatusCode, Value) {
    match submitted {
        Submitted::Decided(EditResult {
            verdict: Verdict::Accepted { revision, epoch },
            ..
        }) => (
            StatusCode::OK,
            json!({ "revision": revision, "epoch": epoch }),
        ),
        Submitted::Decided(EditResult {
            verdict: Verdict::Refused { refusal },
            ..
        })
        | Submitted::Refused(refusal) => (refusal_status(refusal), refusal_body(refusal)),
        Submitted::Problems(problems) => (
            StatusCode::UNPROCESSABLE_ENTITY,
            json!({ "problems": problems }),
        ),
        Submitted::BadEdit => (
            StatusCode::BAD_REQUEST,
            json!({ "error": "`edit` is no name: use lower case letters, digits and hyphens" }),
        ),
        Submitted::Failed(outcome, reason) => (
            StatusCode::SERVICE_UNAVAILABLE,
            json!({ "outcome": outcome, "error": reason }),
        ),
    }
}

fn refusal_status(refusal: &Refusal) -> StatusCode {
    match refusal.reason {
        RefusalReason::NotOwner => StatusCode::FORBIDDEN,
        RefusalReason::WrongService => StatusCode::UNPROCESSABLE_ENTITY,
        RefusalReason::StaleBase | RefusalReason::BaseAhead | RefusalReason::Unclear => {
            StatusCode::CONFLICT
        }
    }
}

fn refusal_body(refusal: &Refusal) -> Value {
    let winner = refusal.winner.as_ref();
    let outcome = match refusal.reason {
        RefusalReason::Unclear => Outcome::Unknown,
        _ => Outcome::NotRun,
    };
    json!({
        "outcome": outcome,
        "revision": winner.map(|winner| winner.revision),
        "team": winner.map(|winner| &winner.team),
        "edit": winner.and_then(|winner| winner.edit_id.as_ref()),
        "error": refusal.to_string(),
    })
}
