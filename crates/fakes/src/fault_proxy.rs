//! Loopback TCP proxy that forwards bytes between clients and one server, and injects faults.
//!
//! A fault applies to the connections that a predicate selects by the first bytes that the client
//! sent, such as the path of a call. Once bytes of a connection have been dropped, all its bytes
//! are dropped until it is closed, even after the fault has been cleared; new connections then
//! work.

use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::io::prelude::*;
use async_std::net::{TcpListener, TcpStream};
use async_std::stream::StreamExt;
use async_std::task;
use futures_lite::future;

use crate::ports::free_listener;

/// Interval at which the faults of an idle connection are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of bytes that fault predicates see, from the start of what the client sends.
const HEAD_BYTES: usize = 4_096;
/// Limit on the bytes that one read takes from a connection.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// What the proxy does to a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// Closes it in both directions.
    Close,
    /// Drops the bytes of both directions and keeps the connection open.
    DropAll,
    /// Drops the bytes from the client and forwards those from the server.
    DropFromClient,
    /// Delays each chunk of bytes.
    Delay(Duration),
}

/// Connections that a fault applies to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultScope {
    /// Connections accepted so far.
    Existing,
    /// Connections accepted so far and later ones.
    All,
}

/// Selects connections by the first bytes from the client.
type HeadPredicate = Arc<dyn Fn(&[u8]) -> bool + Send + Sync>;

struct FaultRule {
    fault: Fault,
    /// Only connections with a lower number are affected.
    below_number: u64,
    matches_head: HeadPredicate,
}

#[derive(Default)]
struct ProxyState {
    connection_count: u64,
    rules: Vec<FaultRule>,
}

/// A proxy in front of one server.
#[derive(Clone)]
pub struct FaultProxy {
    /// Address that clients connect to.
    pub address: SocketAddr,
    state: Arc<Mutex<ProxyState>>,
}

/// A connection through the proxy.
#[derive(Clone)]
struct Connection {
    number: u64,
    /// First bytes from the client.
    head: Arc<Mutex<Vec<u8>>>,
    has_dropped_bytes: Arc<Mutex<bool>>,
    proxy: FaultProxy,
}

impl FaultProxy {
    /// Starts a proxy for a server on a free loopback port.
    pub async fn start(server: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::from(free_listener()?);
        let proxy = Self { address: listener.local_addr()?, state: Arc::default() };
        let accepting = proxy.clone();
        task::spawn(async move {
            while let Some(stream) = listener.incoming().next().await {
                if let Ok(client) = stream {
                    task::spawn(proxy_connection(accepting.open(), client, server));
                }
            }
        });
        Ok(proxy)
    }

    /// Adds a fault for the connections whose first bytes from the client match.
    pub fn add_fault(
        &self,
        fault: Fault,
        scope: FaultScope,
        matches_head: impl Fn(&[u8]) -> bool + Send + Sync + 'static,
    ) {
        let mut state = self.state();
        let below_number =
            if scope == FaultScope::Existing { state.connection_count } else { u64::MAX };
        state.rules.push(FaultRule { fault, below_number, matches_head: Arc::new(matches_head) });
    }

    /// Number of connections accepted so far.
    pub fn connection_count(&self) -> u64 {
        self.state().connection_count
    }

    /// Removes all faults. Connections of which bytes were dropped stay silent until they are
    /// closed.
    pub fn clear_faults(&self) {
        self.state().rules.clear();
    }

    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    fn open(&self) -> Connection {
        let number = self.state().connection_count;
        self.state().connection_count += 1;
        let proxy = self.clone();
        Connection { number, head: Arc::default(), has_dropped_bytes: Arc::default(), proxy }
    }
}

impl Connection {
    fn fault(&self) -> Option<Fault> {
        let head = self.head.lock().expect("no holder of the lock panics");
        let state = self.proxy.state();
        let applies =
            |rule: &&FaultRule| self.number < rule.below_number && (rule.matches_head)(&head);
        let fault = state.rules.iter().find(applies).map(|rule| rule.fault);
        let has_dropped_bytes =
            *self.has_dropped_bytes.lock().expect("no holder of the lock panics");
        if has_dropped_bytes && fault != Some(Fault::Close) { Some(Fault::DropAll) } else { fault }
    }

    fn mark_bytes_dropped(&self) {
        *self.has_dropped_bytes.lock().expect("no holder of the lock panics") = true;
    }

    fn record_head(&self, bytes: &[u8]) {
        let mut head = self.head.lock().expect("no holder of the lock panics");
        let room = HEAD_BYTES - head.len();
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

async fn proxy_connection(connection: Connection, client: TcpStream, server: SocketAddr) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let to_server = forward_bytes(&connection, client.clone(), server.clone(), true);
    let to_client = forward_bytes(&connection, server.clone(), client.clone(), false);
    future::zip(to_server, to_client).await;
}

/// Forwards the bytes of one direction until its end.
async fn forward_bytes(
    connection: &Connection,
    mut from: TcpStream,
    mut to: TcpStream,
    is_from_client: bool,
) {
    let mut chunk = vec![0; MAX_CHUNK_BYTES];
    loop {
        let reading = async_std::future::timeout(POLL_INTERVAL, from.read(&mut chunk)).await;
        let count = reading.ok().map(|result| result.unwrap_or_default());
        if is_from_client {
            connection.record_head(&chunk[..count.unwrap_or_default()]);
        }
        match (connection.fault(), count) {
            (Some(Fault::Close), _) => break,
            (Some(Fault::DropAll), Some(0)) => task::sleep(POLL_INTERVAL).await,
            (Some(Fault::DropAll), Some(_)) => connection.mark_bytes_dropped(),
            (_, None) => {}
            (Some(Fault::DropFromClient), Some(count)) if is_from_client && count > 0 => {
                connection.mark_bytes_dropped()
            }
            (_, Some(0)) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            (fault, Some(count)) => {
                if let Some(Fault::Delay(delay)) = fault {
                    task::sleep(delay).await;
                }
                if to.write_all(&chunk[..count]).await.is_err() {
                    break;
                }
            }
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
