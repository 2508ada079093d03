//! Seats on engines: what owners grant, and the leases that keep engine memory from being held
//! for callers that are gone.

pub mod ledger;

pub use ledger::{Lease, SeatLedger, SeatLimits};
