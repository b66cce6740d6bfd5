//! The status listener: readiness for the balancer, and metrics.

use std::sync::Arc;

use axum::Router;
use axum::extract::State;
use axum::response::IntoResponse;
use axum::routing::get;
use http::StatusCode;
use wagtailreel_fleet::Topic;
use wagtailreel_telemetry::encode_metrics;

use crate::shared::Shared;

/// Returns the routes of the status listener.
pub(crate) fn router<D>(cx: Arc<Shared<D>>) -> Router
where
    D: Send + Sync + 'static,
{
    Router::new()
        .route("/readyz", get(ready::<D>))
        .route("/metrics", get(metrics::<D>))
        .with_state(cx)
}

async fn ready<D>(State(cx): State<Arc<Shared<D>>>) -> (StatusCode, &'static str) {
    match cx.unready_reason() {
        None => (StatusCode::OK, "ready\n"),
        Some(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

async fn metrics<D>(State(cx): State<Arc<Shared<D>>>) -> impl IntoResponse {
    for topic in [Topic::Settings, Topic::Upstreams] {
        if let Some(age) = cx.view.age(topic) {
            let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
            let gauge = &cx.metrics.state_age;
            gauge.with_label_values(&[&topic.to_string()]).set(age);
        }
    }
    cx.metrics.evacuated.reset();
    for data_centre in cx.view.evacuated() {
        let gauge = &cx.metrics.evacuated;
        gauge.with_label_values(&[&data_centre]).set(1);
    }
    let dropped = i64::try_from(wagtailreel_telemetry::lines_dropped()).unwrap_or(i64::MAX);
    cx.metrics.lines_dropped.set(dropped);
    match encode_metrics(&cx.registry) {
        Ok(text) => (StatusCode::OK, text),
        Err(e) => (
            StatusCode::INTERNAL_SERVER_ERROR,
            e.to_string().into_bytes(),
        ),
    }
}
