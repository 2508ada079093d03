//! An engine that should change its role.

use std::net::SocketAddr;

use super::ServerRun;
use crate::config::ServerRole;

/// An engine that should change its role, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoleChange {
    /// The run of the engine.
    pub run: ServerRun,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The role that it should have.
    pub role: ServerRole,
    /// Prefill engines at present.
    pub prefill: usize,
    /// Decode engines at present.
    pub decode: usize,
    /// Prefill engines beyond those that are needed; a minus where some lack.
    pub surplus: i64,
}
