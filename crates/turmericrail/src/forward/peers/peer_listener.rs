//! Accepts the connections of other instances.

use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use futures_lite::{Stream, StreamExt};
use tonic::transport::server::{Router, TcpIncoming};

/// Pause after a failed accept, so that file descriptors can become free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves other instances; fails if the address can't be listened on.
pub async fn serve(
    address: SocketAddr,
    router: Router,
) -> Result<(), Box<dyn Error + Send + Sync>> {
    let incoming = TcpIncoming::bind(address)?.with_nodelay(Some(true));
    let accepted = Box::pin(accepted_streams(incoming));
    Ok(router.serve_with_incoming(accepted).await?)
}

/// The accepted connections. The server would end with the first accept that fails, as for want of
/// file descriptors.
fn accepted_streams(incoming: TcpIncoming) -> impl Stream<Item = <TcpIncoming as Stream>::Item> {
    let accepting = incoming.then(|accepted| async {
        if let Err(error) = &accepted {
            spdlog::warn!("event=peer_accept_failed error={:?}", error.to_string());
            task::sleep(ACCEPT_RETRY_DELAY).await;
        }
        accepted
    });
    accepting.filter(Result::is_ok)
}
