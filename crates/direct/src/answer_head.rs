//! The head of an answer for the caller, and which of its headers hold for bytes that several upstreams send.
//!
//! A resumed stream keeps the headers of its first upstream, apart from those that describe the bytes of that
//! upstream alone: with the text of another one behind them they would be wrong, and the length would cut it off.
//! A coding or a range can't be left out, since the caller needs it to read the bytes; an answer with one of them
//! is not split into events, and no other upstream resumes it.

use http::response::Parts;
use http::{HeaderName, Response, StatusCode, header};

use crate::admit::strip_hop_by_hop;
use crate::response::UpstreamResponse;

/// Headers that describe the bytes of one upstream's answer: how many they are, and by which digest or entity tag
/// they are recognised.
const BYTE_HEADERS: [HeaderName; 6] = [
    header::CONTENT_LENGTH,
    header::ETAG,
    HeaderName::from_static("content-digest"),
    HeaderName::from_static("content-md5"),
    HeaderName::from_static("digest"),
    HeaderName::from_static("repr-digest"),
];

/// Returns the head of the response for the caller, without hop-by-hop headers. One that `may_be_resumed` by
/// another upstream is sent without the headers that describe the bytes of this one.
pub(crate) fn answer_head(resp: &UpstreamResponse, may_be_resumed: bool) -> Parts {
    let mut response = Response::new(());
    *response.status_mut() = resp.head.status;
    let mut headers = resp.head.headers.clone();
    // A length beside a transfer coding holds for nothing (RFC 9112, section 6.3), and the HTTP library would send
    // it with the decoded body.
    if headers.contains_key(header::TRANSFER_ENCODING) {
        headers.remove(header::CONTENT_LENGTH);
    }
    strip_hop_by_hop(&mut headers);
    // A caller that goes by the length would wait for a body. Beside 304 it is that of a body that is not sent.
    if resp.head.status == StatusCode::NO_CONTENT {
        headers.remove(header::CONTENT_LENGTH);
    }
    if may_be_resumed {
        for name in BYTE_HEADERS {
            headers.remove(name);
        }
    }
    *response.headers_mut() = headers;
    response.into_parts().0
}
