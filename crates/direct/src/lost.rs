//! What a lost attempt tells of its request and of its upstream.

use std::io::ErrorKind;
use std::time::Duration;

use tokio::net::TcpStream;
use wagtailreel_core::Digest;
use wagtailreel_fleet::Fingerprint;
use wagtailreel_route::direct::{Ending, Suspicion};

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::pool::Connection;
use crate::refusal::Refusal;

/// Longest wait for a new connection to an upstream that lost a request: the longest way there and
/// back takes 6 ms, and an upstream that takes longer has not ended.
const LOOK_TIMEOUT: Duration = Duration::from_millis(30);

/// Whether an upstream still runs after it has lost a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub(crate) enum Seen {
    /// It takes a new connection, so that only the old one had ended.
    #[display("alive")]
    Alive,
    /// Nobody listens at its address any more.
    #[display("ended")]
    Ended,
    /// It doesn't answer, or was not looked at.
    #[display("unknown")]
    Unknown,
}

impl<D> Call<D>
where
    D: Dialect,
{
    /// Returns what is the same whenever this request is sent again, by the same caller.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        *self.fingerprint.get_or_init(|| {
            let path = self.template.uri.path_and_query();
            let customer = self.admitted.customer.as_deref();
            Digest::of_parts([
                self.admitted.route.host.as_bytes(),
                path.map_or(&[][..], |path| path.as_str().as_bytes()),
                customer.unwrap_or_default().as_bytes(),
                &self.template.body,
            ])
        })
    }

    /// Returns the fingerprint as the log tells it, of attempts that were lost: of others nothing could
    /// be learned from it.
    pub(crate) fn told_fingerprint(&self, ending: Ending) -> String {
        match ending {
            Ending::Lost => self.fingerprint().short(),
            Ending::NotSent | Ending::NotRun | Ending::Failed => String::new(),
        }
    }

    /// Refuses a request that is quarantined.
    ///
    /// # Errors
    ///
    /// Returns the refusal that the caller gets.
    pub(crate) fn check_quarantine(&self) -> Result<(), Refusal> {
        let suspects = &self.cx.suspects;
        if suspects.is_empty() {
            return Ok(());
        }
        let fingerprint = self.fingerprint();
        match suspects.admit(fingerprint) {
            Suspicion::Quarantined(back_in) => {
                suspects.came_again(fingerprint);
                Err(self.not_sent(Refusal::Quarantined { back_in }))
            }
            Suspicion::None | Suspicion::Suspected => Ok(()),
        }
    }

    /// Takes how the upstream was seen that lost the request; returns what is thought of the request.
    ///
    /// One that was leaving had its own reason to end.
    pub(crate) fn suspect(&self, seen: Seen) -> Suspicion {
        let pick = self.last_pick.as_ref().filter(|_| seen == Seen::Ended);
        match pick.filter(|pick| self.service.upstreams().may_send(&pick.id)) {
            Some(pick) => self.cx.suspects.ended(self.fingerprint(), pick),
            None => Suspicion::None,
        }
    }

    /// Takes that an upstream ran the request to its end.
    pub(crate) fn finished(&self) {
        self.cx.suspects.finished(self.fingerprint());
    }

    /// Looks whether the upstream that was chosen last still takes connections.
    pub(crate) async fn look_at_upstream(&self) -> Seen {
        let Some(pick) = &self.last_pick else {
            return Seen::Unknown;
        };
        let opening = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(pick.addr));
        match opening.await {
            Ok(Ok(stream)) => {
                if let Ok(conn) = Connection::from_stream(stream, pick.addr, pick.started).await {
                    self.service.pool.check_in(conn, None);
                }
                Seen::Alive
            }
            Ok(Err(err)) if err.kind() == ErrorKind::ConnectionRefused => Seen::Ended,
            Ok(Err(_)) | Err(_) => Seen::Unknown,
        }
    }
}
