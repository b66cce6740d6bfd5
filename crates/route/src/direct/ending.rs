//! The next step after an attempt has ended.

use wagtailreel_fleet::RouteKind;

/// How one attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Ending {
    /// No byte of the request was sent.
    #[display("not-sent")]
    NotSent,
    /// The upstream said that it did not run the request.
    #[display("not-run")]
    NotRun,
    /// The upstream answered with a failure of its own.
    #[display("failed")]
    Failed,
    /// The request was sent and no complete answer came.
    #[display("lost")]
    Lost,
}

/// Known state after an attempt has ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The kind of route, which tells whether requests may be repeated.
    pub kind: RouteKind,
    /// How it ended.
    pub ending: Ending,
    /// Upstreams that the request was sent to, including this one.
    pub sent: u32,
    /// Most upstreams that the request may be sent to.
    pub max_attempts: u32,
    /// Attempts that did not reach an upstream.
    pub unreached: u32,
    /// An earlier attempt may have run.
    pub may_have_run: bool,
    /// There is time left for another attempt.
    pub has_time: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Next {
    /// Try another upstream, if the retry budget allows.
    #[display("again")]
    Again,
    /// Forward the upstream's own failure to the caller.
    #[display("pass-on")]
    PassOn,
    /// Tell the caller that the request did not run, and when to retry.
    #[display("refuse")]
    Refuse,
    /// Tell the caller that the outcome of the request is unknown.
    #[display("unknown")]
    Unknown,
}

/// Attempts that may fail to reach an upstream before the request is refused. More attempts would hold back a
/// request that other entries may be able to serve. A request that may have run cannot be refused, and
/// continues.
const MAX_UNREACHED: u32 = 3;

/// Returns the next step after an attempt has ended.
///
/// A request that may have run is never sent again unless it may be repeated, and never refused as not run.
pub fn next_step(attempt: Attempt) -> Next {
    let has_attempts = match attempt.ending {
        Ending::NotSent => attempt.may_have_run || attempt.unreached < MAX_UNREACHED,
        Ending::NotRun | Ending::Failed | Ending::Lost => attempt.sent < attempt.max_attempts,
    };
    let may_repeat = match attempt.ending {
        Ending::NotSent | Ending::NotRun => true,
        // The failure is the upstream's own answer. Another upstream is tried only if repeating is harmless.
        Ending::Failed => attempt.kind == RouteKind::Idempotent,
        Ending::Lost => attempt.kind.repeatable(),
    };
    if has_attempts && may_repeat && attempt.has_time {
        return Next::Again;
    }
    match attempt.ending {
        Ending::Failed => Next::PassOn,
        Ending::Lost => Next::Unknown,
        // An earlier attempt of a request that may be repeated may have run.
        Ending::NotSent | Ending::NotRun if attempt.may_have_run => Next::Unknown,
        Ending::NotSent | Ending::NotRun => Next::Refuse,
    }
}
