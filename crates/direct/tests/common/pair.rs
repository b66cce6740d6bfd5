//! An entry with two upstreams, either of which may be chosen first.

use wagtailreel_direct::DirectEntry;
use wagtailreel_standins::RegistryStandin;

use super::caller::call;
use super::upstream::{Act, TestUpstream};
use super::{TestDialect, ready_entry};

/// An entry with two upstreams that perform the same acts.
pub(crate) struct Pair {
    pub(crate) entry: DirectEntry<TestDialect>,
    upstreams: [TestUpstream; 2],
    _registry: RegistryStandin,
}

impl Pair {
    pub(crate) async fn start(acts: &[Act]) -> Self {
        let registry = RegistryStandin::default();
        let upstreams = [
            TestUpstream::start(acts).await,
            TestUpstream::start(acts).await,
        ];
        let [a, b] = &upstreams;
        let entry = ready_entry(&registry, &[("a", a.addr), ("b", b.addr)]).await;
        Self {
            entry,
            upstreams,
            _registry: registry,
        }
    }

    /// Like [`start`](Self::start), with a connection to each upstream that has carried an answer.
    pub(crate) async fn with_kept_connections(acts: &[Act]) -> Self {
        let first = Act::Answer(200, "first");
        let acts: Vec<Act> = std::iter::once(first).chain(acts.iter().cloned()).collect();
        let pair = Self::start(&acts).await;
        while pair.upstreams.iter().any(|it| it.seen().is_empty()) {
            let answer = call(pair.entry.callers(), "GET", "/read/0").await;
            assert_eq!(answer.body, "first");
        }
        pair
    }

    /// Makes `act` the only act left as soon as one of the upstreams gets its next request, and again when the other
    /// one does.
    pub(crate) fn set_second_act(&self, act: &Act) {
        let [a, b] = &self.upstreams;
        for upstream in [a, b] {
            upstream.set_next_act(a, b, act.clone());
        }
    }
}
