//! Kept connections to backend servers: one call at a time on each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use turmericrail_core::units::Millis;

use super::clock;
use super::server_connection::ServerConnection;

/// Most idle connections to one server; those of all instances together stay well below what a
/// server takes.
const MAX_IDLE: usize = 4;
/// Time for which a connection is kept idle where the server names no limit.
const DEFAULT_IDLE_MS: Millis = Millis(4_000);
/// Part of the server's idle limit that is kept as a margin: its close may be on its way.
const IDLE_MARGIN_MS: Millis = Millis(1_000);

/// Kept connections by address, the one used last at the end.
#[derive(Default)]
pub struct ConnectionPool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    fn idle(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// A kept connection on which nothing has come since its last answer.
    pub async fn take(&self, address: SocketAddr) -> Option<ServerConnection> {
        loop {
            let mut connection = self.idle().get_mut(&address)?.pop()?;
            if is_fresh(&connection) && connection.is_clean().await {
                return Some(connection);
            }
        }
    }

    /// Keeps a connection after a whole answer.
    pub fn put(&self, address: SocketAddr, mut connection: ServerConnection) {
        connection.used_ms = clock::now_ms();
        let mut idle = self.idle();
        let kept = idle.entry(address).or_default();
        kept.push(connection);
        if kept.len() > MAX_IDLE {
            kept.remove(0);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        self.idle().retain(|_, kept| {
            kept.retain(is_fresh);
            !kept.is_empty()
        });
    }
}

fn is_fresh(connection: &ServerConnection) -> bool {
    let limit_ms = match connection.keep_alive_ms {
        Some(limit_ms) => limit_ms.saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_MS,
    };
    clock::now_ms() < connection.used_ms + limit_ms
}
