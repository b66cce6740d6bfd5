//! The administration API.

mod auth;
mod documents;
mod health;
mod submit;

use std::sync::Arc;

use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::middleware::from_fn;
use axum::routing::{get, post};
use wagtailreel_adapters::LogService;
use wagtailreel_settings::MAX_DOCUMENT_BYTES;

use crate::drain::drain_body;
use crate::shared::Shared;

/// State that the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Admin<L> {
    pub(crate) cx: Arc<Shared>,
    pub(crate) log: L,
}

/// Returns the routes of the administration listener.
pub(crate) fn router<L>(admin: Admin<L>) -> Router
where
    L: LogService,
{
    let service = "/admin/v1/services/{service}";
    Router::new()
        .route(service, get(documents::show::<L>))
        .route(&format!("{service}/check"), post(documents::check::<L>))
        .route(&format!("{service}/document"), post(submit::submit::<L>))
        .route(&format!("{service}/history"), get(documents::history::<L>))
        .route(&format!("{service}/rollout"), get(documents::rollout::<L>))
        .layer(DefaultBodyLimit::max(MAX_DOCUMENT_BYTES))
        .route("/metrics", get(health::metrics::<L>))
        .route("/healthz", get(health::healthz))
        .route("/readyz", get(health::readyz::<L>))
        .layer(from_fn(drain_body))
        .with_state(admin)
}
