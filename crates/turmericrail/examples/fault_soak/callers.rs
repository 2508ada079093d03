//! Callers: threads that send requests on random routes to random instances.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use turmericrail_fakes::registered::{MalformedReply, Reply, request_text};

const CALLERS: usize = 12;
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Timeout that requests name; the longest that the routes allow.
const CALLER_TIMEOUT_MS: u64 = 3_000;
/// Timeout for connecting and for each read; above the timeout that requests name.
const IO_TIMEOUT: Duration = Duration::from_millis(3_500);
/// Routes of the configuration under test.
const ROUTES: [&str; 4] = ["read", "order", "stream", "resumable"];

/// One request and its answer.
pub struct RequestRecord {
    pub id: String,
    pub route: &'static str,
    /// Number of the instance that it was sent to.
    pub instance: usize,
    pub sent: Instant,
    /// `None` where no answer came.
    pub answer: Result<Option<Reply>, MalformedReply>,
}

/// The running caller threads and the requests that they have finished.
pub struct Callers {
    should_stop: Arc<AtomicBool>,
    records: Arc<Mutex<Vec<RequestRecord>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    /// Starts the callers of the instances at these addresses.
    pub fn start(addresses: Vec<SocketAddr>, seed: u64) -> Self {
        let (should_stop, records) = (Arc::new(AtomicBool::new(false)), Arc::default());
        let threads = (0..CALLERS)
            .map(|number| {
                let (should_stop, records) = (Arc::clone(&should_stop), Arc::clone(&records));
                let addresses = addresses.clone();
                let rng = fastrand::Rng::with_seed(seed.wrapping_mul(1_000) + number as u64);
                thread::spawn(move || run_caller(number, &addresses, rng, &should_stop, &records))
            })
            .collect();
        Self { should_stop, records, threads }
    }

    /// Returns the requests that ended since the last call.
    pub fn take_records(&self) -> Vec<RequestRecord> {
        std::mem::take(&mut self.records.lock().expect("no holder of the lock panics"))
    }

    /// Stops the callers and waits until their last requests have ended.
    pub fn stop(&mut self) {
        self.should_stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            thread.join().expect("a caller does not panic");
        }
    }
}

fn run_caller(
    number: usize,
    addresses: &[SocketAddr],
    mut rng: fastrand::Rng,
    should_stop: &AtomicBool,
    records: &Mutex<Vec<RequestRecord>>,
) {
    let mut idle_connection: Option<(usize, TcpStream)> = None;
    let mut count = 0;
    while !should_stop.load(Ordering::Relaxed) {
        thread::sleep(REQUEST_INTERVAL);
        let instance = match &idle_connection {
            Some((instance, _)) if rng.u8(..) < 192 => *instance,
            _ => rng.usize(..addresses.len()),
        };
        let stream = match idle_connection.take() {
            Some((known, stream)) if known == instance => Some(stream),
            _ => connect(addresses[instance]),
        };
        let Some(mut stream) = stream else {
            continue;
        };
        count += 1;
        let (id, route) = (format!("c{number}-{count}"), ROUTES[rng.usize(..ROUTES.len())]);
        let sent = Instant::now();
        let answer = send(&mut stream, &request(route, &id));
        let is_served = |answer: &Reply| answer.is_complete && answer.status() == 200;
        if answer.as_ref().is_ok_and(|answer| answer.as_ref().is_some_and(is_served)) {
            idle_connection = Some((instance, stream));
        }
        let record = RequestRecord { id, route, instance, sent, answer };
        records.lock().expect("no holder of the lock panics").push(record);
    }
}

/// Returns the text of a request.
pub fn request(route: &str, id: &str) -> String {
    request_text(route, "x", id, CALLER_TIMEOUT_MS)
}

/// Sends a request on a new connection.
pub fn exchange(address: SocketAddr, text: &str) -> Option<Reply> {
    send(&mut connect(address)?, text).ok().flatten()
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, IO_TIMEOUT).ok()?;
    stream.set_read_timeout(Some(IO_TIMEOUT)).ok()?;
    Some(stream)
}

fn send(stream: &mut TcpStream, text: &str) -> Result<Option<Reply>, MalformedReply> {
    if stream.write_all(text.as_bytes()).is_err() {
        return Ok(None);
    }
    Reply::read(stream, &mut Vec::new())
}
