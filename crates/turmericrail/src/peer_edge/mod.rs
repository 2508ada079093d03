//! Messages between instances over tonic.

pub mod client;
pub mod server;
