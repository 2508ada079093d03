//! Accepts callers' connections and serves the requests of each in turn.

use std::sync::Arc;

use async_std::net::TcpListener;
use async_std::task;

use super::answer_writer;
use super::caller_connection::CallerConnection;
use super::connection_end::ConnectionEnd;
use super::dispatch::{self, ConnectionAction};
use super::unread::Unread;
use crate::accept_loop::{self, AcceptLoop};
use crate::connection_close;
use crate::error::StartError;
use crate::forward::shared::{CountGuard, Shared};
use crate::tcp_timeouts::{limit_receive_buffer, log_refusal};

/// Listens for callers until the returned loop is stopped.
pub async fn listen(shared: &Arc<Shared>) -> Result<AcceptLoop, StartError> {
    let address = shared.settings().caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    limit_receive_buffer(&listener, shared.settings().receive_buffer_bytes);
    let shared = Arc::clone(shared);
    Ok(accept_loop::start(listener, move |stream| {
        let Some(connection) = CallerConnection::accept(&shared, stream) else {
            return;
        };
        // Counted here, so that the process doesn't end between the accept and the first read.
        let count_guard = shared.count_connection();
        task::spawn(serve(Arc::clone(&shared), connection, count_guard));
    }))
}

/// Serves the requests of a connection in turn.
pub async fn serve(
    shared: Arc<Shared>,
    mut connection: CallerConnection,
    _count_guard: CountGuard,
) {
    // Without the system's timeouts: a caller that reads slowly, or whose link holds packets for
    // seconds, is alive. The idle limit and those of heads, bodies and unread answers end the others.
    log_refusal(connection.stream.set_nodelay(true));
    let end = loop {
        let request = match connection.receive(&shared).await {
            Ok(request) => request,
            Err(Unread::Refused { kind, request_id, is_head_call }) => {
                connection.discard();
                let request_id = request_id.as_deref();
                let answer =
                    answer_writer::error_answer(kind, None, request_id, is_head_call, false);
                if connection.is_evicted() {
                    shared.metrics.answers.with_label_values(&[kind.answer().text]).inc();
                    connection.write_now(&answer).await;
                    connection_close::close_now(&connection.stream).await;
                    break ConnectionEnd::Evicted;
                }
                dispatch::log_answer(&shared, request_id, kind.answer().text, 0);
                break match connection.write(&answer).await {
                    Ok(()) => ConnectionEnd::Refused,
                    Err(error) => ConnectionEnd::WriteFailed(error.kind()),
                };
            }
            Err(Unread::Ended(end)) => break end,
        };
        let _count_guard = shared.count_call();
        // Boxed, so that a connection without a request doesn't hold the state of serving one.
        match Box::pin(dispatch::serve(&shared, &mut connection, &request)).await {
            ConnectionAction::KeepAlive => {}
            ConnectionAction::Close => break ConnectionEnd::Answered,
            ConnectionAction::Abort(end) => {
                if request.head.is_http_10 {
                    connection_close::reset_on_drop(&connection.stream);
                }
                connection.abort(&shared, end);
                return;
            }
        }
    };
    connection.close(&shared, end).await;
}
