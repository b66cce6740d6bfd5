//! Data of one token, passed on as the engine wrote it.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

#[derive(Deserialize, Serialize)]
struct TokenData {
    index: u32,
    token: String,
}

/// Reads the index of a token and returns it with data that may be passed on.
///
/// Invariant: the data returned are one line of JSON with an index and a text and nothing else.
/// The usual layout is only checked, since decoding each token and encoding it again costs more
/// than all else that is done with it; any other layout is decoded, and encoded anew.
///
/// # Errors
///
/// Returns an error if the data is no token.
pub(super) fn read_token(data: Bytes) -> Result<(u32, Bytes), serde_json::Error> {
    if let Some(index) = plain_index(&data) {
        return Ok((index, data));
    }
    let token: TokenData = serde_json::from_slice(&data)?;
    let data = serde_json::to_vec(&token)?;
    Ok((token.index, data.into()))
}

/// Returns the index if `data` is `{"index": 0, "token": "..."}` to the letter, with a text that
/// needs no escapes.
fn plain_index(data: &[u8]) -> Option<u32> {
    let rest = after_space(data.strip_prefix(b"{\"index\":")?);
    let length = rest.iter().take_while(|it| it.is_ascii_digit()).count();
    let (digits, rest) = rest.split_at(length);
    if digits.len() > 1 && digits.starts_with(b"0") {
        return None;
    }
    let index = std::str::from_utf8(digits).ok()?.parse().ok()?;
    let rest = after_space(rest.strip_prefix(b",")?);
    let rest = after_space(rest.strip_prefix(b"\"token\":")?);
    let text = rest.strip_prefix(b"\"")?.strip_suffix(b"\"}")?;
    let is_plain = |byte: &u8| *byte >= b' ' && !matches!(byte, b'"' | b'\\');
    let is_sound = text.iter().all(is_plain) && std::str::from_utf8(text).is_ok();
    is_sound.then_some(index)
}

fn after_space(bytes: &[u8]) -> &[u8] {
    bytes.strip_prefix(b" ").unwrap_or(bytes)
}
