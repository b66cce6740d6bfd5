//! The ranks of the requests that can reach each service.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_core::ServiceName;

use crate::directory::{Customer, CustomerRank, Route};

/// The ranks of the requests that can reach one service, each with the shortest objective of its routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRanks {
    objectives: BTreeMap<CustomerRank, Duration>,
}

impl ServiceRanks {
    /// Collects the ranks for all services. The rank of a customer overrides that of the route.
    pub(crate) fn collect(routes: &[Route], customers: &[Customer]) -> BTreeMap<ServiceName, Self> {
        let mut services: BTreeMap<ServiceName, Self> = BTreeMap::new();
        for route in routes {
            let ranks: Vec<CustomerRank> = if route.is_public || customers.is_empty() {
                vec![route.rank]
            } else {
                let ranks = customers.iter().map(|it| it.rank.unwrap_or(route.rank));
                ranks.collect()
            };
            for (service, _) in &route.services {
                let known = services.entry(service.clone()).or_default();
                for rank in &ranks {
                    let objective = known.objectives.entry(*rank).or_insert(route.objective);
                    *objective = route.objective.min(*objective);
                }
            }
        }
        services
    }

    /// Returns whether requests of different ranks can reach the service.
    pub fn differ(&self) -> bool {
        self.objectives.len() > 1
    }

    /// Returns the shortest objective of the routes of more urgent ranks than `rank`, if there are any.
    pub fn objective_before(&self, rank: CustomerRank) -> Option<Duration> {
        self.objectives.range(..rank).map(|(_, it)| *it).min()
    }
}
