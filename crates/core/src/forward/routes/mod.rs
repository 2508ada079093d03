//! The configuration: routes, services and limits on requests.

mod route;
mod service;
mod table;

pub use route::{Route, RouteKind, WeightedService};
pub use service::{EngineLimits, Service};
pub use table::{RequestLimits, RouteTable, TableError};
