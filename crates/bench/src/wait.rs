//! Waiting for a condition, always with a bound.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::error::{Result, TimeoutSnafu};

/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(20);

/// What one look at a condition found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Look<T> {
    /// The condition holds.
    Found(T),
    /// It does not hold yet; the text says what was seen.
    NotYet(String),
}

impl<T> From<Option<T>> for Look<T> {
    fn from(found: Option<T>) -> Self {
        found.map_or_else(|| Self::NotYet("nothing".to_owned()), Self::Found)
    }
}

/// Looks again and again until `look` finds a value, at most for `bound`.
///
/// # Errors
///
/// Returns [`BenchError::Timeout`](crate::BenchError::Timeout) with what was seen last.
pub async fn wait_for<T, F, U>(what: &str, bound: Duration, mut look: F) -> Result<T>
where
    F: FnMut() -> U,
    U: Future<Output = Look<T>>,
{
    let end = Instant::now() + bound;
    loop {
        let seen = match look().await {
            Look::Found(value) => return Ok(value),
            Look::NotYet(seen) => seen,
        };
        if Instant::now() >= end {
            return TimeoutSnafu { what, bound, seen }.fail();
        }
        sleep(PAUSE).await;
    }
}

/// Looks again and again until `check` says yes, at most for `bound`.
///
/// # Errors
///
/// Returns [`BenchError::Timeout`](crate::BenchError::Timeout) if it never does.
pub async fn wait_until<F, U>(what: &str, bound: Duration, mut check: F) -> Result<()>
where
    F: FnMut() -> U,
    U: Future<Output = bool>,
{
    wait_for(what, bound, || {
        let holds = check();
        async move {
            if holds.await {
                Look::Found(())
            } else {
                Look::NotYet("not yet".to_owned())
            }
        }
    })
    .await
}
