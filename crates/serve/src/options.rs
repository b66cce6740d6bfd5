//! Options of the `Connection` headers of a message.

use http::{HeaderMap, header};

/// Returns the options in the `Connection` headers, in their original case. They include the names of
/// hop-by-hop headers.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
