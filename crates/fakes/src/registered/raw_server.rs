//! A server that answers each request with bytes of its test's choice.

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use turmericrail_wire::http1::RequestHead;

use super::reply::{fill, read_body};

/// What a server does with a request.
#[derive(Clone, Debug)]
pub enum RawAnswer {
    /// Writes these bytes and waits for the next request.
    Bytes(Vec<u8>),
    /// Writes each of these in turn, with a pause before it.
    Paced(Vec<Vec<u8>>, Duration),
    /// Writes these bytes and closes the connection.
    BytesThenClose(Vec<u8>),
    /// Says nothing more on this connection.
    Silence,
}

type Handler = dyn Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync;

/// A server on a loopback port of its own, with a thread for each connection.
pub struct RawServer {
    /// Where it listens.
    pub address: SocketAddr,
}

impl RawServer {
    /// Starts a server.
    pub fn start(
        handler: impl Fn(&RequestHead, &[u8]) -> RawAnswer + Send + Sync + 'static,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let handler: Arc<Handler> = Arc::new(handler);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handler = Arc::clone(&handler);
                thread::spawn(move || serve(stream, &*handler));
            }
        });
        Ok(Self { address })
    }
}

fn serve(mut stream: TcpStream, handler: &Handler) {
    let mut buffer = Vec::new();
    while let Some((head, body)) = read_request(&mut stream, &mut buffer) {
        match handler(&head, &body) {
            RawAnswer::Bytes(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            RawAnswer::Paced(parts, pause) => {
                for part in parts {
                    thread::sleep(pause);
                    if stream.write_all(&part).is_err() {
                        return;
                    }
                }
            }
            RawAnswer::BytesThenClose(bytes) => {
                let _ = stream.write_all(&bytes);
                return;
            }
            RawAnswer::Silence => while fill(&mut stream, &mut buffer) {},
        }
    }
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(RequestHead, Vec<u8>)> {
    let (head, length) = loop {
        if let Some(parsed) = RequestHead::parse(buffer).ok()? {
            break parsed;
        }
        if !fill(stream, buffer) {
            return None;
        }
    };
    buffer.drain(..length);
    let (body, is_complete) = read_body(stream, buffer, head.framing).ok()?;
    is_complete.then_some((head, body))
}
