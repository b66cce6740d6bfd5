//! Data centres that requests must not be sent to, whatever the state of their upstreams.

use super::pick::{Pick, Requirements, Unavailable};
use super::upstreams::Upstreams;

/// Why the upstreams of a data centre get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum Restriction {
    /// The region of the data centre may not serve the request.
    #[display("region")]
    Region,
    /// An operator evacuated the data centre.
    #[display("evacuated")]
    Evacuated,
}

impl From<Restriction> for Unavailable {
    fn from(restriction: Restriction) -> Self {
        match restriction {
            Restriction::Region => Self::Region,
            Restriction::Evacuated => Self::NoUpstream,
        }
    }
}

impl Upstreams {
    /// Records whether `data_centre` is evacuated. Requests that run there complete normally.
    pub fn set_evacuated(&mut self, data_centre: &str, is_evacuated: bool) {
        if is_evacuated {
            self.evacuated.insert(data_centre.to_owned());
        } else {
            self.evacuated.remove(data_centre);
        }
    }

    /// Returns the number of this entry's requests at upstreams of `data_centre`.
    pub fn in_flight_in(&self, data_centre: &str) -> u32 {
        let members = self.members.values();
        let members = members.filter(|member| member.upstream.data_centre == data_centre);
        members.map(|member| member.own_in_flight).sum()
    }

    /// Returns why no upstream of `data_centre` may get the request, or `None` if one may.
    pub(super) fn restriction(
        &self,
        data_centre: &str,
        needs: &Requirements<'_>,
    ) -> Option<Restriction> {
        if self.evacuated.contains(data_centre) {
            return Some(Restriction::Evacuated);
        }
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
