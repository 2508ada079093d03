//! Idempotent calls over kept connections that stay open, close, or go silent.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use turmericrail_wire::client::{Call, CallError};
use turmericrail_wire::idempotent_client::IdempotentClient;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// Longest wait for a slow answer, wide enough for a machine that stands still for two seconds.
const SLOW_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Time of a slow answer: with the share of a kept connection, longer than the whole timeout.
const SLOW: Duration = Duration::from_millis(6_600);

/// What a server does on each connection after its first answer.
#[derive(Clone, Copy)]
enum Then {
    Answer,
    Close,
    Silence,
    /// Answers, but after more than a kept connection's share of the timeout.
    Slow,
}

struct Server {
    address: SocketAddr,
    connections: Arc<AtomicUsize>,
}

fn answer(stream: &mut TcpStream, number: usize) -> bool {
    let mut head = [0; 4096];
    if !stream.read(&mut head).is_ok_and(|count| count > 0) {
        return false;
    }
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n{number}");
    stream.write_all(text.as_bytes()).is_ok()
}

fn serve(mut stream: TcpStream, number: usize, then: Then) {
    if matches!(then, Then::Slow) {
        thread::sleep(if number == 1 { Duration::ZERO } else { SLOW });
    }
    answer(&mut stream, number);
    match then {
        Then::Answer => while answer(&mut stream, number) {},
        Then::Close => {}
        Then::Slow => loop {
            thread::sleep(SLOW);
            if !answer(&mut stream, number) {
                return;
            }
        },
        Then::Silence => thread::sleep(Duration::from_secs(60)),
    }
}

fn start(then: Then) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = counted.fetch_add(1, Ordering::SeqCst) + 1;
            thread::spawn(move || serve(stream, number, then));
        }
    });
    Server { address, connections }
}

/// The number of the connection that answered each of three calls.
fn three_calls(server: &Server, timeout: Duration) -> Vec<usize> {
    let kept = IdempotentClient::default();
    let call = || kept.send_json(Call::get(server.address, "/report", timeout));
    (0..3).map(|_| block_on(call()).expect("the server lives")).collect()
}

#[test]
fn one_connection() {
    let server = start(Then::Answer);
    assert_eq!(three_calls(&server, TIMEOUT), [1, 1, 1]);
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn closed_connection() {
    assert_eq!(three_calls(&start(Then::Close), TIMEOUT), [1, 2, 3]);
}

#[test]
fn silent_connection() {
    assert_eq!(three_calls(&start(Then::Silence), TIMEOUT), [1, 2, 3]);
}

#[test]
fn slow_receiver() {
    assert_eq!(three_calls(&start(Then::Slow), SLOW_TIMEOUT), [1, 1, 1], "a slow one is not lost");
}

#[test]
fn lost_receiver() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let kept = IdempotentClient::default();
    let result: Result<usize, _> = block_on(kept.send_json(Call::get(address, "/", TIMEOUT)));
    assert!(matches!(result, Err(CallError::NotSent { .. })), "{result:?}");
}
