//! Which statuses a final answer may have, and which of them have a body.

use std::ops::RangeInclusive;

use ::http::StatusCode;

/// Statuses of final answers (RFC 9110, section 15). Those below announce another answer, or a protocol that no request
/// here asks for; the library also reads those above, which have no meaning.
const FINAL: RangeInclusive<u16> = 200..=599;

/// Returns whether an answer may end its request.
pub fn is_final(status: StatusCode) -> bool {
    FINAL.contains(&status.as_u16())
}

/// Returns whether an answer ends with its head, whatever its headers say (RFC 9112, section 6.3).
pub fn has_no_body(status: StatusCode) -> bool {
    !is_final(status) || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}
