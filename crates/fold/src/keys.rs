//! Keys of orders that run at most once: `<unix seconds>.<text>`.

use std::time::{Duration, SystemTime};

use serde::Serialize;
use snafu::{OptionExt, Snafu, ensure};

/// Maximum time by which a key may lie ahead of the clock that checks it.
///
/// All folds must use the same value; otherwise one fold could ignore a claim that another accepts.
/// A change needs a new record format.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(60);

/// Maximum number of characters of a key's text.
pub const MAX_KEY_TEXT: usize = 64;

/// Maximum number of digits of a key's seconds.
const MAX_DIGITS: usize = 12;

/// Why a key is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Snafu)]
#[serde(rename_all = "kebab-case")]
pub enum KeyProblem {
    /// The key does not have the required form.
    #[snafu(display(
        "the key is malformed: write <unix seconds>.<1 to 64 letters, digits, `-` or `_`>"
    ))]
    Malformed,
    /// The key is older than the window in which keys are accepted.
    #[snafu(display(
        "the key has expired: make sure that the order did not run, then take a new one"
    ))]
    Expired,
    /// The key lies in the future.
    #[snafu(display("the key lies in the future: set the clock that makes the keys"))]
    FromFuture,
    /// The key may have been claimed in records that the log dropped before this fold read them.
    #[snafu(display(
        "the key is older than the claims that this entry knows of: send it to another entry"
    ))]
    Unseen,
}

/// A parsed key, ordered by its seconds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    pub(crate) seconds: u64,
    pub(crate) text: String,
}

impl Key {
    /// Parses a key.
    pub(crate) fn parse(key: &str) -> Result<Self, KeyProblem> {
        let (seconds, text) = key.split_once('.').context(MalformedSnafu)?;
        // No sign and no leading zero, so that a key has only one spelling.
        let digits = seconds.bytes().all(|b| b.is_ascii_digit()) && !seconds.starts_with('0');
        ensure!(digits && seconds.len() <= MAX_DIGITS, MalformedSnafu);
        let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        let fits = (1..=MAX_KEY_TEXT).contains(&text.len());
        ensure!(fits && text.bytes().all(plain), MalformedSnafu);
        let seconds = seconds.parse().ok().context(MalformedSnafu)?;
        let text = text.to_owned();
        Ok(Self { seconds, text })
    }

    /// Checks the key's age at `now`.
    pub(crate) fn check_age(&self, now: SystemTime, window: Duration) -> Result<(), KeyProblem> {
        let now = unix_seconds(now);
        ensure!(self.seconds + window.as_secs() >= now, ExpiredSnafu);
        ensure!(
            self.seconds <= now + MAX_KEY_SKEW.as_secs(),
            FromFutureSnafu
        );
        Ok(())
    }
}

/// Checks a key at `now` before it is claimed. `window` is the time for which keys are accepted.
///
/// This check avoids appending a claim that would be void. The same check in
/// [`OrderFold`](crate::OrderFold), against the time of the claim's record, is the one that decides:
/// a claim may reach the log long after this check.
///
/// # Errors
///
/// Returns a [`KeyProblem`] if the key is malformed, expired or too far in the future.
pub fn check_key(key: &str, now: SystemTime, window: Duration) -> Result<(), KeyProblem> {
    Key::parse(key)?.check_age(now, window)
}

/// Returns the whole seconds since the Unix epoch; 0 for an earlier time.
pub(crate) fn unix_seconds(time: SystemTime) -> u64 {
    time.duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs()
}
