//! HTTP server that runs a tide app on a loopback port.

use std::net::SocketAddr;

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use tide::Server;

use crate::ports::free_address;

/// Serves the app on a free loopback port until the process ends; returns the address.
pub async fn serve<S>(app: Server<S>) -> std::io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    serve_at(free_address()?, app).await
}

/// Serves the app on an address until the process ends; returns the address.
pub async fn serve_at<S>(address: SocketAddr, app: Server<S>) -> std::io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let app = app.clone();
            task::spawn(async move {
                let connection = stream.clone();
                let _ = async_h1::accept(stream, |request| app.respond(request)).await;
                let _ = connection.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(address)
}
