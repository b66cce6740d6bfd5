//! Fields that occur in several messages.

use std::net::SocketAddr;
use std::time::Duration;

use capnp::NotInSchema;
use capnp::text;
use snafu::ResultExt;
use wagtailreel_core::{Digest, Epoch};

use crate::WireError;
use crate::error::{
    MalformedSnafu, NotAddressSnafu, NotDigestSnafu, NotTextSnafu, UnknownValueSnafu,
};

/// Reads a text.
pub(crate) fn read_text(
    field: &'static str,
    text: capnp::Result<text::Reader<'_>>,
) -> Result<String, WireError> {
    let text = text.context(MalformedSnafu)?;
    let text = text.to_str().context(NotTextSnafu { field })?;
    Ok(text.to_owned())
}

/// Reads an address.
pub(crate) fn read_addr(
    field: &'static str,
    text: capnp::Result<text::Reader<'_>>,
) -> Result<SocketAddr, WireError> {
    let text = read_text(field, text)?;
    text.parse().context(NotAddressSnafu { field, text })
}

/// Reads a digest.
pub(crate) fn read_digest(
    field: &'static str,
    data: capnp::Result<&[u8]>,
) -> Result<Digest, WireError> {
    let data = data.context(MalformedSnafu)?;
    let Ok(bytes) = <[u8; 32]>::try_from(data) else {
        return NotDigestSnafu {
            field,
            length: data.len(),
        }
        .fail();
    };
    Ok(Digest::new(bytes))
}

/// Reads a value of an enumeration.
pub(crate) fn read_enum<T>(
    field: &'static str,
    value: Result<T, NotInSchema>,
) -> Result<T, WireError> {
    match value {
        Ok(value) => Ok(value),
        Err(NotInSchema(value)) => UnknownValueSnafu { field, value }.fail(),
    }
}

/// Reads an epoch that may be absent.
pub(crate) fn read_epoch(epoch: u64) -> Option<Epoch> {
    Some(epoch).filter(|epoch| *epoch > 0)
}

/// Returns a duration in whole microseconds, at most `u64::MAX`.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Returns the length of a list as a message counts it.
pub(crate) fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
