//! The protocol of the engine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};

use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use futures::stream;
use http::{HeaderMap, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_with::{TimestampMilliSeconds, serde_as};
use wagtailreel_core::{Digest, EngineLoad, Epoch, Priority, RequestId};

use super::Store;
use super::answer::Answer;
use super::load::{LoadRefusal, load};
use super::weights::OrderRefusal;
use crate::admin::{error, refuse, with_admin};
use crate::faults::count_down;
use crate::server::{ANSWER_PAUSE, Port, lose_answer};

/// When a request that finds the engine full is told to come back.
const FULL_RETRY: Duration = Duration::from_secs(1);

/// One request for tokens.
#[derive(Debug, Deserialize)]
pub(super) struct Generate {
    pub(super) request: RequestId,
    pub(super) bundle: Digest,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) priority: Priority,
    #[serde(default)]
    pub(super) resume_from: u32,
}

#[derive(Deserialize)]
struct Order {
    fence: Epoch,
}

#[derive(Deserialize)]
struct Since {
    since: u64,
}

#[serde_as]
#[derive(Serialize)]
struct Status {
    bundles: Vec<Digest>,
    #[serde(flatten)]
    load: EngineLoad,
    #[serde_as(as = "TimestampMilliSeconds<i64>")]
    started_at_ms: SystemTime,
}

pub(super) fn router(port: &Port, store: &Arc<Store>) -> Router {
    let contract = Router::new()
        .route("/v1/weights/{bundle}", post(load_bundle).delete(unload))
        .route("/v1/status", get(status))
        .route("/v1/generate", post(generate))
        .route("/v1/cancel/{request}", post(cancel))
        .route("/v1/cache-events", get(cache_events))
        .with_state(store.clone());
    let restarted = store.clone();
    let restarted_port = port.clone();
    let changes = Router::new().route(
        "/standin/restart",
        post(move || async move {
            tokio::spawn(restart(restarted, restarted_port));
            StatusCode::NO_CONTENT
        }),
    );
    let counted = store.clone();
    with_admin(contract, port, &store.faults, move || counted.stats()).merge(changes)
}

/// Restarts as soon as the answer is on its way.
async fn restart(store: Arc<Store>, port: Port) {
    tokio::time::sleep(ANSWER_PAUSE).await;
    if let Err(err) = store.restart(&port) {
        log::error!("a stand-in stays down: {err}");
    }
}

async fn load_bundle(
    State(store): State<Arc<Store>>,
    Path(bundle): Path<Digest>,
    Query(order): Query<Order>,
    headers: HeaderMap,
    body: Body,
) -> Response {
    match load(&store, bundle, order.fence, &headers, body).await {
        Ok(bundle) => {
            let loses = store
                .faults
                .take(|faults| count_down(&mut faults.lose_loads));
            if loses.is_some() {
                return lose_answer();
            }
            Json(serde_json::json!({ "bundle": bundle })).into_response()
        }
        Err(refusal) => load_refused(refusal),
    }
}

fn load_refused(refusal: LoadRefusal) -> Response {
    match refusal {
        LoadRefusal::Order(refusal) => order_refused(refusal),
        LoadRefusal::BadParts => error(StatusCode::BAD_REQUEST, "parts"),
        LoadRefusal::BrokenBody => error(StatusCode::BAD_REQUEST, "body"),
        LoadRefusal::WrongBytes => error(StatusCode::UNPROCESSABLE_ENTITY, "digest"),
        LoadRefusal::Fault => error(StatusCode::INTERNAL_SERVER_ERROR, "load"),
    }
}

fn order_refused(refusal: OrderRefusal) -> Response {
    match refusal {
        OrderRefusal::OldFence => error(StatusCode::CONFLICT, "fence"),
        OrderRefusal::NoPlace => error(StatusCode::INSUFFICIENT_STORAGE, "place"),
    }
}

async fn unload(
    State(store): State<Arc<Store>>,
    Path(bundle): Path<Digest>,
    Query(order): Query<Order>,
) -> Response {
    if let Err(refusal) = store.check_fence(order.fence) {
        return order_refused(refusal);
    }
    store.weights().drop_bundle(&bundle);
    StatusCode::OK.into_response()
}

async fn status(State(store): State<Arc<Store>>) -> Json<Status> {
    let load = store.load();
    let weights = store.weights();
    Json(Status {
        bundles: weights.names(),
        load,
        started_at_ms: weights.started_at(),
    })
}

async fn generate(State(store): State<Arc<Store>>, Json(req): Json<Generate>) -> Response {
    let Some(held) = store.weights().find(&req.bundle) else {
        store.counts.refused_bundle.fetch_add(1, Ordering::Relaxed);
        return error(StatusCode::NOT_FOUND, "bundle");
    };
    let Some(ticket) = store.batch.enter(req.priority) else {
        store.counts.refused_full.fetch_add(1, Ordering::Relaxed);
        return refuse(StatusCode::TOO_MANY_REQUESTS, "full", FULL_RETRY);
    };
    let track = store.requests.receive(&req.request, &req.prompt);
    let loses = store
        .faults
        .take(|faults| count_down(&mut faults.lose_answers));
    let mut answer = Answer::new(store, req, held, track, ticket);
    if loses.is_some() {
        // Whoever loses the answer may cancel the request, which is to find it begun.
        if answer.begin().await.is_some() {
            tokio::spawn(answer.run_unread());
        }
        return lose_answer();
    }
    stream_answer(answer)
}

/// Streams an answer as it is generated.
fn stream_answer(answer: Answer) -> Response {
    let body = stream::unfold(answer, |mut answer| async move {
        let frame = answer.next_frame().await?;
        Some((frame, answer))
    });
    let headers = [(header::CONTENT_TYPE, "text/event-stream")];
    (headers, Body::from_stream(body)).into_response()
}

async fn cancel(
    State(store): State<Arc<Store>>,
    Path(request): Path<RequestId>,
) -> Json<serde_json::Value> {
    let state = match store.requests.cancel(&request) {
        None => "unknown",
        Some(true) => "cancelled",
        Some(false) => "done",
    };
    Json(serde_json::json!({ "state": state }))
}

async fn cache_events(
    State(store): State<Arc<Store>>,
    Query(since): Query<Since>,
) -> Json<super::cache::Events> {
    Json(store.cache().events(since.since))
}
