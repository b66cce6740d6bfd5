//! The protocol of a plain service, which echoes what it is sent.

use std::sync::Arc;

use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use axum::{Json, Router};
use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use serde::Serialize;

use super::Store;
use crate::admin::with_admin;
use crate::faults::count_down;
use crate::server::{Port, lose_answer};

/// What a call is answered with.
#[derive(Serialize)]
struct Echo {
    method: String,
    path: String,
    body: String,
    /// How often the request has run by now; 0 for a call that names none.
    run: u64,
}

pub(super) fn router(port: &Port, store: &Arc<Store>) -> Router {
    let contract = Router::new()
        .route("/healthz", get(|| async { StatusCode::OK }))
        .fallback(call)
        .with_state(store.clone());
    let counted = store.clone();
    with_admin(contract, port, &store.faults, move || {
        counted.stats().clone()
    })
}

async fn call(
    State(store): State<Arc<Store>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let run = store.count(uri.path(), &headers);
    if store.loses_answer() {
        return lose_answer();
    }
    let status = store.faults.read(|faults| faults.status);
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    let echo = Echo {
        method: method.to_string(),
        path: uri
            .path_and_query()
            .map_or("/", |path| path.as_str())
            .to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
        run,
    };
    (status, Json(echo)).into_response()
}

impl Store {
    /// Counts a call as run, and returns how often its request has run.
    fn count(&self, path: &str, headers: &HeaderMap) -> u64 {
        let mut stats = self.stats();
        stats.calls += 1;
        *stats.paths.entry(path.to_owned()).or_default() += 1;
        let request = headers.get(&self.request_header);
        let Some(request) = request.and_then(|request| request.to_str().ok()) else {
            return 0;
        };
        let runs = stats.runs.entry(request.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    /// Decides whether the answer to a call is lost.
    fn loses_answer(&self) -> bool {
        let counted = self
            .faults
            .take(|faults| count_down(&mut faults.lose_answers));
        let share = self.faults.read(|faults| faults.lose_share);
        let loses = counted.is_some() || self.chance.hits(share);
        if loses {
            self.stats().lost += 1;
        }
        loses
    }
}
