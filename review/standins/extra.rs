//! A faulty server sends more bytes after a complete answer.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::client::End;
use crate::plain;
use crate::record::Record;
use crate::server::Behaviour;

/// Bytes that belong to no request. They have neither `Attempt-Id` nor `Response-Stamp`.
const EXTRA: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nspoilt bytes";

/// One answer in this many has extra bytes after it, a share of 0.02.
const EXTRA_EVERY: u64 = 50;

/// How long the clients send requests.
const LENGTH: Duration = Duration::from_secs(20);

/// Runs the case; returns whether the rule was broken.
pub fn run(dir: &Path, record: &Arc<Record>, has_trouble: bool) -> io::Result<bool> {
    let mut first = Behaviour::sound(Duration::from_millis(30));
    if has_trouble {
        first.extra = |request| request.is_multiple_of(EXTRA_EVERY).then_some(EXTRA);
    }
    let ended = plain::run(dir, record, first, LENGTH)?;
    let (mut sound, mut foreign) = (0, 0);
    for it in &ended {
        match &it.end {
            End::Answer(200, Some(_), _) => sound += 1,
            End::Answer(200, None, _) => {
                foreign += 1;
                let text = "got a success that no server has signed";
                record.say(&format!("{} {} {text}: {}", it.method, it.id, it.end));
            }
            End::Answer(..) | End::Cut(_) => {}
        }
    }
    record.say(&format!("{sound} sound answers, {foreign} successes that are no server's answer"));
    if sound == 0 {
        return Err(io::Error::other("no request was served"));
    }
    Ok(foreign > 0)
}
