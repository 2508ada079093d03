//! A forwarding instance, run as a child process with a fake store and fake backend servers; each
//! test file uses a part of it.
#![allow(dead_code)]

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::registered::{self, FakeStore, RawServer, RegisteredServer, Reply};
use turmericrail_fakes::signal::send_signal;
use turmericrail_wire::http1::RequestHead;

/// Data centre of instances that aren't put in another one.
const DATA_CENTRE: &str = "dc-a";
/// Timeout of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A forwarding instance, its store and its addresses; the process is killed on drop.
pub struct ForwardInstance {
    pub store: FakeStore,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
    pub operator_address: SocketAddr,
    pub peer_address: SocketAddr,
    /// The same port at all instances of a group, each with the IP address of its `peer_address`.
    pub handover_port: u16,
    pub settings_path: PathBuf,
    pub log_path: PathBuf,
    process: Child,
}

/// Limits on retries in the settings of an instance.
struct RetryBoundsText {
    slack: u64,
    window: &'static str,
}

/// Addresses at which the members of a group reach an instance.
#[derive(Clone, Copy)]
struct MemberAddresses {
    peer: SocketAddr,
    handover_port: u16,
}

impl MemberAddresses {
    /// Free addresses of the first instance of a group.
    fn free() -> Self {
        let [peer, handover] = std::array::from_fn(|_| free_address().unwrap());
        Self { peer, handover_port: handover.port() }
    }
}

/// Starts instances that know each other, each with a store of its own; the first one's holds the
/// configuration.
pub fn start_group(name: &str, count: u8) -> Vec<ForwardInstance> {
    let mut group = vec![ForwardInstance::start(name)];
    (1..count).for_each(|_| add_to_group(&mut group, name));
    group
}

/// Adds an instance to a group.
pub fn add_to_group(group: &mut Vec<ForwardInstance>, name: &str) {
    let number = group.len() as u8 + 1;
    let (store, address) = (FakeStore::start().unwrap(), group[0].store.address());
    let instance =
        group[0].start_numbered_peer(&format!("{name}-{number}"), number, store, address);
    instance.wait_for_log("event=members_changed ");
    group.push(instance);
}

/// Configuration of the tests, with one attempt for the routes whose calls run at most once.
pub fn configuration(version: u64) -> Value {
    registered::configuration(version, 1)
}

/// A store whose configuration has routes with this timeout.
fn store_with_timeout(timeout_ms: u64) -> FakeStore {
    let store = FakeStore::start().unwrap();
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        route["timeoutMs"] = timeout_ms.into();
    }
    store.publish(&configuration);
    store
}

impl ForwardInstance {
    /// Starts an instance with a configuration and waits until it is ready.
    pub fn start(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        Self::start_with_store(name, store)
    }

    pub fn start_with_store(name: &str, store: FakeStore) -> Self {
        let address = store.address();
        Self::start_with_settings(name, store, address, MemberAddresses::free(), "")
    }

    /// Starts an instance whose deployment allows `slack` retries beyond the ratio in each window.
    pub fn start_with_retry_slack(name: &str, slack: u64) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        let address = store.address();
        let bounds = RetryBoundsText { slack, window: "10s" };
        Self::start_with_bounds(name, store, address, MemberAddresses::free(), &bounds, "")
    }

    /// Starts an instance whose routes all have this timeout.
    pub fn start_with_timeout(name: &str, timeout_ms: u64) -> Self {
        Self::start_with_store(name, store_with_timeout(timeout_ms))
    }

    /// Starts an instance that is the first seed, so that it gives orders to engines.
    pub fn start_giving_orders(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        let address = store.address();
        let order_settings = "gives_orders: true\nseeds: [\"127.0.0.1:1\"]\n";
        Self::start_with_settings(name, store, address, MemberAddresses::free(), order_settings)
    }

    /// Starts an instance with this grace period, such as `3s`, whose routes all have this timeout.
    pub fn start_with_grace(name: &str, grace: &str, timeout_ms: u64) -> Self {
        let store = store_with_timeout(timeout_ms);
        let address = store.address();
        let settings = format!("grace_ms: {grace}\n");
        Self::start_with_settings(name, store, address, MemberAddresses::free(), &settings)
    }

    /// Starts an instance that chooses servers by the speeds that they state.
    pub fn start_using_speeds(name: &str) -> Self {
        let store = FakeStore::start().unwrap();
        store.publish(&configuration(1));
        let address = store.address();
        Self::start_with_settings(
            name,
            store,
            address,
            MemberAddresses::free(),
            "uses_stated_speeds: true\n",
        )
    }

    /// Starts an instance that reaches the store at another address, such as that of a proxy.
    pub fn start_with_store_address(
        name: &str,
        store: FakeStore,
        store_address: SocketAddr,
    ) -> Self {
        Self::start_with_settings(name, store, store_address, MemberAddresses::free(), "")
    }

    /// Starts a peer of this instance, with this instance as its seed and a store address of its
    /// own.
    pub fn start_peer(&self, name: &str, store: FakeStore, store_address: SocketAddr) -> Self {
        self.start_numbered_peer(name, 2, store, store_address)
    }

    /// Starts a peer whose address ends with a number.
    pub fn start_numbered_peer(
        &self,
        name: &str,
        number: u8,
        store: FakeStore,
        store_address: SocketAddr,
    ) -> Self {
        self.start_peer_in(DATA_CENTRE, name, number, store, store_address)
    }

    /// Starts a peer in a data centre, whose address ends with a number.
    pub fn start_peer_in(
        &self,
        data_centre: &str,
        name: &str,
        number: u8,
        store: FakeStore,
        store_address: SocketAddr,
    ) -> Self {
        let settings = format!("data_centre: {data_centre}\nseeds: [\"{}\"]\n", self.peer_address);
        let peer = SocketAddr::from(([127, 0, 0, number], self.peer_address.port()));
        let addresses = MemberAddresses { peer, handover_port: self.handover_port };
        Self::start_with_settings(name, store, store_address, addresses, &settings)
    }

    /// Starts an instance with an address that ends with a number; the first of its group is its seed.
    pub fn start_numbered(name: &str, number: u8, store: FakeStore, ports: (u16, u16)) -> Self {
        let (peer_port, handover_port) = ports;
        let settings = format!("seeds: [\"127.0.0.1:{peer_port}\"]\n");
        let peer = SocketAddr::from(([127, 0, 0, number], peer_port));
        let addresses = MemberAddresses { peer, handover_port };
        let store_address = store.address();
        Self::start_with_settings(name, store, store_address, addresses, &settings)
    }

    fn start_with_settings(
        name: &str,
        store: FakeStore,
        store_address: SocketAddr,
        addresses: MemberAddresses,
        extra_settings: &str,
    ) -> Self {
        // The window in which a new instance has no slack is over when the test begins.
        let bounds = RetryBoundsText { slack: 56, window: "100ms" };
        let instance =
            Self::start_with_bounds(name, store, store_address, addresses, &bounds, extra_settings);
        std::thread::sleep(Duration::from_millis(100));
        instance
    }

    fn start_with_bounds(
        name: &str,
        store: FakeStore,
        store_address: SocketAddr,
        addresses: MemberAddresses,
        bounds: &RetryBoundsText,
        extra_settings: &str,
    ) -> Self {
        let [caller_address, ready_address, operator_address] =
            std::array::from_fn(|_| free_address().unwrap());
        let MemberAddresses { peer: peer_address, handover_port } = addresses;
        let folder = std::env::temp_dir().join(format!("forward-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let settings_path = folder.join("settings.yaml");
        let data_centre = match extra_settings.contains("data_centre:") {
            true => String::new(),
            false => format!("data_centre: {DATA_CENTRE}\n"),
        };
        let grace = if extra_settings.contains("grace_ms:") { "" } else { "grace_ms: 8s\n" };
        let settings = format!(
            "{data_centre}instance: {name}\ncaller_address: {caller_address}\n\
             ready_address: {ready_address}\noperator_address: {operator_address}\n\
             peer_address: {peer_address}\nhandover_port: {handover_port}\n\
             store_address: {}\n{grace}retry_ratio: 0.2\nretry_slack: {}\nretry_window_ms: {}\n{extra_settings}",
            store_address, bounds.slack, bounds.window
        );
        std::fs::write(&settings_path, settings).unwrap();
        let log_path = folder.join("log");
        let log_file = File::create(&log_path).unwrap();
        let process = spawn(&settings_path, log_file);
        let instance = Self {
            store,
            caller_address,
            ready_address,
            operator_address,
            peer_address,
            handover_port,
            settings_path,
            log_path,
            process,
        };
        wait_for("readiness", || instance.is_ready());
        instance
    }

    /// Starts a plain server and waits until the instance knows it.
    pub fn start_plain_server(&self, id: &str) -> RegisteredServer {
        let server = RegisteredServer::start(&self.store, id, None).unwrap();
        self.wait_for_log(&format!("event=server_changed server={id} "));
        server
    }

    /// Starts an engine and waits until the instance knows it.
    pub fn start_engine(&self, id: &str, stage: &'static str) -> RegisteredServer {
        let server = RegisteredServer::start(&self.store, id, Some(stage)).unwrap();
        self.wait_for_log(&format!("event=server_changed server={id} "));
        server
    }

    pub fn is_ready(&self) -> bool {
        self.get_page(self.ready_address, "/ready").is_some_and(|reply| reply.status() == 200)
    }

    /// Gets a page of the instance; none if there is no answer.
    pub fn get_page(&self, address: SocketAddr, path: &str) -> Option<Reply> {
        let mut stream = TcpStream::connect(address).ok()?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).ok()?;
        read_reply(&mut stream, &mut Vec::new())
    }

    /// Number of answers that the instance has refused, by its metric.
    pub fn refused_answers(&self) -> u64 {
        let page = self.get_page(self.operator_address, "/metrics").expect("an answer comes").body;
        let name = "turmericrail_refused_answers_total{";
        let lines = page.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.caller_address).unwrap();
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
        stream
    }

    /// Sends bytes on a new connection and reads one answer; none if the connection is closed
    /// before it.
    pub fn send(&self, text: &str) -> Option<Reply> {
        let mut stream = self.connect();
        stream.write_all(text.as_bytes()).unwrap();
        read_reply(&mut stream, &mut Vec::new())
    }

    /// Sends a request with an id to a route, with a body unless the route is read-only.
    pub fn send_request(&self, route: &str, id: &str) -> Reply {
        self.send(&request_text(route, id)).expect("an answer comes")
    }

    pub fn read_log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap()
    }

    pub fn wait_for_log(&self, text: &str) {
        wait_for(text, || self.read_log().contains(text));
    }

    pub fn signal(&self, signal: &str) {
        send_signal(&self.process, signal);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Starts a killed process with the same settings and an empty log.
    pub fn start_again(&mut self) {
        let log_file = File::create(&self.log_path).unwrap();
        self.process = spawn(&self.settings_path, log_file);
    }

    /// Lowers the number of files that the process may have open.
    pub fn limit_open_files(&self, count: u32) {
        let pid = format!("--pid={}", self.process.id());
        let limit = format!("--nofile={count}:{count}");
        assert!(Command::new("prlimit").args([pid, limit]).status().unwrap().success());
    }

    /// Asserts that the process runs and that none of its tasks has panicked.
    pub fn assert_sound(&mut self, description: &str) {
        let errors = std::fs::read(self.log_path.with_file_name("errors")).unwrap();
        let errors = String::from_utf8_lossy(&errors);
        assert!(!errors.contains("panicked at"), "{description}: {errors}");
        assert!(self.process.try_wait().unwrap().is_none(), "{description}: {errors}");
    }

    pub fn process_id(&self) -> u32 {
        self.process.id()
    }

    /// Most memory that the process has held at once, in KiB.
    pub fn peak_memory_kib(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let status = std::fs::read_to_string(path).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    /// Whether the process has exited with status 0.
    pub fn has_exited(&mut self) -> bool {
        self.process.try_wait().unwrap().is_some_and(|status| status.success())
    }
}

fn spawn(settings_path: &Path, log_file: File) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_turmericrail"));
    command.arg("--forward").arg(settings_path).stdout(Stdio::from(log_file));
    let errors = File::create(settings_path.with_file_name("errors")).unwrap();
    command.stderr(Stdio::from(errors));
    command.spawn().unwrap()
}

impl Drop for ForwardInstance {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn request_text(route: &str, id: &str) -> String {
    registered::request_text(route, "x/../y?q=%2f", id, 2_000)
}

pub fn wait_for(what: &str, condition: impl Fn() -> bool) {
    wait_within(WAIT_TIMEOUT, what, condition);
}

pub fn wait_within(timeout: Duration, what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + timeout;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(10));
    }
}

/// Reads one answer; none if the connection is closed before its head.
pub fn read_reply(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Reply> {
    Reply::read(stream, buffer).expect("the answer is well formed")
}

/// Registers a server that a test runs itself, and waits until the instance knows it.
pub fn register_raw(instance: &ForwardInstance, id: &str, stage: Option<&str>, server: &RawServer) {
    let service = if stage.is_some() { "llm" } else { "desk" };
    let mut entry = json!({
        "service": service, "address": server.address.to_string(), "zone": "dc-a", "version": "v1",
        "slots": 6, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    if let Some(stage) = stage {
        entry["stage"] = json!(stage);
    }
    instance.store.put(&format!("servers/{id}"), &entry);
    instance.wait_for_log(&format!("event=server_changed server={id} "));
}

/// A signed answer to a request, with this body.
pub fn answer_with(head: &RequestHead, body: &str) -> Vec<u8> {
    let id = head.headers.text("X-Request-Id").unwrap_or_default();
    let fields = format!("X-Request-Id: {id}\r\nX-Response-Signature: x\r\n");
    format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}
