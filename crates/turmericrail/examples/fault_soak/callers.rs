//! Callers: threads that send requests of each kind to instances of their choice.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use turmericrail_fakes::registered::{MalformedReply, Reply, request_text};

/// Callers at a time.
const CALLERS: usize = 12;
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// Patience that requests name: the longest that the routes allow.
const PATIENCE_MS: u64 = 3_000;
/// Longest wait for bytes of an answer; above the patience that requests name.
const LIMIT: Duration = Duration::from_millis(3_500);
/// Routes of the configuration of the soak.
const ROUTES: [&str; 4] = ["read", "order", "stream", "resumable"];

/// One request and what came of it.
pub struct Record {
    /// Its id.
    pub id: String,
    /// Its route.
    pub route: &'static str,
    /// The instance that took it.
    pub instance: usize,
    /// When it was sent.
    pub sent: Instant,
    /// The answer; nothing where none came.
    pub answer: Result<Option<Reply>, MalformedReply>,
}

/// The callers.
pub struct Callers {
    is_over: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<Record>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts callers of instances at these addresses.
    pub fn start(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let (is_over, records) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let threads = (0..CALLERS)
            .map(|number| {
                let (is_over, records) = (Arc::clone(&is_over), Arc::clone(&records));
                let addresses = addresses.clone();
                let dice = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + number as u64);
                thread::spawn(move || call_on(number, &addresses, dice, &is_over, &records))
            })
            .collect();
        Self { is_over, records, threads }
    }

    /// The requests that ended since the last look.
    pub fn take_records(&self) -> Vec<Record> {
        std::mem::take(&mut self.records.lock().expect("no holder of the lock panics"))
    }

    /// Ends the callers once their last requests have ended.
    pub fn end(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a caller does not panic");
        }
    }
}

fn call_on(
    number: usize,
    addresses: &[SocketAddr],
    mut dice: fastrand::Rng,
    is_over: &AtomicBool,
    records: &Mutex<Vec<Record>>,
) {
    let mut kept: Option<(usize, TcpStream)> = None;
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        thread::sleep(PAUSE);
        let instance = match &kept {
            Some((instance, _)) if dice.u8(..) < 192 => *instance,
            _ => dice.usize(..addresses.len()),
        };
        let stream = match kept.take() {
            Some((known, stream)) if known == instance => Some(stream),
            _ => connect(addresses[instance]),
        };
        let Some(mut stream) = stream else {
            continue;
        };
        count += 1;
        let (id, route) = (format!("c{number}-{count}"), ROUTES[dice.usize(..ROUTES.len())]);
        let sent = Instant::now();
        let answer = ask(&mut stream, &request(route, &id));
        let is_served = |answer: &Reply| answer.is_complete && answer.status() == 200;
        if answer.as_ref().is_ok_and(|answer| answer.as_ref().is_some_and(is_served)) {
            kept = Some((instance, stream));
        }
        let record = Record { id, route, instance, sent, answer };
        records.lock().expect("no holder of the lock panics").push(record);
    }
}

/// The bytes of a request.
pub fn request(route: &str, id: &str) -> String {
    request_text(route, "x", id, PATIENCE_MS)
}

/// Sends a request on a connection of its own.
pub fn exchange(address: SocketAddr, text: &str) -> Option<Reply> {
    ask(&mut connect(address)?, text).ok().flatten()
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, LIMIT).ok()?;
    stream.set_read_timeout(Some(LIMIT)).ok()?;
    Some(stream)
}

fn ask(stream: &mut TcpStream, text: &str) -> Result<Option<Reply>, MalformedReply> {
    if stream.write_all(text.as_bytes()).is_err() {
        return Ok(None);
    }
    Reply::read(stream, &mut Vec::new())
}
