//! One call to a plain service: its route and its tries.

use std::collections::BTreeSet;

use crate::ids::{RouteId, ServerId};
use crate::units::Millis;

/// One plain call on its way.
#[derive(Clone, Debug)]
pub struct PlainFlow {
    /// The route.
    pub route: RouteId,
    /// Serial number of the ticket, where the call spends one.
    pub serial: Option<u64>,
    /// When it arrived.
    pub arrived_ms: Millis,
    /// Servers tried.
    pub tried: BTreeSet<ServerId>,
}
