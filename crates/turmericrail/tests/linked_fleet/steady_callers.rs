//! Callers that send first tries of all kinds at a steady rate, each on a connection of its own.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use turmericrail_fakes::registered::Reply;

use crate::forward_support::request_text;

/// Time between the requests to one instance.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// Time after which a caller gives up, beyond the deadline that it states.
const CALLER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Routes in the order in which they are called.
const ROUTES: [&str; 4] = ["read", "order", "resumable", "stream"];

/// A first try and its answer.
#[derive(Debug)]
pub struct Attempt {
    pub id: String,
    pub route: &'static str,
    /// Index of the instance.
    pub instance: usize,
    pub sent_at: Instant,
    pub duration: Duration,
    /// None if there was no answer.
    pub reply: Option<Reply>,
}

impl Attempt {
    /// Whether the answer is a server's, whole and signed.
    pub fn is_served(&self) -> bool {
        let body_end =
            if matches!(self.route, "read" | "order") { "answer of s" } else { "token 5" };
        self.reply.as_ref().is_some_and(|reply| {
            reply.status() == 200
                && reply.is_complete
                && reply.head.headers.text("X-Response-Signature").is_some()
                && reply.body.contains(body_end)
        })
    }

    pub fn status(&self) -> Option<u16> {
        self.reply.as_ref().map(Reply::status)
    }

    /// Whether the answer says that the request wasn't executed.
    pub fn is_refused(&self) -> bool {
        matches!(self.status(), Some(429 | 503))
    }
}

/// Callers of a fleet.
pub struct SteadyCallers {
    is_stopping: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    senders: Vec<JoinHandle<()>>,
}

impl SteadyCallers {
    pub fn start(addresses: &[SocketAddr]) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let start = |(instance, address): (usize, &SocketAddr)| {
            let (address, is_stopping) = (*address, Arc::clone(&is_stopping));
            let attempts = Arc::clone(&attempts);
            thread::spawn(move || send_steadily(instance, address, &is_stopping, &attempts))
        };
        let senders = addresses.iter().enumerate().map(start).collect();
        Self { is_stopping, attempts, senders }
    }

    /// Stops sending and waits for all answers.
    pub fn stop(self) -> Vec<Attempt> {
        self.is_stopping.store(true, Ordering::Relaxed);
        self.senders.into_iter().for_each(|sender| sender.join().unwrap());
        std::mem::take(&mut *self.attempts.lock().unwrap())
    }
}

fn send_steadily(
    instance: usize,
    address: SocketAddr,
    is_stopping: &AtomicBool,
    attempts: &Mutex<Vec<Attempt>>,
) {
    thread::scope(|scope| {
        let started = Instant::now();
        for number in 0_u32.. {
            thread::sleep((REQUEST_INTERVAL * number).saturating_sub(started.elapsed()));
            if is_stopping.load(Ordering::Relaxed) {
                return;
            }
            scope.spawn(move || {
                let attempt = send(instance, address, number as usize);
                attempts.lock().unwrap().push(attempt);
            });
        }
    });
}

fn send(instance: usize, address: SocketAddr, number: usize) -> Attempt {
    let route = ROUTES[number % ROUTES.len()];
    let id = format!("i{instance}n{number}");
    let sent_at = Instant::now();
    let reply = TcpStream::connect_timeout(&address, CALLER_TIMEOUT).ok().and_then(|mut stream| {
        stream.set_read_timeout(Some(CALLER_TIMEOUT)).unwrap();
        stream.write_all(request_text(route, &id).as_bytes()).ok()?;
        Reply::read(&mut stream, &mut Vec::new()).expect("the answer is well formed")
    });
    Attempt { id, route, instance, sent_at, duration: sent_at.elapsed(), reply }
}
