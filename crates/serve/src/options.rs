//! The options that a message's `Connection` headers name.

use http::{HeaderMap, header};

/// Returns the options of a connection that `headers` name, as they were written; among them the names of
/// headers that concern this connection only.
pub fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(str::trim)
}
