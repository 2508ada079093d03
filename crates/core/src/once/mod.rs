//! At-most-once execution of calls that may not be repeated.

pub mod book;
pub mod seal;
pub mod ticket;

pub use book::{Admission, TicketBook, TicketState};
pub use seal::Seal;
pub use ticket::Ticket;
