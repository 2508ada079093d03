//! Idle connections to backend servers, each used for one call at a time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};

use turmericrail_core::units::Millis;

use super::call_key::CallKey;
use super::server_connection::ServerConnection;
use crate::forward::callers::buffer_budget::BufferBudget;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;

/// Most idle connections to one server. The sum over all instances stays well below the connection
/// limit of a server.
const MAX_IDLE_PER_SERVER: usize = 4;
/// Most calls that one connection carries, which bounds the keys that it keeps.
const MAX_CARRIED_CALLS: usize = 64;
/// Time within which servers were seen to send an answer a second time.
const LATE_COPY_TIME_MS: Millis = Millis(1_000);
/// Idle timeout if the server names none.
const DEFAULT_IDLE_TIMEOUT_MS: Millis = Millis(4_000);
/// Margin below the server's idle timeout, since its close may already be under way.
const IDLE_MARGIN_MS: Millis = Millis(1_000);

/// Idle connections by address, the most recently used last.
pub struct ConnectionPool {
    /// Memory for the answers that come over the connections.
    pub answer_budget: BufferBudget,
    idle: Mutex<BTreeMap<SocketAddr, Vec<ServerConnection>>>,
}

impl ConnectionPool {
    /// An empty pool, whose answers may take so much memory together while they are held.
    pub fn new(max_answer_bytes: usize) -> Self {
        Self { answer_budget: BufferBudget::new(max_answer_bytes), idle: Mutex::default() }
    }

    fn idle(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<ServerConnection>>> {
        self.idle.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Takes an idle connection on which nothing has arrived since its last answer, and that has
    /// carried no call with this key: a late copy of that call's answer would pass for the answer to
    /// this one.
    pub async fn take(
        &self,
        address: SocketAddr,
        key: Option<CallKey>,
    ) -> Option<ServerConnection> {
        let has_carried = |connection: &ServerConnection| {
            key.is_some_and(|key| connection.carried_calls.contains(&key))
        };
        let mut connection =
            self.take_where(address, |connection| !has_carried(connection)).await?;
        connection.carried_calls.extend(key);
        Some(connection)
    }

    /// Opens a connection for a call with this key.
    pub async fn open(
        address: SocketAddr,
        key: Option<CallKey>,
    ) -> Result<ServerConnection, CallFailure> {
        let mut connection = ServerConnection::open(address).await?;
        connection.carried_calls.extend(key);
        Ok(connection)
    }

    /// Takes an idle connection for a call that grants something: one whose last grant is so old that
    /// a late copy of it would have come.
    pub async fn take_for_grant(&self, address: SocketAddr) -> Option<ServerConnection> {
        let now_ms = clock::now_ms();
        let is_old = |granted_ms| now_ms >= granted_ms + LATE_COPY_TIME_MS;
        self.take_where(address, |connection| connection.last_grant_ms.is_none_or(is_old)).await
    }

    async fn take_where(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(&ServerConnection) -> bool,
    ) -> Option<ServerConnection> {
        loop {
            let mut connection = self.pop_where(address, &is_suitable)?;
            if is_fresh(&connection) && connection.is_usable().await {
                return Some(connection);
            }
        }
    }

    fn pop_where(
        &self,
        address: SocketAddr,
        is_suitable: impl Fn(&ServerConnection) -> bool,
    ) -> Option<ServerConnection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        let index = connections.iter().rposition(is_suitable)?;
        Some(connections.remove(index))
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn put(&self, address: SocketAddr, mut connection: ServerConnection) {
        connection.has_open_call = false;
        if connection.carried_calls.len() >= MAX_CARRIED_CALLS {
            return;
        }
        connection.last_used_ms = clock::now_ms();
        let mut idle = self.idle();
        let connections = idle.entry(address).or_default();
        connections.push(connection);
        if connections.len() > MAX_IDLE_PER_SERVER {
            connections.remove(0);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn expire(&self) {
        self.idle().retain(|_, connections| {
            connections.retain(is_fresh);
            !connections.is_empty()
        });
    }
}

fn is_fresh(connection: &ServerConnection) -> bool {
    let limit_ms = match connection.keep_alive_ms {
        Some(limit_ms) => limit_ms.saturating_sub(IDLE_MARGIN_MS),
        None => DEFAULT_IDLE_TIMEOUT_MS,
    };
    clock::now_ms() < connection.last_used_ms + limit_ms
}
