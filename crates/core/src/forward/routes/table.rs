//! Lookup of routes and services in one configuration version.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use thiserror::Error;

use crate::forward::{Route, Service, ServiceRanks, TenantError, TenantTable};
use crate::ids::{ConfigVersion, RouteId, ServiceId};
use crate::units::{Bytes, Millis};

/// Limits on the size and duration of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct RequestLimits {
    pub max_header_bytes: Bytes,
    pub max_body_bytes: Bytes,
    /// Time limit for the head to arrive.
    pub header_timeout_ms: Millis,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout_ms: Millis,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub enum TableError {
    /// A route names a service that the configuration does not define.
    #[error("route {route}: no service {service}: add it or change the route")]
    UnknownService { route: RouteId, service: ServiceId },
    /// All services of a route have weight zero.
    #[error("route {route}: no service gets any calls: give one a weight above zero")]
    NoService { route: RouteId },
    /// The tenants are inconsistent.
    #[error(transparent)]
    Tenants(#[from] TenantError),
}

/// The routes, services, tenants and limits of one configuration version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    limits: RequestLimits,
    services: BTreeMap<ServiceId, Service>,
    /// Routes by host and path prefix.
    routes: BTreeMap<String, BTreeMap<String, Arc<Route>>>,
    /// Routes that an earlier one with the same host and path prefix replaces.
    duplicate_routes: Vec<Arc<Route>>,
    route_names: BTreeSet<RouteId>,
    /// Shortest gap target of the routes to each service.
    gap_targets_ms: BTreeMap<ServiceId, Millis>,
    /// `None` if requests need no API key.
    tenants: Option<TenantTable>,
    ranks: BTreeMap<ServiceId, ServiceRanks>,
}

impl RouteTable {
    /// Validates the configuration and indexes its routes.
    pub fn new(
        version: ConfigVersion,
        limits: RequestLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Result<Self, TableError> {
        let services: BTreeMap<_, _> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut by_host: BTreeMap<String, BTreeMap<String, Arc<Route>>> = BTreeMap::new();
        let mut duplicate_routes = Vec::new();
        let mut route_names = BTreeSet::new();
        let gap_targets_ms = shortest_gap_targets(&routes);
        for route in routes {
            if route.services.iter().all(|weighted| weighted.weight == 0) {
                return Err(TableError::NoService { route: route.name });
            }
            let unknown = route.services.iter().find(|it| !services.contains_key(&it.service));
            if let Some(unknown) = unknown {
                let service = unknown.service.clone();
                return Err(TableError::UnknownService { route: route.name, service });
            }
            route_names.insert(route.name.clone());
            // The first of several routes with one prefix counts.
            let of_host = by_host.entry(route.host.clone()).or_default();
            match of_host.entry(route.path_prefix.clone()) {
                Entry::Vacant(entry) => {
                    entry.insert(Arc::new(route));
                }
                Entry::Occupied(_) => duplicate_routes.push(Arc::new(route)),
            }
        }
        let table = Self {
            version,
            limits,
            services,
            routes: by_host,
            duplicate_routes,
            route_names,
            gap_targets_ms,
            tenants: None,
            ranks: BTreeMap::new(),
        };
        Ok(table.with_ranks())
    }

    /// Collects the ranks of each service anew.
    fn with_ranks(mut self) -> Self {
        self.ranks.clear();
        for route in self.routes.values().flat_map(BTreeMap::values) {
            for weighted in route.services.iter().filter(|weighted| weighted.weight > 0) {
                let ranks = self.ranks.entry(weighted.service.clone()).or_default();
                ranks.add_route(route, self.tenants.as_ref());
            }
        }
        self
    }

    /// Adds the tenants whose keys requests need on routes that aren't public.
    pub fn with_tenants(self, tenants: TenantTable) -> Self {
        Self { tenants: Some(tenants), ..self }.with_ranks()
    }

    /// The ranks of a service's requests; `None` if no route leads to it.
    pub fn ranks(&self, service: &ServiceId) -> Option<&ServiceRanks> {
        self.ranks.get(service)
    }

    /// Whether requests of different ranks compete for a service.
    pub fn has_ranks(&self, service: &ServiceId) -> bool {
        self.ranks(service).is_some_and(ServiceRanks::differ)
    }

    /// The tenants; `None` if requests need no API key.
    pub fn tenants(&self) -> Option<&TenantTable> {
        self.tenants.as_ref()
    }

    /// Whether requests of different ranks compete for some service.
    pub fn has_any_ranks(&self) -> bool {
        self.ranks.values().any(ServiceRanks::differ)
    }

    /// The route of the host with the longest prefix of the path.
    ///
    /// Prefixes are looked up in their order instead of one by one: a prefix of the path that isn't
    /// the greatest one up to the path is a prefix of what the two have in common.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        let mut rest = path;
        loop {
            let up_to_rest = (Bound::Unbounded, Bound::Included(rest));
            let (prefix, route) = routes.range::<str, _>(up_to_rest).next_back()?;
            if rest.starts_with(prefix.as_str()) {
                return Some(route);
            }
            rest = common_prefix(rest, prefix);
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on requests.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// The service of this name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// The shortest target for the gaps between events of the routes to a service; `None` if none
    /// has one.
    pub fn gap_target_ms(&self, service: &ServiceId) -> Option<Millis> {
        self.gap_targets_ms.get(service).copied()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flat_map(BTreeMap::values)
    }

    /// Routes that get no calls, since an earlier one has the same host and path prefix.
    pub fn duplicate_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.duplicate_routes.iter()
    }

    /// Whether a route of this name exists.
    pub fn has_route(&self, name: &RouteId) -> bool {
        self.route_names.contains(name)
    }

    /// Number of routes over all hosts.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(BTreeMap::len).sum()
    }
}

/// The bytes that both texts begin with, up to a boundary between characters.
fn common_prefix<'a>(one: &'a str, other: &str) -> &'a str {
    let pairs = one.char_indices().zip(other.chars());
    let different = pairs.clone().find(|((_, one), other)| one != other);
    match different {
        Some(((at, _), _)) => &one[..at],
        None => &one[..one.len().min(other.len())],
    }
}

fn shortest_gap_targets(routes: &[Route]) -> BTreeMap<ServiceId, Millis> {
    let mut shortest_ms = BTreeMap::new();
    for route in routes {
        if route.gap_target_ms == Millis::ZERO {
            continue;
        }
        for weighted in &route.services {
            let known_ms =
                shortest_ms.entry(weighted.service.clone()).or_insert(route.gap_target_ms);
            *known_ms = route.gap_target_ms.min(*known_ms);
        }
    }
    shortest_ms
}
