//! The routes, services and limits of one configuration version.

use std::collections::BTreeMap;
use std::sync::Arc;

use thiserror::Error;

use super::{Route, Service};
use crate::ids::{ConfigVersion, RouteId, ServiceId};
use crate::units::{Bytes, Millis};

/// What callers may send and how long they may take.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Largest head.
    pub max_header_bytes: Bytes,
    /// Largest body.
    pub max_body_bytes: Bytes,
    /// Longest time for a head to arrive.
    pub header_timeout_ms: Millis,
    /// Longest time for which a connection may stay idle.
    pub idle_timeout_ms: Millis,
}

/// Why routes make no table.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum TableError {
    /// A route names a service that the configuration lacks.
    #[error("route {route}: no service {service}: add it or change the route")]
    UnknownService {
        /// The route.
        route: RouteId,
        /// The service.
        service: ServiceId,
    },
    /// A route has no service with a weight above zero.
    #[error("route {route}: no service gets any calls: give one a weight above zero")]
    NoService {
        /// The route.
        route: RouteId,
    },
}

/// The routes, services and limits of one configuration version.
#[derive(Clone, Debug)]
pub struct RouteTable {
    version: ConfigVersion,
    limits: RequestLimits,
    services: BTreeMap<ServiceId, Service>,
    /// By host; the longest prefix first.
    routes: BTreeMap<String, Vec<Arc<Route>>>,
}

impl RouteTable {
    /// Checks and sorts what a configuration holds.
    pub fn new(
        version: ConfigVersion,
        limits: RequestLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
    ) -> Result<Self, TableError> {
        let services: BTreeMap<_, _> =
            services.into_iter().map(|service| (service.name.clone(), service)).collect();
        let mut by_host: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            if route.services.iter().all(|shared| shared.weight == 0) {
                return Err(TableError::NoService { route: route.name });
            }
            let unknown = route.services.iter().find(|it| !services.contains_key(&it.service));
            if let Some(unknown) = unknown {
                let service = unknown.service.clone();
                return Err(TableError::UnknownService { route: route.name, service });
            }
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        Ok(Self { version, limits, services, routes: by_host })
    }

    /// The route with the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(host)?;
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// The version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceId) -> Option<&Service> {
        self.services.get(name)
    }

    /// Every service.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Whether there is a route of this name.
    pub fn has_route(&self, name: &RouteId) -> bool {
        self.routes.values().flatten().any(|route| route.name == *name)
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}
