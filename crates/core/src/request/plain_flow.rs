//! A plain call in flight: the waiting caller, and the execution that it waits for.
//!
//! The two can end at different times: a caller gets its final answer by its deadline, while the
//! execution of a ticket continues until its result is known, so that later copies of the call get
//! it.

use std::collections::BTreeSet;

use crate::ids::{RouteId, ServerId};
use crate::units::Millis;

/// A caller that waits for the answer of a plain call.
#[derive(Clone, Debug)]
pub struct PlainCaller {
    /// When the caller gets its final answer at the latest.
    pub deadline_ms: Millis,
    /// Whether the call was forwarded to the instance that issued its ticket.
    pub is_forwarded: bool,
}

/// An execution of a plain call.
#[derive(Clone, Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct PlainFlow {
    pub route: RouteId,
    /// Serial number of the ticket; `None` for an idempotent call.
    pub serial: Option<u64>,
    /// When the last attempt times out.
    pub deadline_ms: Millis,
    /// When an unanswered idempotent call is sent to a second server.
    pub hedge_ms: Millis,
    /// Servers that the call was sent to.
    pub tried: BTreeSet<ServerId>,
    /// Servers whose attempt has not ended.
    pub running: BTreeSet<ServerId>,
    /// Whether an ended attempt may have written to its server.
    pub may_have_run: bool,
}
