//! A server keeps its idle connections without a limit, and says so.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client::End;
use crate::plain;
use crate::record::Record;
use crate::server::Behaviour;

/// What a server that never closes an idle connection states as its time-out, in seconds: the largest number that
/// its setting holds.
const LONGEST: u64 = i64::MAX as u64;

/// How long the clients send requests.
const LENGTH: Duration = Duration::from_secs(10);

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut first = Behaviour::sound(Duration::from_millis(30));
    if has_trouble {
        first.keep_alive = LONGEST;
    }
    let ended = plain::run(dir, record, first, LENGTH)?;
    let answered = ended.iter().filter(|it| it.end.status() == 200).count();
    let lost = ended.iter().filter(|it| it.runs > 0 && matches!(it.end, End::Cut(_))).count();
    record.say(&format!(
        "{answered} requests are served; {lost} ran, and their kept connection ended without an answer"
    ));
    if answered + lost == 0 {
        return Err(io::Error::other("no request was passed on"));
    }
    Ok(lost > 3)
}
