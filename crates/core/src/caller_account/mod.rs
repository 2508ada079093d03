//! What callers make a process hold: the memory and the number of their connections, both limited.
//!
//! Every byte counts from the first on, when it has arrived; what a request announces takes no room.
//! While there is room nobody is hindered. Once it is short, a connection gives way: the one with
//! the largest product of the bytes it holds and the time since they began to be held. A connection
//! whose request is being served doesn't give way, since its request may run.
//!
//! A connection that gives way counts as leaving until its task has released what it holds. A small
//! part of that room is granted before; who needs more asks again.

mod account;
mod holding;
mod limits;
mod phase;

pub use account::{CallerAccount, Growth, Shortage};
pub use limits::AccountLimits;
pub use phase::ConnectionPhase;
