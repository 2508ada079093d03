//! At-most-once execution of calls that are not idempotent.

pub mod book;
pub mod seal;
pub mod ticket;

pub use book::{Admission, BookLimits, TICKET_LIFE_MS, TicketBook};
pub use seal::Seal;
pub use ticket::Ticket;
