//! Reads what handlers leave of requests' bodies, so that a refusal isn't lost by a reset.

use axum::body::Body;
use axum::extract::Request;
use axum::middleware::Next;
use axum::response::Response;
use http::header;
use wagtailreel_adapters::{Returning, discard};

/// Answers a request, and reads what its handler left of the body before the answer goes.
pub(crate) async fn drain_body(req: Request, next: Next) -> Response {
    // Whoever asks first sends nothing that would have to be read.
    if req.headers().contains_key(header::EXPECT) {
        return next.run(req).await;
    }
    let (parts, body) = req.into_parts();
    let (body, mut rest) = Returning::new(body);
    let response = next.run(Request::from_parts(parts, Body::new(body))).await;
    // A handler that still holds the body reads it itself.
    if let Ok(rest) = rest.try_recv() {
        discard(rest).await;
    }
    response
}
