//! An answer as a caller reads it.

use std::io::Read;
use std::net::TcpStream;

use turmericrail_wire::http1::{BodyDecoder, ResponseHead};

/// An answer as a caller reads it.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: String,
    /// Whether the body came to its proper end.
    pub is_whole: bool,
}

impl Reply {
    /// The status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Reads one answer; nothing where the connection ends before its head, or sends none.
    pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Self> {
        let (head, length) = loop {
            if let Some(parsed) = ResponseHead::parse(buffer, "GET").ok()? {
                break parsed;
            }
            if !fill(stream, buffer) {
                return None;
            }
        };
        buffer.drain(..length);
        let mut decoder = BodyDecoder::new(head.framing);
        let mut body = Vec::new();
        let is_whole = loop {
            let Ok(used) = decoder.decode(buffer, &mut body) else {
                break false;
            };
            buffer.drain(..used);
            if decoder.is_done() {
                break true;
            }
            if !fill(stream, buffer) {
                break decoder.end_of_input().is_ok();
            }
        };
        Some(Self { head, body: String::from_utf8_lossy(&body).into_owned(), is_whole })
    }
}

/// Reads more bytes; false at the end, after an error and once the stream's read timeout is over.
pub(super) fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 4096];
    match stream.read(&mut bytes) {
        Ok(read) if read > 0 => {
            buffer.extend_from_slice(&bytes[..read]);
            true
        }
        _ => false,
    }
}
