//! HTTP interface for callers.

mod answer;
mod attempt;
mod call;
mod cancel;
mod dispatch;
mod generate;
mod head;
mod relay;
mod stream;

use std::sync::Arc;

use axum::Router;
use axum::middleware::from_fn;
use axum::routing::{any, post};

pub(crate) use answer::OUTCOME;
pub(crate) use head::bearer;

use crate::drain::drain_body;
use crate::shared::Shared;

/// Returns the routes of the callers' listener.
pub(crate) fn router(cx: Arc<Shared>) -> Router {
    Router::new()
        .route("/v1/services/{service}/generate", post(generate::generate))
        .route("/v1/services/{service}/call", any(call::call_root))
        .route("/v1/services/{service}/call/", any(call::call_root))
        .route("/v1/services/{service}/call/{*path}", any(call::call))
        .fallback(answer::no_route)
        .layer(from_fn(drain_body))
        .with_state(cx)
}
