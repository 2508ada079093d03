//! TCP options that close a connection whose other end is gone or unreachable.

use std::io;
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use socket2::{SockRef, TcpKeepalive};
use turmericrail_core::units::Bytes;

/// Times after which the system closes a connection whose other end does not respond.
pub struct TcpTimeouts {
    /// Idle time before the first keepalive probe, and between probes.
    pub keepalive_interval: Duration,
    /// Unanswered probes after which the connection is closed.
    pub max_unanswered_probes: u32,
    /// Time without an acknowledgement of sent bytes or probes after which it is closed.
    pub user_timeout: Duration,
}

impl TcpTimeouts {
    /// Sets the options on a connection, and `TCP_NODELAY`, so that small writes are sent at once.
    pub fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_interval)
            .with_interval(self.keepalive_interval)
            .with_retries(self.max_unanswered_probes);
        let results = [
            socket.set_tcp_keepalive(&keepalive),
            socket.set_tcp_user_timeout(Some(self.user_timeout)),
            stream.set_nodelay(true),
        ];
        results.into_iter().for_each(log_refusal);
    }
}

/// Limits what the system keeps of each connection of a listener until it is read.
pub fn limit_receive_buffer(listener: &TcpListener, bytes: Bytes) {
    let socket = SockRef::from(listener);
    let size = bytes.0 as usize;
    // Linux keeps twice the size that it is given.
    let kept = socket.set_recv_buffer_size(size / 2).and_then(|()| socket.recv_buffer_size());
    if kept.is_ok_and(|kept| kept >= size) {
        return;
    }
    log_refusal(socket.set_recv_buffer_size(size));
}

/// Logs that the system refused to set an option.
pub fn log_refusal(result: io::Result<()>) {
    if let Err(error) = result {
        spdlog::warn!("event=socket_option_refused error={:?}", error.to_string());
    }
}
