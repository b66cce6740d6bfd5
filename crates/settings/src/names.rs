//! What a name may look like.

/// Most characters of a name.
pub const MAX_NAME: usize = 63;

/// Most characters of a model's name or version.
const MAX_MODEL_NAME: usize = 128;

/// What to do about a name that is not one.
pub(crate) const NAME_REMEDY: &str =
    "write 1 to 63 lower case letters, digits and hyphens, with no hyphen first or last";

/// What to do about a model's name or version that is not one.
pub(crate) const MODEL_REMEDY: &str =
    "write 1 to 128 letters, digits, `.`, `_` and `-`, with no `.` or `-` first";

/// Says whether `text` can name a VM, a data centre, a region, a service, a team or a customer.
///
/// Names stand in paths, headers and metrics as they are, so they need no quoting anywhere.
pub fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    let fits = (1..=MAX_NAME).contains(&text.len());
    fits && text.bytes().all(plain) && !text.starts_with('-') && !text.ends_with('-')
}

/// Says whether `text` can be the name or version of a model. It becomes part of a path.
pub(crate) fn is_model_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'.' | b'_' | b'-');
    let fits = (1..=MAX_MODEL_NAME).contains(&text.len());
    fits && text.bytes().all(plain) && !text.starts_with(['.', '-'])
}
