//! Buffers answers that are not streams.

use bytes::Bytes;
use http_body_util::BodyExt as _;

use crate::response::UpstreamResponse;

/// Maximum body that is buffered before it is relayed, for answers that are not streams. If a buffered body
/// breaks off, the request can still be repeated or answered with an error status.
const MAX_BUFFERED_BODY: usize = 256 * 1024;

/// Outcome of buffering a body.
#[derive(Debug)]
pub(crate) enum Collected {
    /// The complete body.
    Whole(Bytes),
    /// The body is too long to be buffered: its first part, and the answer with the rest.
    Long(Bytes, Box<UpstreamResponse>),
    /// The body broke off.
    Broken,
}

/// Buffers the body of an answer, up to the maximum.
pub(crate) async fn collect(mut resp: UpstreamResponse) -> Collected {
    let mut buf: Vec<u8> = Vec::new();
    loop {
        match resp.body.frame().await {
            None => {
                resp.finish();
                return Collected::Whole(Bytes::from(buf));
            }
            Some(Err(_)) => return Collected::Broken,
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else {
                    continue;
                };
                buf.extend_from_slice(&data);
                if buf.len() > MAX_BUFFERED_BODY {
                    return Collected::Long(Bytes::from(buf), Box::new(resp));
                }
            }
        }
    }
}
