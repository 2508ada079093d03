//! One forwarding instance as a process before stand-ins of the platform and its servers.
#![allow(dead_code)]

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{self, FakeStore, RegisteredServer, Reply};
use turmericrail_fakes::signal::send_signal;

/// Longest wait for something that is to happen.
const LIMIT: Duration = Duration::from_secs(10);

/// One forwarding instance and what it needs.
pub struct World {
    pub store: FakeStore,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    pub settings_path: PathBuf,
    pub log_path: PathBuf,
    process: Child,
}

/// The configuration of the tests: calls that run once at the most go to one server.
pub fn configuration(version: u64) -> Value {
    registered::configuration(version, 1)
}

impl World {
    /// Starts an instance and waits until it is ready.
    pub fn start(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        Self::start_with(name, store)
    }

    pub fn start_with(name: &str, store: FakeStore) -> Self {
        let address = store.address();
        Self::start_settings(name, store, address, "127.0.0.1", "")
    }

    /// Starts an instance that is the first seed, so that it gives orders.
    pub fn start_ordering(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        let address = store.address();
        let orders = "gives_orders: true\nseeds: [\"127.0.0.1:1\"]\n";
        Self::start_settings(name, store, address, "127.0.0.1", orders)
    }

    /// Starts an instance that reaches the store at another address, such as that of a link.
    pub fn start_behind(name: &str, store: FakeStore, store_address: SocketAddr) -> Self {
        Self::start_settings(name, store, store_address, "127.0.0.1", "")
    }

    /// Starts an instance that another one knows as a seed, and that reads the store elsewhere.
    pub fn start_peer(&self, name: &str, store: FakeStore, store_address: SocketAddr) -> Self {
        let seeds = format!("seeds: [\"{}\"]\n", self.peer_address);
        let port = self.peer_address.port();
        Self::start_settings(name, store, store_address, &format!("127.0.0.2:{port}"), &seeds)
    }

    /// `peer` is an IP number, or one with the port of another instance.
    fn start_settings(
        name: &str,
        store: FakeStore,
        store_address: SocketAddr,
        peer: &str,
        extra: &str,
    ) -> Self {
        let [caller_address, ready_address, operator_address, free] =
            std::array::from_fn(|_| free_address().unwrap());
        let peer_address: SocketAddr = peer.parse().unwrap_or(free);
        let folder = std::env::temp_dir().join(format!("forward-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings_path = folder.join("settings.yaml");
        let settings = format!(
            "instance: {name}\ndata_centre: dc-a\ncaller_address: {caller_address}\n\
             ready_address: {ready_address}\noperator_address: {operator_address}\n\
             peer_address: {peer_address}\nstore_address: {}\ngrace_ms: 8s\nretry_ratio: 0.2\n\
             retry_slack: 56\nretry_window_ms: 10s\n{extra}",
            store_address
        );
        std::fs::write(&settings_path, settings).unwrap();
        let log_path = folder.join("log");
        let log = std::fs::File::create(&log_path).unwrap();
        let process = Command::new(env!("CARGO_BIN_EXE_turmericrail"))
            .arg("--forward")
            .arg(&settings_path)
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        let world = Self {
            store,
            caller_address,
            ready_address,
            operator_address,
            peer_address,
            settings_path,
            log_path,
            process,
        };
        wait_for("readiness", || world.is_ready());
        world
    }

    /// Starts a plain server and waits until it is known.
    pub fn plain(&self, id: &str) -> RegisteredServer {
        let server = RegisteredServer::start(&self.store, id, None).unwrap();
        self.wait_for_log(&format!("event=server_changed server={id} "));
        server
    }

    /// Starts an engine and waits until it is known.
    pub fn engine(&self, id: &str, stage: &'static str) -> RegisteredServer {
        let server = RegisteredServer::start(&self.store, id, Some(stage)).unwrap();
        self.wait_for_log(&format!("event=server_changed server={id} "));
        server
    }

    pub fn is_ready(&self) -> bool {
        self.page(self.ready_address, "/ready").is_some_and(|reply| reply.status() == 200)
    }

    /// A page of the instance's own.
    pub fn page(&self, address: SocketAddr, path: &str) -> Option<Reply> {
        let mut stream = TcpStream::connect(address).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        read_reply(&mut stream, &mut Vec::new())
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.caller_address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
    }

    /// Sends bytes on a new connection and reads one answer.
    pub fn send(&self, text: &str) -> Option<Reply> {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).unwrap();
        read_reply(&mut stream, &mut Vec::new())
    }

    /// A request of the route with this id; a body for those that are not read-only.
    pub fn request(&self, route: &str, id: &str) -> Reply {
        self.send(&request_text(route, id)).expect("an answer comes")
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap()
    }

    pub fn wait_for_log(&self, text: &str) {
        wait_for(text, || self.log().contains(text));
    }

    pub fn signal(&self, signal: &str) {
        send_signal(&self.process, signal);
    }

    /// Whether the process has ended in order.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().unwrap().is_some_and(|status| status.success())
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn request_text(route: &str, id: &str) -> String {
    registered::request_text(route, "x/../y?q=%2f", id, 2_000)
}

pub fn wait_for(what: &str, is_so: impl Fn() -> bool) {
    let end = Instant::now() + LIMIT;
    while !is_so() {
        assert!(Instant::now() < end, "waited too long for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Reads one answer; nothing where the connection ends before its head.
pub fn read_reply(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Reply> {
    Reply::read(stream, buffer).expect("the answer is well formed")
}
