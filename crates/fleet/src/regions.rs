//! Regions whose upstreams may serve a request.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use wagtailreel_core::Region;

/// Regions whose upstreams may serve the requests of a route or customer. The default has no restriction.
///
/// An intersection may leave no region. That differs from no restriction, so the two are kept apart.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AllowedRegions(Option<BTreeSet<Region>>);

impl AllowedRegions {
    /// Restricts requests to `regions`; an empty list is no restriction.
    pub fn new<I>(regions: I) -> Self
    where
        I: IntoIterator<Item = Region>,
    {
        let regions: BTreeSet<Region> = regions.into_iter().collect();
        Self((!regions.is_empty()).then_some(regions))
    }

    /// Returns the regions that both restrictions allow.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (Some(ours), Some(theirs)) => Self(Some(ours & theirs)),
            (ours, theirs) => Self(ours.as_ref().or(theirs.as_ref()).cloned()),
        }
    }

    /// Returns whether an upstream in `region` may serve; `None` stands for a data centre of no known region.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        match &self.0 {
            None => true,
            Some(allowed) => region.is_some_and(|region| allowed.contains(region)),
        }
    }

    /// Returns whether every region is allowed.
    pub const fn is_unrestricted(&self) -> bool {
        self.0.is_none()
    }

    /// Returns whether no region is allowed.
    pub fn is_empty(&self) -> bool {
        self.0.as_ref().is_some_and(BTreeSet::is_empty)
    }
}
