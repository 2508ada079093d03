//! HTTP answers as a caller reads them.

use std::io::Read;
use std::net::TcpStream;
use std::string::FromUtf8Error;

use turmericrail_wire::http1::{BodyDecoder, BodyError, BodyFraming, HeadError, ResponseHead};

/// An HTTP answer.
#[derive(Debug)]
#[expect(missing_docs, reason = "the names say it")]
pub struct Reply {
    pub head: ResponseHead,
    pub body: String,
    /// Whether the body ended as its framing demands, rather than with the connection.
    pub is_complete: bool,
}

/// Why what a caller read isn't a valid answer.
#[derive(Debug)]
pub enum MalformedReply {
    /// Malformed head.
    Head(HeadError),
    /// Malformed framing of the body.
    Body(BodyError),
    /// Body that isn't UTF-8.
    Text(FromUtf8Error),
}

impl Reply {
    /// HTTP status.
    pub fn status(&self) -> u16 {
        self.head.status
    }

    /// Id of the request that it answers.
    pub fn request_id(&self) -> Option<&str> {
        self.head.headers.text("X-Request-Id")
    }

    /// Reads one answer; none if the connection ends before the end of its head.
    pub fn read(
        stream: &mut TcpStream,
        buffer: &mut Vec<u8>,
    ) -> Result<Option<Self>, MalformedReply> {
        let (head, head_bytes) = loop {
            let parsed = ResponseHead::parse(buffer, "GET").map_err(MalformedReply::Head)?;
            if let Some(parsed) = parsed {
                break parsed;
            }
            if !matches!(read_more(stream, buffer), Ok(true)) {
                return Ok(None);
            }
        };
        buffer.drain(..head_bytes);
        let read = read_body(stream, buffer, head.framing);
        let (body, is_complete) = read.map_err(MalformedReply::Body)?;
        let body = String::from_utf8(body).map_err(MalformedReply::Text)?;
        Ok(Some(Self { head, body, is_complete }))
    }
}

/// Reads a body, and returns whether it ended as its framing demands.
pub(super) fn read_body(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    framing: BodyFraming,
) -> Result<(Vec<u8>, bool), BodyError> {
    let mut decoder = BodyDecoder::new(framing);
    let mut body = Vec::new();
    loop {
        let used_bytes = decoder.decode(buffer, &mut body)?;
        buffer.drain(..used_bytes);
        if decoder.is_done() {
            return Ok((body, true));
        }
        match read_more(stream, buffer) {
            Ok(true) => {}
            Ok(false) => return Ok((body, decoder.end_of_input().is_ok())),
            Err(_) => return Ok((body, false)),
        }
    }
}

/// Reads more bytes into the buffer; returns whether there were any before the end.
pub(super) fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<bool> {
    let mut bytes = [0; 4096];
    let read = stream.read(&mut bytes)?;
    buffer.extend_from_slice(&bytes[..read]);
    Ok(read > 0)
}
