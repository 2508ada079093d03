//! Stand-ins for the platform's store, backend servers and clients, and the processes of the
//! system, for the cases of this review. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::FromRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const PROGRAM: &str = "target/release/turmericrail";

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;
pub const SIGKILL: i32 = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
    fn close(socket: i32) -> i32;
}

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the seconds since the start.
pub struct Record {
    begin: Instant,
    lines: Mutex<Vec<(f64, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { begin: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> f64 {
        self.begin.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut lines = lock(&self.lines);
        lines.push((self.now(), text.as_ref().to_owned()));
    }

    pub fn write(&self, path: &Path) {
        let mut lines = lock(&self.lines);
        lines.sort_by(|one, other| one.0.total_cmp(&other.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:9.3} s  {text}\n")).collect();
        fs::write(path, text).expect("the record can be written");
    }
}

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
    }
}

/// Reads heads and bodies from one connection.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    pub fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 65536];
        let read = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// The first line and the fields of a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let split = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                };
                return Ok(Some((first, lines.filter_map(split).collect())));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    pub fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub fn chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.text_line()?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or_default().trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            body.extend(self.exact(size)?);
            self.text_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((line, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = line.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let (method, target) = (word(), word());
        let mut request = Request { method, target, headers, body: Vec::new() };
        request.body = match request.header("content-length").and_then(|it| it.parse().ok()) {
            Some(length) => self.exact(length)?,
            None if request.header("transfer-encoding").is_some() => self.chunks()?,
            None => Vec::new(),
        };
        Ok(Some(request))
    }
}

/// What the handler of a server does with the connection after a request.
pub enum After {
    Keep,
    Close,
}

pub type Handler = dyn Fn(&Request, &mut TcpStream) -> After + Send + Sync;

/// An HTTP server with a thread for each connection.
pub struct Server {
    pub address: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    is_ended: Arc<Mutex<bool>>,
}

impl Server {
    pub fn start(
        handler: impl Fn(&Request, &mut TcpStream) -> After + Send + Sync + 'static,
    ) -> Self {
        Self::start_at("127.0.0.1:0", handler)
    }

    pub fn start_at(
        address: &str,
        handler: impl Fn(&Request, &mut TcpStream) -> After + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind(address).expect("a free loopback port");
        let address = listener.local_addr().expect("the listener has an address");
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let is_ended: Arc<Mutex<bool>> = Arc::default();
        let handler: Arc<Handler> = Arc::new(handler);
        let (kept, ended) = (Arc::clone(&streams), Arc::clone(&is_ended));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *lock(&ended) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    lock(&kept).push(copy);
                }
                let handler = Arc::clone(&handler);
                thread::spawn(move || {
                    let mut writer = stream.try_clone().expect("a stream can be cloned");
                    let mut reader = Reader::new(stream);
                    while let Ok(Some(request)) = reader.request() {
                        if matches!(handler(&request, &mut writer), After::Close) {
                            break;
                        }
                    }
                    let _ = writer.shutdown(Shutdown::Both);
                });
            }
        });
        Self { address, streams, is_ended }
    }

    pub fn has_ended(&self) -> bool {
        *lock(&self.is_ended)
    }

    /// Ends as a process does that exits: the port is closed and all connections end.
    pub fn end(&self) {
        *lock(&self.is_ended) = true;
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.streams).drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Writes an answer with a length.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).is_ok()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = group.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Revision and value of each key; no value if it was removed.
    items: BTreeMap<String, (u64, Option<String>)>,
}

/// The platform's store, by PROTOCOL.md.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        lock(&state.0).revision = 400;
        let serving = Arc::clone(&state);
        let server = Server::start(move |request, stream| serve_store(&serving, request, stream));
        Self { address: server.address, state }
    }

    /// Writes an item; the return is the store's acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value));
        self.state.1.notify_all();
    }
}

fn store_items(state: &StoreState, prefix: &str, after: u64, with_removed: bool) -> String {
    let items = state.items.iter().filter(|(key, (revision, value))| {
        key.starts_with(prefix) && *revision > after && (with_removed || value.is_some())
    });
    let texts = items.map(|(key, (revision, value))| match value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
            base64(value.as_bytes())
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    });
    texts.collect::<Vec<_>>().join(",")
}

fn serve_store(
    state: &(Mutex<StoreState>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> After {
    let prefix = request.query("pathPrefix").unwrap_or_default();
    let number = |name: &str| request.query(name).and_then(|it| it.parse().ok()).unwrap_or(0u64);
    let json = [("Content-Type", "application/json")];
    let mut known = lock(&state.0);
    let body = match request.path() {
        "/kv-range" => {
            let items = store_items(&known, &prefix, 0, false);
            format!(r#"{{"items":[{items}],"truncated":false,"at":{}}}"#, known.revision)
        }
        "/kv-watch" => {
            let (after, end) = (number("after"), Instant::now() + millis(number("waitMs")));
            loop {
                let events = store_items(&known, &prefix, after, true);
                let left = end.saturating_duration_since(Instant::now());
                if !events.is_empty() || left.is_zero() {
                    break format!(r#"{{"events":[{events}],"at":{}}}"#, known.revision);
                }
                let waited = state.1.wait_timeout(known, left);
                known = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
            }
        }
        _ => {
            drop(known);
            answer(stream, "404 Not Found", &json, b"{}");
            return After::Keep;
        }
    };
    drop(known);
    if answer(stream, "200 OK", &json, body.as_bytes()) { After::Keep } else { After::Close }
}

/// Sends a signal to a process that was started here.
pub fn signal_process(process: u32, signal: i32) {
    // SAFETY: a plain call of the C library.
    unsafe { kill(process as i32, signal) };
}

/// A folder for the files of this run, which is removed when it is dropped.
pub struct TemporaryFolder(PathBuf);

impl std::ops::Deref for TemporaryFolder {
    type Target = Path;

    fn deref(&self) -> &Path {
        &self.0
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

pub fn temporary_folder(name: &str) -> TemporaryFolder {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a temporary folder can be made");
    TemporaryFolder(folder)
}

pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free loopback port");
    listener.local_addr().expect("the listener has an address").port()
}

/// One machine of the system: a process with the command of the deploy file.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    process: Option<Child>,
}

impl Machine {
    /// Settings as the template `deploy/settings.yaml` renders them, with the bounds of the sheet.
    pub fn start(
        folder: &Path,
        name: &str,
        zone: &str,
        ip: &str,
        peer_port: u16,
        seeds: &[&str],
        store: SocketAddr,
    ) -> Self {
        let [front, ready, operator] = [(); 3].map(|()| free_port());
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:{peer_port}\"")).collect();
        let text = format!(
            "instance: {name}\ndata_centre: {zone}\ncaller_address: {ip}:{front}\n\
             ready_address: {ip}:{ready}\noperator_address: {ip}:{operator}\n\
             peer_address: {ip}:{peer_port}\nseeds: [{}]\nstore_address: {store}\ngrace_ms: 8s\n\
             retry_ratio: 0.2\nretry_slack: 56\nretry_window_ms: 10s\ngives_orders: true\n",
            seeds.join(",")
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("the settings can be written");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let mut machine = Self {
            name: name.to_owned(),
            front: address(front),
            ready: address(ready),
            settings,
            process: None,
        };
        machine.start_process();
        machine
    }

    pub fn start_process(&mut self) {
        let path = self.settings.with_extension("log");
        let log = fs::OpenOptions::new().create(true).append(true).open(path).expect("a log file");
        let process = Command::new(PROGRAM)
            .arg("--forward")
            .arg(&self.settings)
            .env("TURMERICRAIL_CONFIG", &self.settings)
            .stdout(Stdio::from(log))
            .spawn();
        self.process = process.ok();
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // SAFETY: the process was started here and hasn't been waited for.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    pub fn process_id(&self) -> u32 {
        self.process.as_ref().map_or(0, Child::id)
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_none_or(|process| !matches!(process.try_wait(), Ok(None)))
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Waits until it says that it is ready, as the platform does.
    pub fn wait_until_ready(&self) -> bool {
        for _ in 0..100 {
            if let Ok(reply) = exchange(self.ready, b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n", 500)
            {
                if reply.status == 200 {
                    return true;
                }
            }
            thread::sleep(millis(100));
        }
        false
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An answer as a client sees it.
#[derive(Clone, Debug, Default)]
pub struct Reply {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the length that its head or chunks state.
    pub is_whole: bool,
}

impl Reply {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads an answer; an error if the connection ends before a whole head.
pub fn read_reply(reader: &mut Reader, is_head: bool) -> io::Result<Reply> {
    let Some((line, headers)) = reader.head()? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok());
    if !line.starts_with("HTTP/1.") || status.is_none() {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("no answer: {line:?}")));
    }
    let mut reply = Reply { status: status.unwrap_or(0), headers, ..Reply::default() };
    if is_head {
        reply.is_whole = true;
        return Ok(reply);
    }
    let read = match reply.header("content-length").and_then(|it| it.parse().ok()) {
        Some(length) => reader.exact(length),
        None if reply.header("transfer-encoding").is_some() => reader.chunks(),
        None => Ok(Vec::new()),
    };
    reply.is_whole = read.is_ok();
    reply.body = read.unwrap_or_default();
    Ok(reply)
}

/// Sends a request on a new connection and reads the answer.
pub fn exchange(address: SocketAddr, bytes: &[u8], timeout_ms: u64) -> io::Result<Reply> {
    let stream = TcpStream::connect_timeout(&address, millis(1_000))?;
    stream.set_read_timeout(Some(millis(timeout_ms)))?;
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream);
    reader.stream.write_all(bytes)?;
    read_reply(&mut reader, false)
}

/// A connection with the segment size of an Ethernet link and a small window, as over a real
/// network; loopback would else buffer megabytes.
pub fn connect_small(address: SocketAddr, segment: i32, window: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(target) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut bytes = [0u8; 16];
    bytes[..2].copy_from_slice(&2u16.to_ne_bytes());
    bytes[2..4].copy_from_slice(&target.port().to_be_bytes());
    bytes[4..8].copy_from_slice(&target.ip().octets());
    // SAFETY: plain calls of the C library with valid arguments; the socket is owned by the result.
    unsafe {
        let socket = socket(2, 1, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        // TCP_MAXSEG, SO_RCVBUF
        setsockopt(socket, 6, 2, &segment, 4);
        setsockopt(socket, 1, 8, &window, 4);
        if connect(socket, bytes.as_ptr(), 16) != 0 {
            let error = io::Error::last_os_error();
            close(socket);
            return Err(error);
        }
        Ok(TcpStream::from_raw_fd(socket))
    }
}

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// A new request id.
pub fn new_id() -> String {
    let number = NUMBER.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// The signature that a server adds to its answers.
pub fn signature(id: &str) -> String {
    format!("3e1b.07.5a2.600.0.{}", id.get(8..).unwrap_or(id))
}
