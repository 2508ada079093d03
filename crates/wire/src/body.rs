//! Bodies that are written piece by piece while they are sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use async_std::io::{self, BufReader, Read};
use futures_lite::Stream;
use http_types::Body;

/// Piece of a body; an error cuts the connection without a clean end.
pub type Piece = io::Result<Vec<u8>>;

/// Reader of the pieces that come through a channel; each read returns at most one piece.
struct ChannelReader {
    pieces: Pin<Box<Receiver<Piece>>>,
    rest: Vec<u8>,
}

impl Read for ChannelReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.rest.is_empty() {
            match ready!(self.pieces.as_mut().poll_next(context)) {
                None => return Poll::Ready(Ok(0)),
                Some(Err(error)) => return Poll::Ready(Err(error)),
                Some(Ok(piece)) => self.rest = piece,
            }
        }
        let count = buffer.len().min(self.rest.len());
        buffer[..count].copy_from_slice(&self.rest[..count]);
        self.rest.drain(..count);
        Poll::Ready(Ok(count))
    }
}

/// A body of the pieces that come through a channel; it ends when the channel is closed.
pub fn channel_body(pieces: Receiver<Piece>) -> Body {
    let reader = ChannelReader { pieces: Box::pin(pieces), rest: Vec::new() };
    Body::from_reader(BufReader::new(reader), None)
}
