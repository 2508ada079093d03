//! Listening on a loopback port with a tide app.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use async_std::net::TcpListener;
use async_std::stream::StreamExt;
use async_std::task;
use tide::Server;

/// Any free loopback port.
pub const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Listens on a free loopback port and serves the app until the process ends.
pub async fn serve<S>(app: Server<S>) -> std::io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    serve_at(FREE_PORT, app).await
}

/// Listens on an address and serves the app until the process ends.
pub async fn serve_at<S>(address: SocketAddr, app: Server<S>) -> std::io::Result<SocketAddr>
where
    S: Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            let Ok(stream) = stream else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let app = app.clone();
            task::spawn(async move {
                let closing = stream.clone();
                let _ = async_h1::accept(stream, |request| app.respond(request)).await;
                let _ = closing.shutdown(std::net::Shutdown::Both);
            });
        }
    });
    Ok(address)
}
