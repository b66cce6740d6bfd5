//! The protocol of the log.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::extract::{DefaultBodyLimit, Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use axum::{Json, Router};
use bytes::Bytes;
use http::{StatusCode, header};
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::time::{Instant, timeout_at};
use wagtailreel_core::Offset;

use super::Store;
use super::stream::Page;
use crate::admin::{error, refuse, refuse_down, with_admin};
use crate::faults::count_down;
use crate::server::{Port, lose_answer};

/// Longest record in bytes.
const MAX_RECORD: usize = 1024 * 1024;

/// Most records of one answer.
const MAX_LIMIT: usize = 10_000;

/// Longest wait of a read.
const MAX_WAIT: Duration = Duration::from_secs(60);

#[derive(Deserialize)]
struct Read {
    from: Offset,
    limit: usize,
    #[serde(default)]
    wait_ms: u64,
}

/// A change of a stream by `POST /standin/streams/{stream}`.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum StreamChange {
    Truncate { next: Offset },
    DropBefore { first: Offset },
}

pub(super) fn router(port: &Port, store: &Arc<Store>) -> Router {
    let contract = Router::new()
        .route("/streams/{stream}/records", post(append).get(read))
        .layer(DefaultBodyLimit::max(MAX_RECORD))
        .with_state(store.clone());
    let changes = Router::new()
        .route("/standin/streams/{stream}", post(change))
        .with_state(store.clone());
    let counted = store.clone();
    with_admin(contract, port, &store.faults, move || counted.stats()).merge(changes)
}

async fn append(
    State(store): State<Arc<Store>>,
    Path(stream): Path<String>,
    record: Bytes,
) -> Response {
    if let Err(err) = serde_json::from_slice::<IgnoredAny>(&record) {
        return error(StatusCode::BAD_REQUEST, &err.to_string());
    }
    let rate = store.faults.read(|faults| faults.append_rate);
    if let Err(wait) = store.rate.admit(rate) {
        store.refused.fetch_add(1, Ordering::Relaxed);
        return refuse(StatusCode::TOO_MANY_REQUESTS, "rate", wait);
    }
    let offset = store.append(&stream, record);
    if loses_answer(&store) {
        store.lost.fetch_add(1, Ordering::Relaxed);
        return lose_answer();
    }
    Json(serde_json::json!({ "offset": offset })).into_response()
}

/// Decides whether the answer to an append is lost.
fn loses_answer(store: &Store) -> bool {
    let counted = store
        .faults
        .take(|faults| count_down(&mut faults.lose_appends));
    let share = store.faults.read(|faults| faults.lose_share);
    counted.is_some() || store.chance.hits(share)
}

async fn read(
    State(store): State<Arc<Store>>,
    Path(stream): Path<String>,
    Query(read): Query<Read>,
) -> Response {
    store.reads.fetch_add(1, Ordering::Relaxed);
    let wait = Duration::from_millis(read.wait_ms).min(MAX_WAIT);
    let deadline = Instant::now() + wait;
    let mut changes = store.changes.subscribe();
    loop {
        match store.page(&stream, read.from, read.limit.min(MAX_LIMIT)) {
            Page::Records(json) => return json_bytes(json),
            Page::Gone { first, next } => {
                let kept = Json(serde_json::json!({ "first": first, "next": next }));
                return (StatusCode::GONE, kept).into_response();
            }
            Page::Empty(json) => {
                let waited = timeout_at(deadline, changes.changed()).await;
                // It may have gone down while the read waited.
                if store.faults.read(|faults| faults.common.down) {
                    return refuse_down();
                }
                if waited.is_err() {
                    return json_bytes(json);
                }
            }
        }
    }
}

/// Answers with bytes that are JSON already.
fn json_bytes(json: Vec<u8>) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], json).into_response()
}

async fn change(
    State(store): State<Arc<Store>>,
    Path(stream): Path<String>,
    Json(change): Json<StreamChange>,
) -> StatusCode {
    store.change(&stream, |stream| match change {
        StreamChange::Truncate { next } => stream.truncate(next),
        StreamChange::DropBefore { first } => stream.drop_before(first),
    });
    StatusCode::NO_CONTENT
}

impl Store {
    /// Reads one page, without records that have lapsed.
    fn page(&self, stream: &str, from: Offset, limit: usize) -> Page {
        let (count, age) = self.retention();
        let mut streams = self.lock();
        let stream = streams.entry(stream.to_owned()).or_default();
        stream.retain(count, age);
        stream.page(from, limit)
    }
}
