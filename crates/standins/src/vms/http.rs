//! The protocol of the list of VMs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::extract::{Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use bytes::Bytes;
use http::{StatusCode, header};
use serde::Deserialize;
use tokio::time::{Instant, timeout_at};

use super::{Store, VmChange};
use crate::admin::{refuse_down, with_admin};
use crate::server::Port;

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct List {
    since: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

pub(super) fn router(port: &Port, store: &Arc<Store>) -> Router {
    let contract = Router::new()
        .route("/vms", get(list))
        .with_state(store.clone());
    let changes = Router::new()
        .route("/standin/vms", post(change))
        .with_state(store.clone());
    let counted = store.clone();
    with_admin(contract, port, &store.faults, move || counted.stats()).merge(changes)
}

async fn list(State(store): State<Arc<Store>>, Query(list): Query<List>) -> Response {
    store.reads.fetch_add(1, Ordering::Relaxed);
    let wait = Duration::from_millis(list.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let mut changes = store.changes.subscribe();
    loop {
        let (found, next_at) = store.newer(list.since);
        if let Some(json) = found {
            return ([(header::CONTENT_TYPE, "application/json")], json).into_response();
        }
        if Instant::now() >= deadline {
            return StatusCode::NOT_MODIFIED.into_response();
        }
        let until = next_at.map_or(deadline, |at| at.min(deadline));
        // Woken by a change or by the time: either way the list is looked at again.
        let _ = timeout_at(until, changes.changed()).await;
        // It may have gone down while the read waited.
        if store.faults.read(|faults| faults.common.down) {
            return refuse_down();
        }
    }
}

async fn change(State(store): State<Arc<Store>>, Json(change): Json<VmChange>) -> StatusCode {
    store.change(change);
    StatusCode::NO_CONTENT
}

impl Store {
    /// Returns the list if its version is above `since`, and when the next version shows.
    fn newer(&self, since: Option<u64>) -> (Option<Bytes>, Option<Instant>) {
        let mut history = self.lock();
        let shown = history.shown();
        let is_newer = since.is_none_or(|since| shown.version > since);
        let json = is_newer.then(|| shown.json.clone());
        (json, history.next_at())
    }
}
