//! The ranks of the requests that can reach each service.

use std::collections::BTreeMap;
use std::time::Duration;

use wagtailreel_core::ServiceName;

use crate::directory::{Customer, CustomerRank, Route};

/// Ranks by which requests are ordered: that of the customer, and among customers of the same rank that of the
/// route. A customer without a rank has that of the route.
type RankPair = (CustomerRank, CustomerRank);

/// The ranks of the requests that can reach one service, each with the shortest objective of its routes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRanks {
    objectives: BTreeMap<RankPair, Duration>,
}

impl ServiceRanks {
    /// Collects the ranks for all services.
    pub(crate) fn collect(routes: &[Route], customers: &[Customer]) -> BTreeMap<ServiceName, Self> {
        let mut services: BTreeMap<ServiceName, Self> = BTreeMap::new();
        for route in routes {
            let pairs: Vec<RankPair> = if route.is_public || customers.is_empty() {
                vec![pair(None, route.rank)]
            } else {
                let pairs = customers.iter().map(|it| pair(it.rank, route.rank));
                pairs.collect()
            };
            for (service, _) in &route.services {
                let known = services.entry(service.clone()).or_default();
                for pair in &pairs {
                    let objective = known.objectives.entry(*pair).or_insert(route.objective);
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

    /// Returns how many ranks are more urgent than that of a request; 0 is the most urgent.
    pub fn position(&self, customer: Option<CustomerRank>, route: CustomerRank) -> u8 {
        let before = self.objectives.range(..pair(customer, route)).count();
        u8::try_from(before).unwrap_or(u8::MAX)
    }

    /// Returns the shortest objective of the routes of the ranks before `position`, if there are any.
    pub fn objective_before(&self, position: u8) -> Option<Duration> {
        self.objectives
            .values()
            .take(position.into())
            .min()
            .copied()
    }
}

fn pair(customer: Option<CustomerRank>, route: CustomerRank) -> RankPair {
    (customer.unwrap_or(route), route)
}
