//! Faults of a link between an instance and a server.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use turmericrail_fakes::ports::free_listener;
use turmericrail_fakes::{LinkFault, ServerLink};

/// Time within which a link without a fault answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which a fault is observed.
const FAULT_TIME: Duration = Duration::from_millis(400);

/// Starts a server that sends back what it receives.
fn start_echo() -> SocketAddr {
    let listener = free_listener().unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut bytes = [0; 64];
                while let Ok(count @ 1..) = stream.read(&mut bytes) {
                    let _ = stream.write_all(&bytes[..count]);
                }
            });
        }
    });
    address
}

fn connect(link: &ServerLink, timeout: Duration) -> std::io::Result<TcpStream> {
    TcpStream::connect_timeout(&link.address, timeout)
}

/// Sends a byte and reads it back.
fn echo(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<()> {
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(b"x")?;
    stream.read_exact(&mut [0])
}

/// A link, and a connection through it that has been used.
fn start_link() -> (ServerLink, TcpStream) {
    let link = ServerLink::start(start_echo()).unwrap();
    let mut open = connect(&link, ANSWER_TIMEOUT).unwrap();
    echo(&mut open, ANSWER_TIMEOUT).unwrap();
    (link, open)
}

fn assert_healed(link: &ServerLink) {
    link.heal().unwrap();
    echo(&mut connect(link, ANSWER_TIMEOUT).unwrap(), ANSWER_TIMEOUT).unwrap();
}

#[test]
fn hanging_link() {
    let (link, mut open) = start_link();
    link.cut(LinkFault::Hang).unwrap();
    assert!(echo(&mut open, FAULT_TIME).is_err());
    for _ in 0..3 {
        let error = connect(&link, FAULT_TIME).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::TimedOut);
    }
    assert_healed(&link);
    open.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    open.read_exact(&mut [0]).unwrap();
}

#[test]
fn pending_connect() {
    let (link, _open) = start_link();
    link.cut(LinkFault::Hang).unwrap();
    let address = link.address;
    let pending = thread::spawn(move || TcpStream::connect_timeout(&address, 2 * ANSWER_TIMEOUT));
    thread::sleep(FAULT_TIME);
    assert!(!pending.is_finished());
    assert_healed(&link);
    echo(&mut pending.join().unwrap().unwrap(), ANSWER_TIMEOUT).unwrap();
}

#[test]
fn reset_link() {
    let (link, mut open) = start_link();
    link.cut(LinkFault::Reset).unwrap();
    open.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    assert_eq!(open.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(connect(&link, FAULT_TIME).unwrap_err().kind(), ErrorKind::TimedOut);
    assert_healed(&link);
}

#[test]
fn refusing_link() {
    let (link, mut open) = start_link();
    link.cut(LinkFault::RefuseNew).unwrap();
    echo(&mut open, ANSWER_TIMEOUT).unwrap();
    assert_eq!(connect(&link, FAULT_TIME).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    assert_healed(&link);
    echo(&mut open, ANSWER_TIMEOUT).unwrap();
}

#[test]
fn downed_link() {
    let (link, mut open) = start_link();
    link.cut(LinkFault::Down).unwrap();
    open.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    assert_eq!(open.read(&mut [0]).unwrap_err().kind(), ErrorKind::ConnectionReset);
    assert_eq!(connect(&link, FAULT_TIME).unwrap_err().kind(), ErrorKind::ConnectionRefused);
    assert_healed(&link);
}

#[test]
fn silent_link() {
    let (link, mut open) = start_link();
    link.cut(LinkFault::Silence).unwrap();
    assert!(echo(&mut open, FAULT_TIME).is_err());
    let mut opened = connect(&link, ANSWER_TIMEOUT).unwrap();
    assert!(echo(&mut opened, FAULT_TIME).is_err());
    assert_healed(&link);
    opened.set_read_timeout(Some(ANSWER_TIMEOUT)).unwrap();
    opened.read_exact(&mut [0]).unwrap();
}
