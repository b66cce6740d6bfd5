//! Reads the rest of request bodies that handlers leave unread: closing the connection with unread data
//! resets it, and the caller would lose a refusal.

use axum::body::Body;
use axum::extract::Request;
use axum::middleware::Next;
use axum::response::Response;
use http::header;
use wagtailreel_adapters::{Returning, discard};

/// Answers a request, and reads what its handler left of the body before the answer is sent.
pub(crate) async fn drain_body(req: Request, next: Next) -> Response {
    // A caller that sends `Expect` waits for permission to send the body, so nothing is left to read.
    if req.headers().contains_key(header::EXPECT) {
        return next.run(req).await;
    }
    let (parts, body) = req.into_parts();
    let (body, mut rest) = Returning::new(body);
    let response = next.run(Request::from_parts(parts, Body::new(body))).await;
    // A handler that still holds the body reads it.
    if let Ok(rest) = rest.try_recv() {
        discard(rest).await;
    }
    response
}
