//! Rests that upstreams ask single entries for.

use std::time::Duration;

/// Longest rest that is kept. An upstream that asks for a longer one gets a request after this time, from whose
/// answer the entry learns whether it still rests.
const MAX_REST: Duration = Duration::from_secs(3600);

/// Returns the rest of `seconds`, at most an hour, or `None` if that is not a positive number.
pub fn rest_from_secs(seconds: f64) -> Option<Duration> {
    if !seconds.is_finite() || seconds <= 0.0 {
        return None;
    }
    let rest = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_REST);
    Some(rest.min(MAX_REST))
}
