//! Seats on engines: what owners grant, and the leases that keep engine memory from being held
//! for callers that are gone.

pub mod lease_table;

pub use lease_table::{EngineCapacity, Lease, LeaseTable};
