//! Accepts callers' connections and serves the requests of each in turn.

use std::sync::Arc;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task::{self, JoinHandle};

use super::answer_writer;
use super::caller_connection::{CallerConnection, Received};
use super::dispatch;
use super::server_connection::TCP_TIMEOUTS;
use super::shared::Shared;
use crate::error::StartError;

/// Delay after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens for callers until the returned task is cancelled.
pub async fn listen(shared: &Arc<Shared>) -> Result<JoinHandle<()>, StartError> {
    let address = shared.settings().caller_address;
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|source| StartError::Listen { address, source })?;
    let shared = Arc::clone(shared);
    Ok(task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(accepted) = incoming.next().await {
            match accepted {
                Ok(stream) => {
                    task::spawn(serve(Arc::clone(&shared), stream));
                }
                Err(error) => {
                    spdlog::warn!("event=accept_failed error={:?}", error.to_string());
                    task::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }))
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let _count_guard = shared.count_connection();
    TCP_TIMEOUTS.apply(&stream);
    let mut connection = CallerConnection::new(stream);
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
            // incomplete.
            dispatch::ConnectionAction::Abort => return,
        }
    }
    connection.close().await;
}
