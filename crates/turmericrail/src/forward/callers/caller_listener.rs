//! Accepts callers' connections and serves the requests of each in turn.

use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;

use super::answer_writer;
use super::caller_connection::{CallerConnection, Received};
use super::dispatch;
use crate::accept_loop::{self, AcceptLoop};
use crate::connection_close;
use crate::error::StartError;
use crate::forward::servers::server_connection::TCP_TIMEOUTS;
use crate::forward::shared::{CountGuard, Shared};

/// Listens for callers until the returned loop is stopped.
pub async fn listen(shared: &Arc<Shared>) -> Result<AcceptLoop, StartError> {
    let address = shared.settings().caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    let shared = Arc::clone(shared);
    Ok(accept_loop::start(listener, move |stream| {
        // Counted here, so that the process doesn't end between the accept and the first read.
        let count_guard = shared.count_connection();
        let connection = CallerConnection::new(stream);
        task::spawn(serve(Arc::clone(&shared), connection, count_guard));
    }))
}

/// Serves the requests of a connection in turn.
pub async fn serve(
    shared: Arc<Shared>,
    mut connection: CallerConnection,
    _count_guard: CountGuard,
) {
    TCP_TIMEOUTS.apply(&connection.stream);
    loop {
        let request = match connection.receive(&shared).await {
            Received::Request(request) => request,
            Received::Refused(kind, request_id) => {
                let request_id = request_id.as_deref();
                dispatch::log_answer(&shared, request_id, kind.answer().text, 0);
                let answer = answer_writer::error_answer(kind, None, request_id, false);
                let _ = connection.write(&answer).await;
                break;
            }
            Received::Closed => break,
        };
        let _count_guard = shared.count_call();
        match dispatch::serve(&shared, &mut connection, &request).await {
            dispatch::ConnectionAction::KeepAlive => {}
            dispatch::ConnectionAction::Close => break,
            // Dropped without an orderly close, so that the caller sees that its answer is
            // incomplete: it lacks the last chunk.
            dispatch::ConnectionAction::Abort => {
                if request.head.is_http_10 {
                    connection_close::reset_on_drop(&connection.stream);
                }
                return;
            }
        }
    }
    connection.close().await;
}
