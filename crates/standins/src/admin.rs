//! The HTTP side of switching faults and reading counts.

use std::time::Duration;

use axum::extract::{Request, State};
use axum::middleware::{Next, from_fn_with_state};
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use axum::{Json, Router};
use http::{HeaderValue, StatusCode, header};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::faults::{FaultSet, Faults};
use crate::server::Port;

/// When a client is told to come back to a stand-in that is down.
const DOWN_RETRY: Duration = Duration::from_secs(1);

/// How long a stand-in stays away after `POST /standin/crash`.
#[serde_as]
#[derive(Deserialize)]
struct Crash {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    for_ms: Duration,
}

/// Lays the faults that every stand-in has over `router`, and adds the routes for switching
/// faults and reading counts, on which no fault works.
pub(crate) fn with_admin<F, S, T>(
    router: Router,
    port: &Port,
    faults: &Faults<F>,
    stats: S,
) -> Router
where
    F: FaultSet,
    S: Fn() -> T + Clone + Send + Sync + 'static,
    T: Serialize,
{
    let admin = Router::new()
        .route("/standin/faults", post(patch_faults::<F>))
        .route("/standin/faults", get(read_faults::<F>))
        .with_state(faults.clone())
        .route("/standin/crash", post(crash))
        .with_state(port.clone())
        .route("/standin/stats", get(move || async move { Json(stats()) }));
    router
        .layer(from_fn_with_state(faults.clone(), apply_common::<F>))
        .merge(admin)
}

async fn patch_faults<F>(State(faults): State<Faults<F>>, Json(patch): Json<Value>) -> Response
where
    F: FaultSet,
{
    match faults.patch(&patch) {
        Ok(()) => Json(faults.get()).into_response(),
        Err(err) => (StatusCode::BAD_REQUEST, err.to_string()).into_response(),
    }
}

async fn read_faults<F>(State(faults): State<Faults<F>>) -> Json<F>
where
    F: FaultSet,
{
    Json(faults.get())
}

async fn crash(State(port): State<Port>, Json(crash): Json<Crash>) -> StatusCode {
    port.crash_for(crash.for_ms);
    StatusCode::NO_CONTENT
}

/// Is frozen, slow or down before anything else happens.
async fn apply_common<F>(State(faults): State<Faults<F>>, req: Request, next: Next) -> Response
where
    F: FaultSet,
{
    faults.thawed().await;
    let (slow, down) = faults.read(|faults| (faults.common().slow, faults.common().down));
    if !slow.is_zero() {
        tokio::time::sleep(slow).await;
    }
    if down {
        return refuse_down();
    }
    let response = next.run(req).await;
    faults.thawed().await;
    response
}

/// Refuses as a system does that is down.
pub(crate) fn refuse_down() -> Response {
    refuse(StatusCode::SERVICE_UNAVAILABLE, "down", DOWN_RETRY)
}

/// Refuses with the time to come back, rounded up to seconds.
pub(crate) fn refuse(status: StatusCode, reason: &str, retry_after: Duration) -> Response {
    let seconds = retry_after.as_millis().div_ceil(1000);
    let mut response = error(status, reason);
    if let Ok(value) = HeaderValue::try_from(seconds.to_string()) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Answers with a status and a reason.
pub(crate) fn error(status: StatusCode, reason: &str) -> Response {
    (status, Json(serde_json::json!({ "error": reason }))).into_response()
}
