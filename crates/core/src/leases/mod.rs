//! Leases on the memory of engines: an owner grants seats, each the capacity for one stream, and
//! ends leases whose holders are gone.

pub mod lease_table;

pub use lease_table::{EngineCapacity, Lease, LeaseTable};
