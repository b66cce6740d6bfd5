//! Data centres that requests must not be sent to, whatever the state of their upstreams.

use super::pick::{Pick, Requirements, Unavailable};
use super::upstreams::Upstreams;

/// Why the upstreams of a data centre get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Restriction {
    /// The region of the data centre may not serve the request.
    #[display("region")]
    Region,
}

impl From<Restriction> for Unavailable {
    fn from(restriction: Restriction) -> Self {
        match restriction {
            Restriction::Region => Self::Region,
        }
    }
}

impl Upstreams {
    /// Returns why no upstream of `data_centre` may get the request, or `None` if one may.
    pub(super) fn restriction(
        &self,
        data_centre: &str,
        needs: &Requirements<'_>,
    ) -> Option<Restriction> {
        let region = self.region_of(data_centre);
        (!needs.regions.allows(region)).then_some(Restriction::Region)
    }

    /// Returns why the request must not be sent to `pick` any more. Checked again just before the request is
    /// sent: connecting takes time, in which an upstream may register at another place under the same id.
    pub fn restriction_of(&self, pick: &Pick, needs: &Requirements<'_>) -> Option<Restriction> {
        let member = self.members.get(&pick.id);
        let registered = member.and_then(|it| self.restriction(&it.upstream.data_centre, needs));
        registered.or_else(|| self.restriction(&pick.data_centre, needs))
    }
}
