//! One request on its way.

use std::sync::Arc;

use turmericrail_core::forward::{Route, RouteTable};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::units::Millis;

use super::caller_connection::Request;
use super::clock;
use super::shared::Shared;

/// One request on its way.
pub struct CallContext<'a> {
    /// What the edges share.
    pub shared: &'a Arc<Shared>,
    /// The request.
    pub request: &'a Request,
    /// Its id.
    pub request_id: &'a str,
    /// The configuration at its arrival.
    pub table: &'a RouteTable,
    /// Its route.
    pub route: &'a Route,
    /// The service that serves it.
    pub service: &'a ServiceId,
    /// When it must be answered.
    pub deadline_ms: Millis,
}

impl CallContext<'_> {
    /// Time until it must be answered.
    pub fn left_ms(&self) -> Millis {
        self.deadline_ms.saturating_sub(clock::now_ms())
    }

    /// Time since its arrival.
    pub fn elapsed_ms(&self) -> Millis {
        clock::now_ms().saturating_sub(self.request.arrived_ms)
    }

    /// Whether the service runs model engines.
    pub fn is_model_call(&self) -> bool {
        self.table.service(self.service).is_some_and(|service| service.engine.is_some())
    }
}
