//! Network link between one instance and one server: a loopback TCP proxy whose faults also cover
//! connections that are being opened.

use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream as StdTcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::io::prelude::*;
use async_std::net::{Shutdown, TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_lite::future;
use socket2::SockRef;

use crate::ports::free_address;

/// Backlog of a listener without a fault.
const BACKLOG: i32 = 128;
/// Time without an answer after which a listener is taken to drop new connections.
const FULL_QUEUE_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit on the bytes that one read takes from a connection.
const MAX_CHUNK_BYTES: usize = 16 << 10;

/// What happens to a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// Bytes of open connections stop, and new connections are not established.
    Hang,
    /// Open connections are reset, and new ones are not established.
    Reset,
    /// Open connections go on, and new ones are refused.
    RefuseNew,
    /// Open connections are reset, and new ones are refused, as if the server were down.
    Down,
    /// Bytes stop, and new connections are established, as if the server were suspended.
    Silence,
}

/// A link to one server, at an address of its own.
pub struct ServerLink {
    /// Address that the instance connects to.
    pub address: SocketAddr,
    state: Arc<State>,
    listening: Mutex<Option<Listening>>,
    /// Connections that keep the accept queue full.
    fillers: Mutex<Vec<StdTcpStream>>,
}

/// A listener and the task that accepts its connections.
struct Listening {
    listener: Arc<TcpListener>,
    accepting: Option<JoinHandle<()>>,
}

struct State {
    server: SocketAddr,
    /// Present while bytes are stopped; closed once they may go on.
    stop: Mutex<Option<Signal>>,
    /// Closed when open connections are reset.
    reset: Mutex<Signal>,
    bytes_to_server: AtomicU64,
    /// Addresses of fillers, which are never forwarded.
    filler_addresses: Mutex<BTreeSet<SocketAddr>>,
}

/// Both ends of a channel on which nothing is sent; dropping the sender is the signal.
struct Signal {
    _sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { _sender: sender, receiver }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl ServerLink {
    /// Starts a link to a server.
    pub fn start(server: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(State {
            server,
            stop: Mutex::default(),
            reset: Mutex::new(Signal::new()),
            bytes_to_server: AtomicU64::new(0),
            filler_addresses: Mutex::default(),
        });
        let address = free_address()?;
        let link = Self { address, state, listening: Mutex::default(), fillers: Mutex::default() };
        link.listen()?;
        Ok(link)
    }

    /// Bytes forwarded to the server so far.
    pub fn bytes_to_server(&self) -> u64 {
        self.state.bytes_to_server.load(Ordering::Relaxed)
    }

    /// Begins a fault on a link that has none.
    pub fn cut(&self, fault: LinkFault) -> std::io::Result<()> {
        if matches!(fault, LinkFault::Hang | LinkFault::Silence) {
            *lock(&self.state.stop) = Some(Signal::new());
        }
        match fault {
            LinkFault::Hang | LinkFault::Reset => self.hang_new()?,
            LinkFault::RefuseNew | LinkFault::Down => self.close_listener(),
            LinkFault::Silence => {}
        }
        if matches!(fault, LinkFault::Reset | LinkFault::Down) {
            *lock(&self.state.reset) = Signal::new();
        }
        Ok(())
    }

    /// Ends the fault.
    pub fn heal(&self) -> std::io::Result<()> {
        *lock(&self.state.stop) = None;
        lock(&self.fillers).clear();
        self.listen()
    }

    /// Listens with the usual backlog and accepts connections.
    fn listen(&self) -> std::io::Result<()> {
        let mut listening = lock(&self.listening);
        if listening.is_none() {
            let listener = task::block_on(TcpListener::bind(self.address))?;
            *listening = Some(Listening { listener: Arc::new(listener), accepting: None });
        }
        let Some(listening) = listening.as_mut() else {
            return Ok(());
        };
        SockRef::from(&*listening.listener).listen(BACKLOG)?;
        if listening.accepting.is_none() {
            let accepting = accept(Arc::clone(&listening.listener), Arc::clone(&self.state));
            listening.accepting = Some(task::spawn(accepting));
        }
        Ok(())
    }

    /// Stops accepting and fills the accept queue, so that the kernel drops further attempts.
    fn hang_new(&self) -> std::io::Result<()> {
        if let Some(listening) = lock(&self.listening).as_mut() {
            listening.stop_accepting();
            SockRef::from(&*listening.listener).listen(0)?;
        }
        while let Ok(filler) = StdTcpStream::connect_timeout(&self.address, FULL_QUEUE_TIMEOUT) {
            lock(&self.state.filler_addresses).insert(filler.local_addr()?);
            lock(&self.fillers).push(filler);
        }
        Ok(())
    }

    fn close_listener(&self) {
        if let Some(mut listening) = lock(&self.listening).take() {
            listening.stop_accepting();
        }
    }
}

impl Drop for ServerLink {
    fn drop(&mut self) {
        self.close_listener();
    }
}

impl Listening {
    fn stop_accepting(&mut self) {
        if let Some(accepting) = self.accepting.take() {
            task::block_on(accepting.cancel());
        }
    }
}

impl State {
    /// Waits until bytes may go on.
    async fn wait_while_stopped(&self) {
        loop {
            let Some(stop) = lock(&self.stop).as_ref().map(|signal| signal.receiver.clone()) else {
                return;
            };
            let _ = stop.recv().await;
        }
    }
}

async fn accept(listener: Arc<TcpListener>, state: Arc<State>) {
    loop {
        let Ok((client, address)) = listener.accept().await else {
            continue;
        };
        if lock(&state.filler_addresses).remove(&address) {
            continue;
        }
        let reset = lock(&state.reset).receiver.clone();
        let state = Arc::clone(&state);
        task::spawn(async move {
            let reset = async {
                let _ = reset.recv().await;
            };
            future::or(reset, forward(client, state)).await;
        });
    }
}

/// Forwards the bytes of a connection in both directions. Both sides are reset if this is
/// cancelled.
async fn forward(client: TcpStream, state: Arc<State>) {
    let Ok(server) = TcpStream::connect(state.server).await else {
        return;
    };
    for stream in [&client, &server] {
        let socket = SockRef::from(stream);
        let _ = socket.set_linger(Some(Duration::ZERO));
        let _ = socket.set_tcp_nodelay(true);
    }
    let to_server = pump(client.clone(), server.clone(), &state, Some(&state.bytes_to_server));
    let to_client = pump(server.clone(), client.clone(), &state, None);
    future::zip(to_server, to_client).await;
    // A connection that ended in order is closed in order.
    for stream in [&client, &server] {
        let _ = SockRef::from(stream).set_linger(None);
    }
}

async fn pump(mut from: TcpStream, mut to: TcpStream, state: &State, count: Option<&AtomicU64>) {
    let mut bytes = vec![0; MAX_CHUNK_BYTES];
    loop {
        let read_bytes = from.read(&mut bytes).await.unwrap_or(0);
        state.wait_while_stopped().await;
        if read_bytes == 0 {
            // The other side may have closed the connection already.
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        if to.write_all(&bytes[..read_bytes]).await.is_err() {
            return;
        }
        if let Some(count) = count {
            count.fetch_add(read_bytes as u64, Ordering::Relaxed);
        }
    }
}
