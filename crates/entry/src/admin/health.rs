//! Metrics and health, which need no token.

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use http::{StatusCode, header};
use wagtailreel_adapters::LogService;
use wagtailreel_telemetry::encode_metrics;

use crate::admin::Admin;

/// Content type of the Prometheus text format.
const TEXT_FORMAT: &str = "text/plain; version=0.0.4";

/// Answers with all metrics.
pub(crate) async fn metrics<L>(State(admin): State<Admin<L>>) -> Response
where
    L: LogService,
{
    match encode_metrics(&admin.cx.registry) {
        Ok(text) => ([(header::CONTENT_TYPE, TEXT_FORMAT)], text).into_response(),
        Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, err.to_string()).into_response(),
    }
}

/// Answers as long as the process runs.
pub(crate) async fn healthz() -> &'static str {
    "ok"
}

/// Answers whether the load balancer should send requests to this entry.
pub(crate) async fn readyz<L>(State(admin): State<Admin<L>>) -> Response
where
    L: LogService,
{
    if admin.cx.is_leaving() {
        return (StatusCode::SERVICE_UNAVAILABLE, "leaving").into_response();
    }
    if !admin.cx.book.can_serve() {
        return (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet").into_response();
    }
    "ok".into_response()
}
