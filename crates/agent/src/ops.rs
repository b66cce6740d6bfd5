//! Routes for operators: `/metrics`, `/healthz`, `/status`.

use std::sync::Arc;

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use http::StatusCode;
use prometheus::Registry;
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};
use std::time::Duration;
use wagtailreel_core::Report;
use wagtailreel_telemetry::encode_metrics;

use crate::hub::Hub;

/// State of the handlers.
#[derive(Clone, Debug)]
pub(crate) struct Ops {
    /// State that the agent's tasks share.
    pub(crate) hub: Arc<Hub>,
    /// Registry of all metrics of the process.
    pub(crate) registry: Registry,
}

/// Answer of `/status`.
#[serde_as]
#[derive(Debug, Serialize)]
struct Status {
    /// The current report.
    #[serde(flatten)]
    report: Report,
    /// Bytes of verified chunks in memory.
    staged_bytes: u64,
    /// Remaining time of the lease.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "lease_ms")]
    lease: Duration,
}

/// Returns the routes.
pub(crate) fn router(ops: Ops) -> Router {
    Router::new()
        .route("/metrics", get(metrics))
        .route("/healthz", get(|| async { "ok" }))
        .route("/status", get(status))
        .with_state(ops)
}

async fn metrics(State(ops): State<Ops>) -> Response {
    ops.hub.metrics.set_report(&ops.hub.report());
    ops.hub.metrics.set_lease(ops.hub.lease_left());
    match encode_metrics(&ops.registry) {
        Ok(text) => text.into_response(),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, err.to_string()).into_response(),
    }
}

async fn status(State(ops): State<Ops>) -> Json<Status> {
    Json(Status {
        report: ops.hub.report(),
        staged_bytes: ops.hub.staged_bytes(),
        lease: ops.hub.lease_left(),
    })
}
