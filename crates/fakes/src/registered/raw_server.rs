//! HTTP server that answers each request with raw bytes chosen by a handler.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use socket2::SockRef;
use turmericrail_wire::http1::RequestHead;

use super::reply::{read_body, read_more};
use crate::ports::free_listener;

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum RawAnswer {
    /// Writes these bytes and waits for the next request.
    Bytes(Vec<u8>),
    /// Writes each of these parts after a pause.
    WithPauses(Vec<Vec<u8>>, Duration),
    /// Writes bytes, and others after a pause.
    BytesThenBytes(Vec<u8>, Duration, Vec<u8>),
    /// Writes these bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Writes these bytes and resets the connection.
    BytesThenReset(Vec<u8>),
    /// Writes these bytes, ends its side of the connection in order and reads on to the end.
    BytesThenEnd(Vec<u8>),
    /// As `BytesThenEnd`, and closes the connection without reading, which resets it after its end.
    BytesThenEndUnread(Vec<u8>),
    /// Writes bytes, then others again and again until the connection is closed.
    BytesWithoutEnd(Vec<u8>, Vec<u8>),
    /// Never answers again on this connection.
    NoAnswer,
    /// Writes these bytes after a pause, and then the whole server ends as a crashed process does:
    /// its port is closed and all of its connections break.
    BytesThenCrash(Duration, Vec<u8>),
}

type Handler = dyn Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync;

/// Paths of the store, which no other stand-in serves.
const STORE_PATHS: [&str; 3] = ["/kv-key", "/kv-range", "/kv-watch"];

/// Who is called at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Role {
    Store,
    Server,
}

impl Role {
    fn serves(self, head: &RequestHead) -> bool {
        STORE_PATHS.contains(&head.path()) == (self == Self::Store)
    }
}

/// A server on a free loopback port, with a thread for each connection.
///
/// A request that is meant for another stand-in isn't answered, and fails the test when the server
/// is dropped.
pub struct RawServer {
    /// Listening address.
    pub address: SocketAddr,
    service: Arc<Service>,
    process: Mutex<Arc<Process>>,
}

/// What a server does in each of its runs.
struct Service {
    role: Role,
    handler: Box<Handler>,
    /// Whether requests are answered before their bodies are read.
    is_early: bool,
    /// Requests that were meant for another stand-in.
    misdirected: Mutex<Vec<String>>,
}

/// One run of the server, from its start to its crash.
struct Process {
    address: SocketAddr,
    has_crashed: AtomicBool,
    listening: Mutex<Option<JoinHandle<()>>>,
    streams: Mutex<Vec<TcpStream>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no holder of the lock panics")
}

impl RawServer {
    /// Starts a server.
    pub fn start(
        handler: impl Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        Self::start_as(Role::Server, handler)
    }

    /// Starts a server that answers each request once its head has arrived, and reads no body.
    pub fn start_early(
        handler: impl Fn(&RequestHead) -> RawAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        Self::start_service(Role::Server, true, move |head, _| handler(head))
    }

    /// Starts a server in a role.
    pub(super) fn start_as(
        role: Role,
        handler: impl Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        Self::start_service(role, false, handler)
    }

    fn start_service(
        role: Role,
        is_early: bool,
        handler: impl Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = free_listener()?;
        let address = listener.local_addr()?;
        let handler = Box::new(handler);
        let service = Arc::new(Service { role, handler, is_early, misdirected: Mutex::default() });
        let process = Mutex::new(Process::start(listener, &service)?);
        Ok(Self { address, service, process })
    }

    /// Whether the server has crashed and was not started again.
    pub fn has_crashed(&self) -> bool {
        lock(&self.process).has_crashed.load(Ordering::SeqCst)
    }

    /// Crashes the server from outside.
    pub fn crash(&self) {
        let process = Arc::clone(&lock(&self.process));
        process.crash();
    }

    /// Starts a crashed server again at its address.
    pub fn start_again(&self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        *lock(&self.process) = Process::start(listener, &self.service)?;
        Ok(())
    }
}

impl Drop for RawServer {
    fn drop(&mut self) {
        let misdirected = lock(&self.service.misdirected);
        if misdirected.is_empty() {
            return;
        }
        let Self { address, .. } = self;
        let role = self.service.role;
        let description =
            format!("{role:?} at {address} got requests for another stand-in: {misdirected:?}");
        if thread::panicking() {
            eprintln!("{description}");
        } else {
            panic!("{description}");
        }
    }
}

impl Process {
    fn start(listener: TcpListener, service: &Arc<Service>) -> std::io::Result<Arc<Self>> {
        let process = Arc::new(Self {
            address: listener.local_addr()?,
            has_crashed: AtomicBool::new(false),
            listening: Mutex::default(),
            streams: Mutex::default(),
        });
        let (serving, service) = (Arc::clone(&process), Arc::clone(service));
        let listening = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.has_crashed.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(kept) = stream.try_clone() else {
                    continue;
                };
                lock(&serving.streams).push(kept);
                let (process, service) = (Arc::clone(&serving), Arc::clone(&service));
                thread::spawn(move || process.serve(stream, &service));
            }
        });
        *lock(&process.listening) = Some(listening);
        Ok(process)
    }

    /// Serves a connection and closes it, which `streams` would keep open else.
    fn serve(&self, stream: TcpStream, service: &Service) {
        let caller = stream.peer_addr().ok();
        let closed = stream.try_clone();
        serve(stream, service, self);
        lock(&self.streams).retain(|kept| kept.peer_addr().ok() != caller);
        if let Ok(stream) = closed
            && !is_reset_on_drop(&stream)
        {
            // The caller may have closed it before.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn crash(&self) {
        if self.has_crashed.swap(true, Ordering::SeqCst) {
            return;
        }
        // The listening thread waits in `accept` and closes the port once it has returned.
        let _ = TcpStream::connect(self.address);
        if let Some(listening) = lock(&self.listening).take() {
            let _ = listening.join();
        }
        for stream in lock(&self.streams).drain(..) {
            // A connection that its peer has closed is broken already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn is_reset_on_drop(stream: &TcpStream) -> bool {
    SockRef::from(stream).linger().is_ok_and(|linger| linger == Some(Duration::ZERO))
}

fn serve(mut stream: TcpStream, service: &Service, process: &Process) {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut buffer, service.is_early) {
        if !service.role.serves(&head) {
            let caller = stream.peer_addr().map(|address| address.to_string()).unwrap_or_default();
            let request = format!("{} {} from {caller}", head.method, head.target);
            lock(&service.misdirected).push(request);
            return;
        }
        match (service.handler)(&head, &body) {
            RawAnswer::Bytes(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            RawAnswer::WithPauses(parts, pause) => {
                for part in parts {
                    thread::sleep(pause);
                    if stream.write_all(&part).is_err() {
                        return;
                    }
                }
            }
            RawAnswer::BytesThenBytes(first, pause, rest) => {
                if stream.write_all(&first).is_err() {
                    return;
                }
                thread::sleep(pause);
                if stream.write_all(&rest).is_err() {
                    return;
                }
            }
            RawAnswer::BytesWithoutEnd(first, rest) => {
                let mut result = stream.write_all(&first);
                while result.is_ok() {
                    result = stream.write_all(&rest);
                }
                return;
            }
            RawAnswer::BytesThenClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            RawAnswer::BytesThenReset(bytes) => {
                let _ = stream.write_all(&bytes);
                // Takes effect when the last handle is dropped.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                return;
            }
            RawAnswer::BytesThenEnd(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Write);
                while matches!(read_more(&mut stream, &mut buffer), Ok(true)) {
                    buffer.clear();
                }
                return;
            }
            RawAnswer::BytesThenEndUnread(bytes) => {
                let _ = stream.write_all(&bytes);
                let _ = stream.shutdown(Shutdown::Write);
                return;
            }
            RawAnswer::BytesThenCrash(pause, bytes) => {
                thread::sleep(pause);
                // The caller may have left meanwhile.
                let _ = stream.write_all(&bytes);
                process.crash();
                return;
            }
            RawAnswer::NoAnswer => while matches!(read_more(&mut stream, &mut buffer), Ok(true)) {},
        }
    }
}

fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    is_early: bool,
) -> Option<(RequestHead, Vec<u8>)> {
    let (head, head_bytes) = loop {
        if let Some(parsed) = RequestHead::parse(buffer).ok()? {
            break parsed;
        }
        if !matches!(read_more(stream, buffer), Ok(true)) {
            return None;
        }
    };
    buffer.drain(..head_bytes);
    if is_early {
        return Some((head, Vec::new()));
    }
    let (body, is_complete) = read_body(stream, buffer, head.framing).ok()?;
    is_complete.then_some((head, body))
}
