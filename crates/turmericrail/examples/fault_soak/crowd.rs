//! Callers that hold back the end of their bodies while faults are injected.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use turmericrail_fakes::registered::request_head;

/// Callers at one instance; together they send more than it may hold for its callers.
const MEMBERS: usize = 150;
const BODY_BYTES: usize = 65_536;
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Longest wait of one caller for a connection, or to send.
const TIMEOUT: Duration = Duration::from_millis(200);

/// Connections that stay open.
pub struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Sends all but the end of a body on each connection. An instance that fails takes fewer.
    pub fn start(address: SocketAddr) -> Self {
        let streams = (0..MEMBERS).filter_map(|number| send_unfinished(address, number)).collect();
        Self { _streams: streams }
    }
}

fn send_unfinished(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT).ok()?;
    stream.set_write_timeout(Some(TIMEOUT)).ok()?;
    let id = format!("crowd-{number}");
    let head = request_head("order", "x", &id, CALLER_TIMEOUT_MS, BODY_BYTES);
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + BODY_BYTES - 1, b'x');
    // The instance may refuse the rest.
    let _ = stream.write_all(&bytes);
    Some(stream)
}
