//! Responses that the peer does not read.

use std::time::{Duration, Instant};

use rustix::ioctl;
use tokio::net::TcpStream;

use crate::activity::Activity;
use crate::handler::Limits;

/// Interval at which a connection is checked while a write is pending.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// The same while none is, so that a connection whose peer reads costs few wake-ups.
const QUIET_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Number of the request for the bytes of the send queue that are not acknowledged (`SIOCOUTQ`).
const SEND_QUEUE_OPCODE: ioctl::Opcode = 0x5411;

/// Waits until the peer has read nothing of a response for longer than `limits` allow, and returns the reason for
/// the log. Without a limit it waits forever.
pub(crate) async fn unread(
    stream: &TcpStream,
    activity: &Activity,
    limits: Limits,
) -> &'static str {
    let Some(unread) = limits.unread else {
        return std::future::pending().await;
    };
    let mut progress = (send_queue(stream), Instant::now());
    let mut interval = QUIET_CHECK_INTERVAL;
    loop {
        tokio::time::sleep(interval).await;
        let now = Instant::now();
        let Some(blocked) = activity.blocked(now) else {
            progress = (None, now);
            interval = QUIET_CHECK_INTERVAL;
            continue;
        };
        interval = CHECK_INTERVAL;
        // A large send buffer reports room only after a third of it is free. The peer has read something as soon
        // as it has acknowledged it.
        let queued = send_queue(stream);
        if queued != progress.0 {
            progress = (queued, now);
        }
        let is_whole = activity.has_whole_response();
        let limit = if is_whole { limits.idle } else { unread };
        if blocked.min(now.saturating_duration_since(progress.1)) >= limit {
            return "unread";
        }
    }
}

/// Returns the number of bytes that were written and not acknowledged, or `None` if the kernel reports an error.
fn send_queue(stream: &TcpStream) -> Option<i32> {
    // SAFETY: the request writes one `int`.
    let request = unsafe { ioctl::Getter::<SEND_QUEUE_OPCODE, i32>::new() };
    // SAFETY: the request has no other effect.
    unsafe { ioctl::ioctl(stream, request) }.ok()
}
