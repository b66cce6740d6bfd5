//! Reading and checking documents, and the progress of a rollout.

use std::collections::BTreeMap;

use axum::Json;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, StatusCode};
use serde::Serialize;
use serde_json::json;
use wagtailreel_adapters::LogService;
use wagtailreel_core::{
    DataCentre, Digest, Document, Epoch, Offset, ServiceName, TeamName, VmId, WeightsPhase,
};
use wagtailreel_settings::check_document_for;

use crate::admin::Admin;
use crate::admin::auth::{Forbidden, authorize};

#[derive(Serialize)]
struct DocumentAnswer<'a> {
    service: &'a ServiceName,
    team: &'a TeamName,
    revision: Offset,
    epoch: Epoch,
    document: Option<&'a Document>,
}

/// Progress of one service's rollout at each VM.
#[derive(Serialize)]
struct Rollout {
    service: ServiceName,
    revision: Offset,
    epoch: Epoch,
    /// Offset of the configuration in force at this entry.
    config: Offset,
    data_centres: BTreeMap<DataCentre, RolloutPlace>,
}

#[derive(Default, Serialize)]
struct RolloutPlace {
    /// VMs that must have loaded new weights before the data centre switches.
    ready: u32,
    /// VMs that have loaded the service's epoch.
    loaded: u32,
    /// VMs that admit requests in the service's epoch.
    open: u32,
    vms: Vec<RolloutVm>,
}

#[derive(Serialize)]
struct RolloutVm {
    vm: VmId,
    /// Whether this entry sends requests to the VM.
    standing: String,
    /// Time since the VM's last report, in milliseconds.
    age_ms: u64,
    /// Configuration offset that the agent has applied.
    config: Offset,
    /// Phase of the service's epoch, or `None` if the agent neither holds nor fetches it.
    phase: Option<WeightsPhase>,
    /// Number of chunks present, and of all chunks.
    chunks: (u32, u32),
    open: Option<Epoch>,
    open_weights: Option<Digest>,
    in_flight: u32,
    trouble: Option<String>,
}

/// Answers with the document in force.
pub(crate) async fn show<L>(
    State(admin): State<Admin<L>>,
    Path(service): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Forbidden>
where
    L: LogService,
{
    authorize(&admin.cx, &headers, &service)?;
    let view = admin.cx.book.view();
    let Some(state) = view.services.get(&service) else {
        return Ok(not_found());
    };
    let shown = DocumentAnswer {
        service: &state.service,
        team: &state.team,
        revision: state.revision,
        epoch: state.epoch,
        document: state.document.as_deref(),
    };
    Ok(Json(shown).into_response())
}

/// Checks a document without submitting it.
pub(crate) async fn check<L>(
    State(admin): State<Admin<L>>,
    Path(service): Path<String>,
    headers: HeaderMap,
    yaml: String,
) -> Result<Response, Forbidden>
where
    L: LogService,
{
    authorize(&admin.cx, &headers, &service)?;
    Ok(match check_document_for(&service, &yaml) {
        Ok(_) => Json(json!({ "problems": [] })).into_response(),
        Err(problems) => {
            let body = Json(json!({ "problems": problems }));
            (StatusCode::UNPROCESSABLE_ENTITY, body).into_response()
        }
    })
}

/// Answers with the latest edits and their results, newest first.
pub(crate) async fn history<L>(
    State(admin): State<Admin<L>>,
    Path(service): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Forbidden>
where
    L: LogService,
{
    authorize(&admin.cx, &headers, &service)?;
    let history = admin.cx.book.with_fold(|fold| fold.history(&service));
    Ok(Json(json!({ "service": service, "edits": history })).into_response())
}

/// Answers with the rollout's progress at each VM, as known to this entry.
pub(crate) async fn rollout<L>(
    State(admin): State<Admin<L>>,
    Path(service): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Forbidden>
where
    L: LogService,
{
    authorize(&admin.cx, &headers, &service)?;
    let view = admin.cx.book.view();
    let (Some(state), Some(upstream_state)) =
        (view.services.get(&service), admin.cx.services.get(&service))
    else {
        return Ok(not_found());
    };
    let mut data_centres: BTreeMap<DataCentre, RolloutPlace> = BTreeMap::new();
    for place in state.document.iter().flat_map(|document| &document.places) {
        let entry = data_centres.entry(place.data_centre.clone()).or_default();
        entry.ready = place.ready;
    }
    for (report, age, standing) in upstream_state.upstreams() {
        let phase = report.weights.get(&state.epoch).copied();
        let place = data_centres.entry(report.data_centre).or_default();
        place.loaded += u32::from(phase == Some(WeightsPhase::Loaded));
        place.open += u32::from(report.open == Some(state.epoch));
        place.vms.push(RolloutVm {
            vm: report.vm,
            standing: standing.to_string(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            config: report.config,
            phase,
            chunks: report.chunks,
            open: report.open,
            open_weights: report.open_weights,
            in_flight: report.in_flight,
            trouble: report.trouble,
        });
    }
    let rollout = Rollout {
        service,
        revision: state.revision,
        epoch: state.epoch,
        config: view.offset,
        data_centres,
    };
    Ok(Json(rollout).into_response())
}

fn not_found() -> Response {
    let error = json!({ "error": "the service has no document yet: submit one with base=0" });
    (StatusCode::NOT_FOUND, Json(error)).into_response()
}
