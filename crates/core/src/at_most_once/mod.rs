//! At-most-once execution of calls that are not idempotent.
//!
//! An instance issues sealed tickets and keeps, for each ticket that was spent, whether its call
//! runs or how it was answered.

pub mod seal;
pub mod ticket;
pub mod ticket_table;

pub use seal::SealKey;
pub use ticket::Ticket;
pub use ticket_table::{CopyDecision, TICKET_LIFETIME_MS, TicketLimits, TicketTable};
