//! Free loopback ports for stand-ins and for processes that are started later.
//!
//! A port is handed out once. An instance that outlives its stand-ins still calls their addresses, so
//! a port that the kernel chooses could be that of a stand-in that is gone.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use turmericrail_core::membership::rendezvous::stable_hash;

/// First port of the range. The range lies below the kernel's ephemeral ports, so that no outgoing
/// connection takes a port between the choice here and the start of the process.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u64 = 20_000;

/// A UDP socket for each port handed out, which reserves it against other test processes.
static RESERVED_PORTS: Mutex<Vec<UdpSocket>> = Mutex::new(Vec::new());

/// Returns a free loopback address that is handed out only once, also across test processes.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = stable_hash(&std::process::id().to_string()) % PORT_COUNT;
    loop {
        let number = first + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + (number % PORT_COUNT) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let reservation = match UdpSocket::bind(address) {
            Ok(reservation) => reservation,
            Err(error) if error.kind() == ErrorKind::AddrInUse => continue,
            Err(error) => return Err(error),
        };
        // A trial listener would be inherited by processes that other threads start meanwhile, and
        // the port would be taken until they run their program.
        match TcpStream::connect(address) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::ConnectionRefused => {
                RESERVED_PORTS.lock().expect("no holder of the lock panics").push(reservation);
                return Ok(address);
            }
            Err(error) => return Err(error),
        }
    }
}

/// Listens on a loopback address that is handed out only once, also across test processes.
pub fn free_listener() -> std::io::Result<TcpListener> {
    TcpListener::bind(free_address()?)
}
