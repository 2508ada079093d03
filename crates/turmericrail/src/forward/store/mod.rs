//! The platform's store: reading, watching, and following instances that watch it.

pub mod change_signal;
pub mod follow_state;
pub mod store_client;
pub mod store_follow;
pub mod store_sync;
pub mod store_watch;
