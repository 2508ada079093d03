//! Idempotent calls over kept connections that stay open, are closed, go silent or answer slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use async_std::task::block_on;
use turmericrail_wire::client::{Call, CallError};
use turmericrail_wire::idempotent_client::IdempotentClient;

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// Timeout of a call with a slow answer; leaves room for a machine that is paused for two seconds.
const SLOW_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Duration of a slow answer. A third of the timeout passes before the call is also sent on a new
/// connection, so only the kept connection can answer within the timeout.
const SLOW_ANSWER_TIME: Duration = Duration::from_millis(6_600);

/// Behaviour of the server on each connection after its first answer.
#[derive(Clone, Copy)]
enum Behaviour {
    Answer,
    Close,
    Silence,
    /// Answers, but after more than the part of the timeout that a kept connection has.
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

fn serve(mut stream: TcpStream, number: usize, behaviour: Behaviour) {
    if matches!(behaviour, Behaviour::Slow) {
        thread::sleep(if number == 1 { Duration::ZERO } else { SLOW_ANSWER_TIME });
    }
    answer(&mut stream, number);
    match behaviour {
        Behaviour::Answer => while answer(&mut stream, number) {},
        Behaviour::Close => {}
        Behaviour::Slow => loop {
            thread::sleep(SLOW_ANSWER_TIME);
            if !answer(&mut stream, number) {
                return;
            }
        },
        Behaviour::Silence => thread::sleep(Duration::from_secs(60)),
    }
}

fn start(behaviour: Behaviour) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let number = counter.fetch_add(1, Ordering::SeqCst) + 1;
            thread::spawn(move || serve(stream, number, behaviour));
        }
    });
    Server { address, connections }
}

/// The number of the connection that answered each of three calls.
fn three_calls(server: &Server, timeout: Duration) -> Vec<usize> {
    let client = IdempotentClient::default();
    let call = || client.send_json(Call::get(server.address, "/report", timeout));
    (0..3).map(|_| block_on(call()).expect("the server answers")).collect()
}

#[test]
fn one_connection() {
    let server = start(Behaviour::Answer);
    assert_eq!(three_calls(&server, TIMEOUT), [1, 1, 1]);
    assert_eq!(server.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn closed_connection() {
    assert_eq!(three_calls(&start(Behaviour::Close), TIMEOUT), [1, 2, 3]);
}

#[test]
fn silent_connection() {
    assert_eq!(three_calls(&start(Behaviour::Silence), TIMEOUT), [1, 2, 3]);
}

#[test]
fn slow_server() {
    assert_eq!(
        three_calls(&start(Behaviour::Slow), SLOW_TIMEOUT),
        [1, 1, 1],
        "a slow answer counts"
    );
}

#[test]
fn unreachable_server() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback ports are free");
    let address = listener.local_addr().expect("a bound address");
    drop(listener);
    let client = IdempotentClient::default();
    let result: Result<usize, _> = block_on(client.send_json(Call::get(address, "/", TIMEOUT)));
    assert!(matches!(result, Err(CallError::NotSent { .. })), "{result:?}");
}
