//! An answer as a caller reads it.

use std::io::Read;
use std::net::TcpStream;
use std::string::FromUtf8Error;

use turmericrail_wire::http1::{BodyDecoder, BodyError, BodyFraming, HeadError, ResponseHead};

/// An answer as a caller reads it.
#[derive(Debug)]
pub struct Reply {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: String,
    /// Whether the body came to its proper end.
    pub is_complete: bool,
}

/// What a caller read is no answer.
#[derive(Debug)]
pub enum MalformedReply {
    /// The head is malformed.
    Head(HeadError),
    /// The framing of the body is malformed.
    Body(BodyError),
    /// The body is no text.
    Text(FromUtf8Error),
}

impl Reply {
    /// The status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// The request that it names.
    pub fn request_id(&self) -> Option<&str> {
        self.head.headers.text("X-Request-Id")
    }

    /// Reads one answer; nothing where the connection ends before its head.
    pub fn read(
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> Result<Option<Self>, MalformedReply> {
        let (head, length) = loop {
            let parsed = ResponseHead::parse(buffer, "GET").map_err(MalformedReply::Head)?;
            if let Some(parsed) = parsed {
                break parsed;
            }
            if !fill(stream, buffer) {
                return Ok(None);
            }
        };
        buffer.drain(..length);
        let read = read_body(stream, buffer, head.framing);
        let (body, is_complete) = read.map_err(MalformedReply::Body)?;
        let body = String::from_utf8(body).map_err(MalformedReply::Text)?;
        Ok(Some(Self { head, body, is_complete }))
    }
}

/// Reads a body; tells whether it came to its proper end.
pub(super) fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    framing: BodyFraming,
) -> Result<(Vec<u8>, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        let used = decoder.decode(buffer, &mut body)?;
        buffer.drain(..used);
        if decoder.is_done() {
            return Ok((body, true));
        }
        if !fill(stream, buffer) {
            return Ok((body, decoder.end_of_input().is_ok()));
        }
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
