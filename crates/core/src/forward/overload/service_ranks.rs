//! The ranks of the requests that a service may get.

use std::collections::BTreeSet;

use crate::forward::{Route, TenantTable};

/// Ranks of the requests of one service, by its routes and the tenants.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRanks(BTreeSet<u8>);

impl ServiceRanks {
    /// Adds the ranks of the requests of a route. A tenant's priority replaces that of the route;
    /// requests without a tenant need a public route where there are tenants.
    pub fn add_route(&mut self, route: &Route, tenants: Option<&TenantTable>) {
        let Some(tenants) = tenants else {
            self.0.insert(route.priority);
            return;
        };
        if route.is_public {
            self.0.insert(route.priority);
        }
        self.0.extend(tenants.priorities().map(|priority| priority.unwrap_or(route.priority)));
    }

    /// Whether requests of different ranks compete for the service.
    pub fn differ(&self) -> bool {
        self.0.len() > 1
    }

    /// Number of ranks.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Number of ranks that are more urgent than this one.
    pub fn position(&self, rank: u8) -> usize {
        self.0.range(..rank).count()
    }
}

impl FromIterator<u8> for ServiceRanks {
    fn from_iter<I: IntoIterator<Item = u8>>(ranks: I) -> Self {
        Self(ranks.into_iter().collect())
    }
}
