//! What the scripts of this review share: a record, small HTTP, the platform's store, backend servers,
//! clients, and the instances under test. The standard library alone, so that it builds without cargo.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a script.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The record of what was sent, answered and run, with times since the start of the script.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| fail(&format!("no record: {error}")));
        Self(Arc::new((Instant::now(), Mutex::new(file))))
    }

    pub fn now_ms(&self) -> u64 {
        self.0.0.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let ms = self.now_ms();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} s  {}", ms / 1_000, ms % 1_000, text.as_ref());
    }

    /// Waits until a time of the record.
    pub fn wait_until(&self, ms: u64) {
        sleep_ms(ms.saturating_sub(self.now_ms()));
    }
}

/// Longest time of a script.
const MAX_TIME: Duration = Duration::from_secs(100);

/// The processes that this script has started, by the names of their instances.
static CHILDREN: Mutex<Vec<(String, Child)>> = Mutex::new(Vec::new());

/// Ends the processes that this script has started, and the script.
pub fn end(code: i32) -> ! {
    kill(|_| true);
    std::process::exit(code);
}

/// Kills the processes of some instances.
pub fn kill(is_chosen: impl Fn(&str) -> bool) {
    let mut children = CHILDREN.lock().unwrap_or_else(|error| error.into_inner());
    children.iter_mut().filter(|(name, _)| is_chosen(name)).for_each(|(_, child)| {
        let _ = child.kill();
        let _ = child.wait();
    });
    children.retain(|(name, _)| !is_chosen(name));
}

/// Ends the script because it could not run.
pub fn fail(text: &str) -> ! {
    eprintln!("could not run: {text}");
    end(NOT_RUN);
}

/// One message of HTTP/1.1, as it was received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Method and target, or status.
    pub start: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn method(&self) -> &str {
        self.start.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.start.get(1).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.start.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let field = self.headers.iter().find(|(own, _)| own.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a message; `None` if the connection ended before it was whole.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if message.start.is_empty() {
            message.start = text.splitn(3, ' ').map(str::to_owned).collect();
        } else if text.is_empty() {
            break;
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

/// Writes an answer with a body of known length.
pub fn write_answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &str,
) -> std::io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    stream.write_all(format!("{text}\r\n{body}").as_bytes())
}

/// Sends a request on a new connection and reads the whole answer.
pub fn exchange(address: SocketAddr, request: &str, timeout_ms: u64) -> Option<Message> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

/// Serves connections in threads of their own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(stream));
        }
    });
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte));
        let number = number << (8 * (3 - part.len()));
        for digit in 0..4 {
            let value = (number >> (18 - 6 * digit)) & 63;
            text.push(if digit <= part.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    text
}

struct Item {
    value: Option<String>,
    revision: u64,
    created: u64,
}

#[derive(Default)]
struct Items {
    by_key: BTreeMap<String, Item>,
    revision: u64,
}

#[repr(C)]
struct Instruction {
    code: u16,
    jump_true: u8,
    jump_false: u8,
    value: u32,
}

#[repr(C)]
struct Program {
    length: u16,
    instructions: *const Instruction,
}

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const Program, length: u32) -> i32;
}

/// Has the system drop all packets that arrive on a connection of this process, so that its peer gets
/// no acknowledgement either. The connection stays open.
fn drop_what_arrives(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    const SOL_SOCKET: i32 = 1;
    const SO_ATTACH_FILTER: i32 = 26;
    let drop_packet = Instruction { code: 6, jump_true: 0, jump_false: 0, value: 0 };
    let program = Program { length: 1, instructions: &drop_packet };
    let length = std::mem::size_of::<Program>() as u32;
    let result =
        unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_ATTACH_FILTER, &program, length) };
    if result != 0 {
        fail("the connection can't be made silent");
    }
    std::mem::forget(stream);
}

/// The platform's store: reads, lists and watches; what it accepted is never lost.
pub struct Store {
    pub address: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
    connections: AtomicU64,
    open: Mutex<Vec<TcpStream>>,
    /// Connections below this number are silent for good.
    silent_below: AtomicU64,
    record: Record,
}

impl Store {
    pub fn start(record: &Record) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| fail("no store port"));
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            items: Mutex::new(Items { revision: 100, ..Items::default() }),
            changed: Condvar::new(),
            connections: AtomicU64::new(0),
            open: Mutex::default(),
            silent_below: AtomicU64::new(0),
            record: record.clone(),
        });
        let served = Arc::clone(&store);
        serve(listener, move |stream| served.serve_connection(stream));
        store
    }

    /// Writes an item; returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    /// Removes an item; returns the time of the acknowledgement.
    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        let created = items.by_key.get(key).map_or(revision, |item| item.created);
        items.by_key.insert(key.to_owned(), Item { value, revision, created });
        self.changed.notify_all();
        self.record.now_ms()
    }

    /// Has all open connections go silent for good; new ones work. Packets that arrive on them are
    /// acknowledged or dropped.
    pub fn silence_open_connections(&self, is_acknowledged: bool) -> u64 {
        let count = self.connections.load(Ordering::SeqCst);
        self.silent_below.store(count, Ordering::SeqCst);
        if !is_acknowledged {
            self.open.lock().unwrap().drain(..).for_each(drop_what_arrives);
        }
        self.changed.notify_all();
        count
    }

    fn is_silent(&self, number: u64) -> bool {
        number < self.silent_below.load(Ordering::SeqCst)
    }

    fn serve_connection(&self, stream: TcpStream) {
        let number = self.connections.fetch_add(1, Ordering::SeqCst);
        self.open.lock().unwrap().push(stream.try_clone().unwrap());
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = read_message(&mut reader) {
            let answer = self.answer(&request, number);
            if self.is_silent(number) {
                // The connection stays open and says nothing any more.
                loop {
                    sleep_ms(1_000);
                }
            }
            sleep_ms(4);
            if write_answer(&stream, 200, &[("Content-Type", "application/json")], &answer).is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, number: u64) -> String {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.filter(|(own, _)| *own == name).map(|(_, value)| value).next().unwrap_or("")
        };
        let (prefix, after) = (field("pathPrefix").to_owned(), field("after"));
        if path == "/kv-range" {
            let items = self.items.lock().unwrap();
            let listed = items.by_key.iter().filter(|(key, item)| {
                key.starts_with(&prefix) && key.as_str() > after && item.value.is_some()
            });
            let texts: Vec<_> = listed.map(|(key, item)| item_text(key, item)).collect();
            let at = items.revision;
            return format!(r#"{{"items":[{}],"truncated":false,"at":{at}}}"#, texts.join(","));
        }
        let after: u64 = after.parse().unwrap_or(0);
        let wait_ms: u64 = field("waitMs").parse().unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut items = self.items.lock().unwrap();
        loop {
            let newer = |(key, item): &(&String, &Item)| {
                key.starts_with(&prefix) && item.revision > after
            };
            let mut changed: Vec<_> = items.by_key.iter().filter(newer).collect();
            changed.sort_by_key(|(_, item)| item.revision);
            let left = end.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() || self.is_silent(number) {
                let texts: Vec<_> = changed.iter().map(|(key, item)| item_text(key, item)).collect();
                let at = items.revision;
                return format!(r#"{{"events":[{}],"at":{at}}}"#, texts.join(","));
            }
            items = self.changed.wait_timeout(items, left).unwrap().0;
        }
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let (revision, created) = (item.revision, item.created);
    match &item.value {
        Some(value) => format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
        ),
        None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
    }
}

/// The program under test, as the deploy file starts it.
pub struct Instance {
    pub name: String,
    pub caller_address: SocketAddr,
    pub ready_address: SocketAddr,
}

/// Ports that are free at all of these addresses.
pub fn free_ports(ips: &[String], count: usize) -> Vec<u16> {
    let mut ports = Vec::new();
    let mut held = Vec::new();
    for _ in 0..1_000 {
        let first = TcpListener::bind((ips[0].as_str(), 0)).unwrap_or_else(|_| fail("no free port"));
        let port = first.local_addr().unwrap().port();
        let others: Vec<_> =
            ips[1..].iter().map(|ip| TcpListener::bind((ip.as_str(), port))).collect();
        if others.iter().all(Result::is_ok) {
            ports.push(port);
        }
        held.push(first);
        if ports.len() == count {
            return ports;
        }
    }
    fail("no free ports")
}

/// The folder of the settings and logs, removed at the end by `run.sh`.
pub fn work_folder() -> PathBuf {
    let path = std::env::var("WORK").unwrap_or_else(|_| fail("WORK is not set"));
    PathBuf::from(path)
}

/// One instance's place in the deployment.
pub struct Place {
    pub name: String,
    pub zone: String,
    pub ip: String,
}

/// Starts instances with the settings of `deploy/settings.yaml`, filled in for a small deployment.
pub fn start_instances(places: &[Place], store: SocketAddr) -> Vec<Instance> {
    thread::spawn(|| {
        thread::sleep(MAX_TIME);
        fail("it takes too long");
    });
    let ips: Vec<_> = places.iter().map(|place| place.ip.clone()).collect();
    let ports = free_ports(&ips, 5);
    let seeds: Vec<_> =
        ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", ports[4])).collect();
    let folder = work_folder();
    let mut instances = Vec::new();
    for Place { name, zone, ip } in places {
        let settings = format!(
            "instance: {name}\ndata_centre: {zone}\ncaller_address: {ip}:{}\n\
             ready_address: {ip}:{}\noperator_address: {ip}:{}\npeer_address: {ip}:{}\n\
             handover_port: {}\nseeds: [{}]\nstore_address: {store}\ngrace_ms: 8s\n\
             retry_ratio: 0.2\nretry_slack: 58\nretry_window_ms: 10s\ngives_orders: true\n",
            ports[0],
            ports[1],
            ports[2],
            ports[3],
            ports[4],
            seeds.join(",")
        );
        let path = folder.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap_or_else(|_| fail("settings can't be written"));
        start_process(name);
        let at = |port: u16| format!("{ip}:{port}").parse().unwrap();
        let (caller_address, ready_address) = (at(ports[0]), at(ports[1]));
        instances.push(Instance { name: name.clone(), caller_address, ready_address });
    }
    instances
}

/// Starts the process of an instance whose settings have been written.
pub fn start_process(name: &str) {
    let folder = work_folder();
    let log = fs::OpenOptions::new().create(true).append(true).open(folder.join(format!("{name}.log")));
    let log = log.unwrap_or_else(|_| fail("the log can't be written"));
    let child = Command::new("target/release/turmericrail")
        .arg("--forward")
        .arg(folder.join(format!("{name}.yaml")))
        .stdout(log.try_clone().unwrap())
        .stderr(Stdio::from(log))
        .spawn()
        .unwrap_or_else(|error| fail(&format!("the program doesn't start: {error}")));
    CHILDREN.lock().unwrap().push((name.to_owned(), child));
}

/// Waits until all instances say that they are ready.
pub fn wait_until_ready(instances: &[Instance]) {
    let end = Instant::now() + Duration::from_secs(15);
    for instance in instances {
        let is_ready = || {
            let answer = exchange(instance.ready_address, "GET /ready HTTP/1.1\r\nHost: r\r\n\r\n", 500);
            answer.is_some_and(|answer| answer.status() == 200)
        };
        while !is_ready() {
            if Instant::now() > end {
                fail(&format!("{} isn't ready", instance.name));
            }
            sleep_ms(50);
        }
    }
}
