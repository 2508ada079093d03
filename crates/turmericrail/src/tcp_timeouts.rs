//! When a connection that fell silent ends by itself.

use std::time::Duration;

use async_std::net::TcpStream;
use socket2::{SockRef, TcpKeepalive};

/// When a connection that fell silent ends by itself.
pub struct TcpTimeouts {
    /// Idle time before the first keepalive probe, and between probes.
    pub keepalive_interval: Duration,
    /// Probes without an answer that end the connection; the system's number where none is given.
    pub max_unanswered_probes: Option<u32>,
    /// Time after which unacknowledged bytes or probes end it.
    pub user_timeout: Duration,
}

impl TcpTimeouts {
    /// Applies it to a connection, whose small writes are also sent at once.
    pub fn apply(&self, stream: &TcpStream) {
        let socket = SockRef::from(stream);
        let mut keepalive = TcpKeepalive::new()
            .with_time(self.keepalive_interval)
            .with_interval(self.keepalive_interval);
        if let Some(probes) = self.max_unanswered_probes {
            keepalive = keepalive.with_retries(probes);
        }
        let set = [
            socket.set_tcp_keepalive(&keepalive),
            socket.set_tcp_user_timeout(Some(self.user_timeout)),
            stream.set_nodelay(true),
        ];
        for error in set.into_iter().filter_map(Result::err) {
            spdlog::warn!("event=socket_option_refused error={:?}", error.to_string());
        }
    }
}
