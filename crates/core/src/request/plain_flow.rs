//! A plain call: the caller that waits and the execution it waits for.
//!
//! The two end apart: a caller gets its final answer at its deadline, while the execution of a
//! ticket goes on until its result is known, so that later copies learn it.

use std::collections::BTreeSet;

use crate::ids::{RouteId, ServerId};
use crate::units::Millis;

/// One caller that waits for the answer of a plain call.
#[derive(Clone, Debug)]
pub struct PlainCaller {
    /// When its final answer is given at the latest.
    pub deadline_ms: Millis,
    /// Whether its call was forwarded to the ticket's home.
    pub is_forwarded: bool,
}

/// One execution of a plain call.
#[derive(Clone, Debug)]
pub struct PlainFlow {
    /// The route.
    pub route: RouteId,
    /// Serial number of the ticket, where the call spends one.
    pub serial: Option<u64>,
    /// When the last try ends.
    pub deadline_ms: Millis,
    /// When an idempotent call that has no answer is tried elsewhere as well.
    pub hedge_ms: Millis,
    /// Servers tried.
    pub tried: BTreeSet<ServerId>,
    /// Servers whose try has not ended.
    pub running: BTreeSet<ServerId>,
    /// Whether a byte may have been written to a server.
    pub may_have_run: bool,
}
