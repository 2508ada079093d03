//! The ranks of the requests that a service may get.

use std::collections::BTreeSet;

use crate::forward::{Route, Tenant, TenantTable};

/// Priorities of the requests of one service, by its routes and the tenants: a tenant's priority
/// decides, and among tenants of the same priority the route's. A request's rank is the number of
/// more urgent priorities.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ServiceRanks(BTreeSet<(u8, u8)>);

impl ServiceRanks {
    /// Adds the priorities of the requests of a route. Requests without a tenant need a public route
    /// where there are tenants.
    pub fn add_route(&mut self, route: &Route, tenants: Option<&TenantTable>) {
        let Some(tenants) = tenants else {
            self.0.insert(priorities(route, None));
            return;
        };
        if route.is_public {
            self.0.insert(priorities(route, None));
        }
        self.0.extend(tenants.priorities().map(|priority| priorities(route, priority)));
    }

    /// Whether requests of different ranks compete for the service.
    pub fn differ(&self) -> bool {
        self.0.len() > 1
    }

    /// Number of ranks.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The rank of a request; zero is the most urgent.
    pub fn rank(&self, route: &Route, tenant: Option<&Tenant>) -> u8 {
        let own = priorities(route, tenant.and_then(|tenant| tenant.priority));
        u8::try_from(self.0.range(..own).count()).unwrap_or(u8::MAX)
    }
}

/// Requests without a tenant's priority compete by their route's.
fn priorities(route: &Route, tenant_priority: Option<u8>) -> (u8, u8) {
    (tenant_priority.unwrap_or(route.priority), route.priority)
}

impl FromIterator<u8> for ServiceRanks {
    /// The ranks of routes with these priorities, without tenants.
    fn from_iter<I: IntoIterator<Item = u8>>(priorities: I) -> Self {
        Self(priorities.into_iter().map(|priority| (priority, priority)).collect())
    }
}
