//! The body of an answer, decoded while it is read from its connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_std::io::{BufRead, Read};
use async_std::net::TcpStream;

use crate::http1::{BodyDecoder, BodyFraming};

/// Most bytes of one read.
const READ_SIZE_BYTES: usize = 8 * 1024;
/// Reads after which other tasks may run: a server that writes without a pause would keep them from
/// it.
const MAX_READS_BETWEEN_YIELDS: u32 = 2;

/// The body of an answer.
pub(crate) struct ResponseBody {
    stream: TcpStream,
    /// Bytes that were read and not decoded yet.
    buffer: Vec<u8>,
    decoder: BodyDecoder,
    decoded: Vec<u8>,
    /// Number of decoded bytes that were consumed.
    consumed: usize,
    reads_since_yield: u32,
}

impl ResponseBody {
    /// The body after a head, with what was read beyond it.
    pub(crate) fn new(stream: TcpStream, buffer: Vec<u8>, framing: BodyFraming) -> Self {
        Self {
            stream,
            buffer,
            decoder: BodyDecoder::new(framing),
            decoded: Vec::new(),
            consumed: 0,
            reads_since_yield: 0,
        }
    }

    /// Whether nothing arrived after the end of the body.
    pub(crate) fn is_followed_by_nothing(&self) -> bool {
        self.decoder.is_done() && self.buffer.is_empty()
    }

    /// Decodes what has been read. The fields of trailers must be ASCII, as those of heads.
    fn decode(&mut self) -> io::Result<()> {
        self.decoded.clear();
        self.consumed = 0;
        let used = self.decoder.decode(&self.buffer, &mut self.decoded).map_err(malformed)?;
        self.buffer.drain(..used);
        if self.decoder.has_ascii_trailers() { Ok(()) } else { Err(malformed("malformed trailer")) }
    }

    fn poll_read_more(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.reads_since_yield += 1;
        if self.reads_since_yield >= MAX_READS_BETWEEN_YIELDS {
            self.reads_since_yield = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; READ_SIZE_BYTES];
        let count = ready!(Pin::new(&mut self.stream).poll_read(context, &mut bytes))?;
        self.buffer.extend_from_slice(&bytes[..count]);
        if count == 0 {
            let ended = self.decoder.end_of_input();
            ended.map_err(|error| io::Error::new(io::ErrorKind::UnexpectedEof, error))?;
        }
        Poll::Ready(Ok(()))
    }
}

fn malformed(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}

impl BufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.consumed == this.decoded.len() {
            this.decode()?;
            if this.decoded.is_empty() && !this.decoder.is_done() {
                ready!(this.poll_read_more(context))?;
                continue;
            }
            break;
        }
        Poll::Ready(Ok(&this.decoded[this.consumed..]))
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.consumed = (self.consumed + count).min(self.decoded.len());
    }
}

impl Read for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let unread = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = unread.len().min(out.len());
        out[..count].copy_from_slice(&unread[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
