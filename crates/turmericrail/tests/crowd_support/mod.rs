//! Crowds of callers that don't behave, and what a process holds for them, seen from outside; each
//! test file uses a part of it.
#![allow(dead_code)]

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use async_std::task;

/// Memory of the smallest machine on the sheets, 88 MB, in KiB.
pub const MAX_MEMORY_KIB: u64 = 88_000_000 / 1_024;
/// Descriptors of the smallest machine on the sheets, less those for files.
pub const MAX_OPEN_FILES: usize = 3_075 - 200;
/// Descriptors that a crowd of a test needs in the test's own process.
const OWN_OPEN_FILES: u32 = 8_192;
/// Time after which a member of a crowd stops to send what isn't read.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Connections that are opened at the same time; less than the queue of a listener, which drops the
/// others.
const CONCURRENT_CONNECTS: usize = 64;
/// Time between two looks at a process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(30);
/// Time in which receive buffers that aren't full receive more.
const FULL_INTERVAL: Duration = Duration::from_millis(300);

/// Lets one test of a file run at a time, so that no crowd is beside another.
pub fn run_alone() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    let pid = format!("--pid={}", std::process::id());
    let limit = format!("--nofile={OWN_OPEN_FILES}:");
    assert!(Command::new("prlimit").args([pid, limit]).status().unwrap().success());
    RUNNING.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// What a member of a crowd sends, in pieces that members may share.
pub type Pieces = Vec<Arc<[u8]>>;

/// Pieces of a text.
pub fn text_pieces(text: String) -> Pieces {
    vec![text.into_bytes().into()]
}

/// Open connections of callers that have sent what they send.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects all members at once, each of which sends its pieces and stays open.
    pub fn start(address: SocketAddr, count: usize, pieces: impl Fn(usize) -> Pieces) -> Self {
        let gate = async_channel::bounded(CONCURRENT_CONNECTS);
        let sending: Vec<_> = (0..count)
            .map(|number| task::spawn(send(address, gate.clone(), pieces(number))))
            .collect();
        let streams = task::block_on(async {
            let mut streams = Vec::new();
            for member in sending {
                streams.extend(member.await);
            }
            streams
        });
        Self { streams }
    }

    /// Sends further pieces of each member while the test goes on.
    pub fn send_more(&self, pieces: impl Fn(usize) -> Pieces) -> Sending {
        let members = self.streams.iter().enumerate();
        let send = |(number, stream): (usize, &TcpStream)| {
            task::spawn(send_pieces(stream.clone(), pieces(number)))
        };
        Sending(members.map(send).collect())
    }

    /// Number of members that connected.
    pub fn len(&self) -> usize {
        self.streams.len()
    }
}

/// Members of a crowd that are sending.
pub struct Sending(Vec<task::JoinHandle<()>>);

impl Sending {
    /// Waits until each has sent its pieces, or as many as the process takes.
    pub fn join(self) {
        task::block_on(async {
            for member in self.0 {
                member.await;
            }
        });
    }
}

/// The connection after the pieces were sent, or as many as the process takes.
async fn send(
    address: SocketAddr,
    (entering, leaving): (Sender<()>, Receiver<()>),
    pieces: Pieces,
) -> Option<TcpStream> {
    entering.send(()).await.ok()?;
    let connecting = async_std::future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
    let connected = connecting.await;
    leaving.recv().await.ok()?;
    let stream = match connected.ok()? {
        Ok(stream) => stream,
        Err(error) => {
            let is_own_fault = error.raw_os_error() == Some(EMFILE);
            assert!(!is_own_fault, "the test has too few descriptors");
            assert_ne!(error.kind(), ErrorKind::AddrNotAvailable, "no port is left");
            return None;
        }
    };
    send_pieces(stream.clone(), pieces).await;
    Some(stream)
}

/// Sends pieces, or as many as the process takes.
async fn send_pieces(stream: TcpStream, pieces: Pieces) {
    let sending = async {
        for piece in pieces {
            // The process may have closed the connection.
            if (&stream).write_all(&piece).await.is_err() {
                return;
            }
        }
    };
    let _ = async_std::future::timeout(SEND_TIMEOUT, sending).await;
}

/// Error of the system for want of descriptors.
const EMFILE: i32 = 24;

/// Watches a process until it is dropped.
pub struct Watch {
    pid: u32,
    ports: Vec<u16>,
    peak_kib: Arc<AtomicU64>,
    /// The part of the callers' bytes that the process hadn't read.
    peak_unread_kib: Arc<AtomicU64>,
    peak_files: Arc<AtomicU64>,
    is_done: Arc<AtomicBool>,
    sampling: Option<JoinHandle<()>>,
}

impl Watch {
    /// Watches a process that serves callers on these ports.
    pub fn start(pid: u32, ports: &[u16]) -> Self {
        let ports = ports.to_vec();
        let watched_ports = ports.clone();
        let [peak_kib, peak_unread_kib, peak_files] =
            std::array::from_fn(|_| Arc::<AtomicU64>::default());
        let is_done = Arc::<AtomicBool>::default();
        let [kib, unread_kib, files] = [&peak_kib, &peak_unread_kib, &peak_files].map(Arc::clone);
        let done = Arc::clone(&is_done);
        let sampling = thread::spawn(move || {
            while !done.load(Ordering::Relaxed) {
                let unread = unread_bytes(&watched_ports) / 1_024;
                unread_kib.fetch_max(unread, Ordering::Relaxed);
                kib.fetch_max(status_kib(pid, "VmRSS:") + unread, Ordering::Relaxed);
                files.fetch_max(open_files(pid), Ordering::Relaxed);
                thread::sleep(SAMPLE_INTERVAL);
            }
        });
        Self {
            pid,
            ports,
            peak_kib,
            peak_unread_kib,
            peak_files,
            is_done,
            sampling: Some(sampling),
        }
    }

    /// Returns once the system takes no more of what callers send to a process that doesn't run.
    pub fn wait_until_full(&self) {
        let mut unread = 0;
        while unread == 0 || unread != unread_bytes(&self.ports) {
            unread = unread_bytes(&self.ports);
            thread::sleep(FULL_INTERVAL);
        }
    }

    /// Asserts that the memory, with what the process hasn't read of its callers, and the open
    /// descriptors stayed under their bounds.
    pub fn assert_bounded(&self, max_files: usize) {
        let peak_kib = self.peak_kib.load(Ordering::Relaxed).max(status_kib(self.pid, "VmHWM:"));
        let peak_files = self.peak_files.load(Ordering::Relaxed);
        let unread_kib = self.peak_unread_kib.load(Ordering::Relaxed);
        println!("peak {peak_kib} KiB, {unread_kib} KiB unread, {peak_files} descriptors");
        assert!(peak_kib <= MAX_MEMORY_KIB, "{peak_kib} KiB");
        assert!(peak_files <= max_files as u64, "{peak_files} descriptors");
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.is_done.store(true, Ordering::Relaxed);
        let _ = self.sampling.take().map(JoinHandle::join);
    }
}

/// A size in the status of a process; zero once it has ended.
fn status_kib(pid: u32, key: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn open_files(pid: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count) as u64
}

/// Bytes that wait in the system's receive buffers of connections to these ports.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let mut fields = line.split_whitespace().skip(1);
        let port = u16::from_str_radix(fields.next()?.rsplit_once(':')?.1, 16).ok()?;
        let state = fields.nth(1)?;
        let queue = u64::from_str_radix(fields.next()?.rsplit_once(':')?.1, 16).ok()?;
        (ports.contains(&port) && state != LISTENING).then_some(queue)
    };
    table.lines().filter_map(unread).sum()
}

/// State of a listener, whose queue counts connections.
const LISTENING: &str = "0A";
