//! The events of a stream.

use std::borrow::Cow;

use serde::Deserialize;
use wagtailreel_core::{Digest, Epoch};

use super::ending::{Ending, malformed};

/// Whose events a stream has. An entry that lets an engine's pass as they are breaks the protocol.
#[derive(Clone, Copy, Debug)]
pub(super) enum Dialect {
    Entry,
    Engine,
}

impl Dialect {
    /// Returns the name of a token's event; an engine's has none, which reads as `message`.
    pub(super) fn token_name(self) -> &'static [u8] {
        match self {
            Self::Entry => b"token",
            Self::Engine => b"message",
        }
    }

    pub(super) fn read_closing(self, name: &[u8], data: &[u8]) -> Ending {
        match (self, name) {
            (Self::Entry, b"end") => read_end(data),
            (Self::Entry, b"error") => read_error(data),
            (Self::Engine, b"end") => read_engine_end(data),
            _ => malformed("an event that is no token, end or error"),
        }
    }
}

#[derive(Deserialize)]
struct EndData {
    outcome: String,
    tokens: u32,
    weights: Digest,
    epoch: Epoch,
}

/// How an engine itself closes a stream.
#[derive(Deserialize)]
struct EngineEndData {
    tokens: u32,
    bundle: Digest,
}

#[derive(Deserialize)]
struct ErrorData {
    outcome: String,
    reason: String,
}

fn read_end(data: &[u8]) -> Ending {
    match serde_json::from_slice::<EndData>(data) {
        Ok(end) if end.outcome == "answered" => Ending::Answered {
            tokens: end.tokens,
            weights: end.weights,
            epoch: end.epoch,
        },
        _ => malformed("an end event that can't be read"),
    }
}

fn read_error(data: &[u8]) -> Ending {
    match serde_json::from_slice::<ErrorData>(data) {
        Ok(error) if error.outcome == "unknown" => Ending::Unknown {
            reason: error.reason,
        },
        _ => malformed("an error event that can't be read"),
    }
}

fn read_engine_end(data: &[u8]) -> Ending {
    match serde_json::from_slice::<EngineEndData>(data) {
        Ok(end) => Ending::Answered {
            tokens: end.tokens,
            weights: end.bundle,
            epoch: 0,
        },
        Err(_) => malformed("an end event that can't be read"),
    }
}

#[derive(Deserialize)]
struct TokenData<'a> {
    index: u32,
    #[serde(borrow)]
    token: Cow<'a, str>,
}

/// Reads `{"index": 0, "token": "..."}`.
///
/// The usual layout is read without a JSON parser, since a load run reads hundreds of thousands
/// a second; any other layout is left to the parser.
pub(crate) fn read_token(data: &[u8]) -> Option<(u32, Cow<'_, str>)> {
    if let Some(token) = read_plain_token(data) {
        return Some(token);
    }
    let token: TokenData<'_> = serde_json::from_slice(data).ok()?;
    Some((token.index, token.token))
}

fn read_plain_token(data: &[u8]) -> Option<(u32, Cow<'_, str>)> {
    let rest = data.strip_prefix(b"{\"index\":")?;
    let comma = rest.iter().position(|byte| *byte == b',')?;
    let index = std::str::from_utf8(&rest[..comma]).ok()?.parse().ok()?;
    let text = rest[comma..].strip_prefix(b",\"token\":\"")?;
    let text = text.strip_suffix(b"\"}")?;
    if text.iter().any(|byte| matches!(byte, b'\\' | b'"')) {
        return None;
    }
    Some((index, Cow::Borrowed(std::str::from_utf8(text).ok()?)))
}
