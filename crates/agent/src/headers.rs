//! Parsing of the headers of a request.

use std::str::FromStr;
use std::time::{Duration, Instant};

use http::HeaderMap;
use wagtailreel_core::headers::{DEADLINE_MS, PIN, PRIORITY, RESUME_FROM};
use wagtailreel_core::{Digest, Priority};

use crate::request_guard::AdmissionRequest;
use crate::requests::{RequestKey, StartMode};

/// The parsed headers of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestHeaders {
    /// What the request requires of the gate.
    pub(crate) req: AdmissionRequest,
    /// Index of the first token that the caller still needs.
    pub(crate) resume_from: u32,
    /// Priority in the engine's queue.
    pub(crate) priority: Priority,
}

impl RequestHeaders {
    /// Parses the headers of the request `request`, which arrived at `now`.
    ///
    /// # Errors
    ///
    /// Returns the name of a malformed header. The request is refused then, because running it with a
    /// guessed pin or deadline would be worse.
    pub(crate) fn read(
        request: &str,
        headers: &HeaderMap,
        now: Instant,
    ) -> Result<Self, &'static str> {
        let resume_from: Option<u32> = read_header(headers, RESUME_FROM)?;
        let left_ms: Option<u64> = read_header(headers, DEADLINE_MS)?;
        let mode = match resume_from {
            Some(_) => StartMode::Resume,
            None => StartMode::Fresh,
        };
        let left = left_ms.map(Duration::from_millis);
        Ok(Self {
            req: AdmissionRequest {
                key: RequestKey::new(request),
                mode,
                pin: read_header::<Digest>(headers, PIN)?,
                deadline: left.and_then(|left| now.checked_add(left)),
            },
            resume_from: resume_from.unwrap_or(0),
            priority: read_priority(headers)?,
        })
    }
}

/// Parses one header, if present.
fn read_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, &'static str>
where
    T: FromStr,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().ok();
    let parsed = text.and_then(|text| text.parse().ok());
    parsed.map(Some).ok_or(name)
}

/// Parses the priority, which is normal if the header is missing.
fn read_priority(headers: &HeaderMap) -> Result<Priority, &'static str> {
    match headers.get(PRIORITY).map(http::HeaderValue::as_bytes) {
        None | Some(b"normal") => Ok(Priority::Normal),
        Some(b"low") => Ok(Priority::Low),
        Some(b"high") => Ok(Priority::High),
        Some(_) => Err(PRIORITY),
    }
}
