//! Lost attempts: what may have crashed the upstream, and whether it crashed.

use std::io::ErrorKind;
use std::time::Duration;

use http::StatusCode;
use tokio::net::TcpStream;
use wagtailreel_core::Digest;
use wagtailreel_fleet::Fingerprint;
use wagtailreel_route::direct::{Ending, Suspicion};

use crate::attempt::{Call, QUARANTINED, STALLED};
use crate::dialect::Dialect;
use crate::pool::Connection;
use crate::quarantine_sync::Admission;
use crate::refusal::Refusal;

/// Maximum wait for a new connection to an upstream that lost a request. The longest round trip is 6 ms, so
/// an upstream that takes longer has not ended: a refused connection would show within that time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(30);

/// Maximum number of parts of a prompt, the first ones, that are suspected each by itself.
const MAX_PROMPT_PARTS: usize = 32;

/// Distinguishes the digest of a part from that of a request.
const PROMPT_PART_TAG: &[u8] = b"prompt-part";

/// Maximum number of parts of a prompt in the log entry of a lost attempt.
const LOGGED_PARTS: usize = 8;

/// Maximum number of characters of such a part.
const LOGGED_PART_CHARS: usize = 16;

/// Result of a new connection to an upstream that lost a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Probe {
    /// The upstream accepts a new connection, so only the old connection had ended.
    #[display("alive")]
    Alive,
    /// The connection is refused: no process listens at the address.
    #[display("ended")]
    Ended,
    /// The upstream does not answer, or was not probed.
    #[display("unknown")]
    Unknown,
}

impl<D> Call<D>
where
    D: Dialect,
{
    /// Returns what may crash upstreams: the request as it is repeated by its customer (a digest of host,
    /// path, customer and body), and then each part that its prompt shares with others.
    pub(crate) fn suspects(&self) -> &[Fingerprint] {
        self.suspects.get_or_init(|| {
            let path = self.template.uri.path_and_query();
            let customer = self.admitted.customer.as_deref();
            let request = Digest::of_parts([
                self.admitted.route.host.as_bytes(),
                path.map_or(&[][..], |path| path.as_str().as_bytes()),
                customer.unwrap_or_default().as_bytes(),
                &self.template.body,
            ]);
            let mut suspects = vec![request];
            for part in &self.admitted.head.prompt_parts {
                let part = part_fingerprint(part);
                if suspects.len() <= MAX_PROMPT_PARTS && !suspects.contains(&part) {
                    suspects.push(part);
                }
            }
            suspects
        })
    }

    /// Returns the short fingerprint for the log entry of a lost attempt, and an empty text for other
    /// attempts, which say nothing of a crash.
    pub(crate) fn logged_fingerprint(&self, ending: Ending) -> String {
        match ending {
            Ending::Lost => self.suspects()[0].short(),
            Ending::NotSent | Ending::NotRun | Ending::Failed => String::new(),
        }
    }

    /// Returns the first shared parts of the prompt for the log entry of a lost attempt, and an empty text
    /// for other attempts.
    pub(crate) fn logged_parts(&self, ending: Ending) -> String {
        if ending != Ending::Lost {
            return String::new();
        }
        let parts = self.admitted.head.prompt_parts.iter();
        let parts = parts.take(LOGGED_PARTS).map(|id| {
            let start: String = id.chars().take(LOGGED_PART_CHARS).collect();
            format!("{start}:{}", part_fingerprint(id).short())
        });
        parts.collect::<Vec<_>>().join(" ")
    }

    /// Checks that no suspect of the request is quarantined. Returns whether the request is the retry of one,
    /// and so is not checked again until it may have run.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub(crate) fn check_quarantine(&self) -> Result<bool, Refusal> {
        let quarantine = &self.cx.quarantine;
        let is_unsent_retry = self.is_retry && !self.attempts.may_have_run();
        if is_unsent_retry || quarantine.is_empty() {
            return Ok(is_unsent_retry);
        }
        match quarantine.admit(self.suspects()) {
            Admission::Refused { retry_in, suspect } => {
                quarantine.record_repeat(suspect);
                Err(self.refuse_or_unknown(Refusal::Quarantined { retry_in, suspect }))
            }
            Admission::Accepted if self.attempts.may_have_run() && self.is_suspected() => {
                Err(Refusal::Unknown)
            }
            admission => Ok(admission == Admission::Retry),
        }
    }

    /// Returns whether upstreams ended while they ran the request or a part of its prompt.
    pub(crate) fn is_suspected(&self) -> bool {
        self.cx.quarantine.suspicion(self.suspects()) != Suspicion::None
    }

    /// Probes the upstream that lost the current attempt for the reason `why`, and records its end, once for each
    /// attempt. One that was given up by this entry is not probed.
    pub(crate) async fn record_loss(&self, why: &str) {
        if why != STALLED && why != QUARANTINED && self.loss.get().is_none() {
            let probe = self.probe_upstream().await;
            self.loss.get_or_init(|| (probe, self.record_crash(probe)));
        }
    }

    /// Records the end of the upstream if the probe shows that it ended; returns the suspicion against the
    /// request.
    ///
    /// An upstream that was draining ended for a reason of its own, and is not counted against the request.
    fn record_crash(&self, probe: Probe) -> Suspicion {
        let pick = self.last_pick.as_ref().filter(|_| probe == Probe::Ended);
        match pick.filter(|pick| self.service.upstreams().may_send(&pick.id)) {
            Some(pick) => self.cx.quarantine.ended(self.suspects(), pick),
            None => Suspicion::None,
        }
    }

    /// Records that an upstream ran the request to its end and answered with `status`.
    ///
    /// An engine that fails or refuses a request need not have begun to run its prompt.
    pub(crate) fn finished(&self, status: StatusCode) {
        let suspects = self.suspects();
        if status.is_success() {
            self.cx.quarantine.finished(suspects);
        } else if !status.is_server_error() {
            self.cx.quarantine.finished(&suspects[..1]);
        }
    }

    /// Records that the answer of the current upstream ended in order. Returns whether it is complete.
    ///
    /// An answer without a length ends with its connection, and so does one whose upstream crashes, so that
    /// the upstream is probed. One that was draining ends after its last answer.
    pub(crate) async fn answer_ended(&self, status: StatusCode, is_framed: bool) -> bool {
        let probe = if is_framed {
            Probe::Alive
        } else {
            self.probe_upstream().await
        };
        match probe {
            Probe::Alive => {
                self.finished(status);
                true
            }
            Probe::Ended => !self.may_send_to_last_pick(),
            Probe::Unknown => true,
        }
    }

    fn may_send_to_last_pick(&self) -> bool {
        let pick = self.last_pick.as_ref();
        pick.is_some_and(|pick| self.service.upstreams().may_send(&pick.id))
    }

    /// Probes whether the upstream of the last attempt still accepts connections.
    pub(crate) async fn probe_upstream(&self) -> Probe {
        let Some(pick) = &self.last_pick else {
            return Probe::Unknown;
        };
        let opening = tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(pick.addr));
        match opening.await {
            Ok(Ok(stream)) => {
                if let Ok(conn) = Connection::from_stream(stream, pick.addr, pick.started).await {
                    self.service.pool.check_in(conn, None);
                }
                Probe::Alive
            }
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Probe::Ended,
            Ok(Err(_)) | Err(_) => Probe::Unknown,
        }
    }
}

fn part_fingerprint(part: &str) -> Fingerprint {
    Digest::of_parts([PROMPT_PART_TAG, part.as_bytes()])
}
