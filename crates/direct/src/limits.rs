//! Limits that upstreams name for all entries together.

use std::time::Instant;

use wagtailreel_route::direct::NamedLimit;

use crate::attempt::Call;
use crate::dialect::Dialect;
use crate::events;
use crate::live::Live;

impl<D> Call<D>
where
    D: Dialect,
{
    /// Takes what an answer says of its upstream's limit.
    pub(crate) fn take_limit(&self, live: &Live) {
        let named = live.marks.limit;
        let id = live.upstream();
        let mut upstreams = self.service.upstreams();
        let before = upstreams.limit(id);
        let is_new = upstreams.named_limit(id, named, self.sent_at, Instant::now());
        drop(upstreams);
        if !is_new && named != NamedLimit::Unreadable {
            return;
        }
        let now = match named {
            NamedLimit::None => String::new(),
            NamedLimit::Limit(limit) => limit.per_second().to_string(),
            NamedLimit::Unreadable => "unreadable".to_owned(),
        };
        let before = before.map(|limit| limit.per_second().to_string());
        events::UPSTREAM_LIMIT.emit(&[
            ("upstream", id),
            ("service", &self.admitted.service),
            ("limit", &now),
            ("before", &before.unwrap_or_default()),
        ]);
    }
}
