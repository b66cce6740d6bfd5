//! Reads the bodies of requests.

use std::time::Instant;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::BodyExt as _;
use wagtailreel_adapters::discard;
use wagtailreel_serve::RequestBody;

use crate::front::MAX_UNREAD;
use crate::held::HeldBuf;
use crate::refusal::{LONG_RETRY_AFTER, Refusal};
use crate::shared::Shared;

/// Maximum size of a request body before a configuration is in force.
const DEFAULT_BODY_BYTES: usize = 4 << 20;

/// The refusal where there is no room for the body of a request.
const NO_ROOM: Refusal = Refusal::Full {
    retry_in: LONG_RETRY_AFTER,
};

/// Reads the complete body of a request, up to the configured limit, or until the deadline of the request or
/// the grace period of the entry ends. The rest may arrive only after the process has ended, and the kernel would
/// then reset the connection. A body that arrives slowly enough would otherwise be read for days.
pub(crate) async fn read_body<D>(
    cx: &Shared<D>,
    body: RequestBody,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let reading = tokio::time::timeout_at(deadline.into(), read_whole(cx, body));
    let read = cx.ending.run_until_cancelled(reading).await;
    read.map_or(Err(Refusal::Leaving), |read| {
        read.unwrap_or(Err(Refusal::Deadline))
    })
}

/// Reads the complete body of a request, up to the configured limit. It counts as held from its first byte.
///
/// A body that states its length takes all of its place before it is read: of many that were read side by side, each
/// could have a part of its place, and none the rest.
async fn read_whole<D>(cx: &Shared<D>, body: RequestBody) -> Result<Bytes, Refusal> {
    let limits = cx.view.directory().map(|directory| directory.limits());
    let limit = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
    if !cx.held.room(MAX_UNREAD).await {
        return Err(NO_ROOM);
    }
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated = usize::try_from(stated).unwrap_or(limit).min(limit);
    let mut buf = HeldBuf::new(&cx.held);
    if !buf.reserve(stated, MAX_UNREAD).await {
        return Err(NO_ROOM);
    }
    let mut body = body;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Refusal::BodyBroken);
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buf.len() + data.len() > limit {
            discard(body).await;
            return Err(Refusal::BodyTooLarge);
        }
        if !buf.reserve(buf.len() + data.len(), MAX_UNREAD).await {
            return Err(NO_ROOM);
        }
        buf.push(&data);
    }
    Ok(buf.freeze())
}
