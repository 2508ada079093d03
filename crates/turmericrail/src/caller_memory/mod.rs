//! Enforces the account of what callers make the process hold, for both interfaces.
//!
//! A connection opens a [`HeldConnection`] and adds to it what it holds as [`HeldBytes`]. The account
//! decides who gives way; the task of that connection learns it by [`HeldConnection::evicted`].

mod account_metrics;
mod eviction_log;
mod eviction_signal;
mod held_bytes;
mod held_connection;
pub mod open_files;
mod shared_account;

pub use account_metrics::AccountMetrics;
pub use held_bytes::HeldBytes;
pub use held_connection::HeldConnection;
pub use shared_account::SharedAccount;
