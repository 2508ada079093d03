//! Listens for requests of other instances.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;

use crate::accept_loop::{self, AcceptLoop};
use crate::error::StartError;
use crate::forward::callers::caller_connection::CallerConnection;
use crate::forward::callers::caller_listener;
use crate::forward::shared::Shared;
use crate::tcp_timeouts::limit_receive_buffer;

/// Listens until the returned loop is stopped; `None` if requests aren't handed over.
pub async fn listen(shared: &Arc<Shared>) -> Result<Option<AcceptLoop>, StartError> {
    let Some(port) = shared.handover.port else {
        return Ok(None);
    };
    let address = SocketAddr::new(shared.settings().peer_address.ip(), port);
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    limit_receive_buffer(&listener, shared.settings().receive_buffer_bytes);
    let shared = Arc::clone(shared);
    Ok(Some(accept_loop::start(listener, move |stream| {
        let Some(connection) = CallerConnection::accept_instance(&shared, stream) else {
            return;
        };
        let count_guard = shared.count_connection();
        task::spawn(caller_listener::serve(Arc::clone(&shared), connection, count_guard));
    })))
}
