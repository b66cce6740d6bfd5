//! What an upstream says of itself in an answer: that it leaves, or that it rests.

use std::time::Instant;

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::response::UpstreamResponse;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Records and logs that the answer says that its upstream leaves, or asks for rest.
    ///
    /// An answer of another instance at the address says nothing of the upstream.
    pub(crate) fn record_announcement(&self, resp: &UpstreamResponse) {
        if resp.meta.misdirected {
            return;
        }
        let fields = [
            ("upstream", resp.upstream()),
            ("service", self.admitted.service.as_str()),
            ("id", self.admitted.id.as_str()),
        ];
        if resp.meta.is_leaving && self.says_leaving(resp) {
            events::UPSTREAM_SAYS_LEAVING.emit(&fields);
        }
        if let Some(rest) = resp.meta.rest {
            let mut upstreams = self.service.upstreams();
            upstreams.asks_for_rest(resp.upstream(), resp.start(), rest, Instant::now());
            drop(upstreams);
            let ms = rest.as_millis().to_string();
            let [upstream, service, id] = fields;
            events::UPSTREAM_RESTS.emit(&[upstream, service, id, ("for_ms", &ms)]);
        }
    }

    /// Returns whether the upstream had not said so before.
    fn says_leaving(&self, resp: &UpstreamResponse) -> bool {
        let mut upstreams = self.service.upstreams();
        upstreams.says_leaving(resp.upstream(), resp.start())
    }
}
