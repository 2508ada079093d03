//! Bodies that are written piece by piece while they are sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use async_std::io::{self, BufReader, Read};
use futures_lite::Stream;
use http_types::Body;

/// Piece of a body; an error cuts the connection without a clean end.
pub type Piece = io::Result<Vec<u8>>;

/// What follows a part of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Then {
    /// More parts.
    More,
    /// The clean end.
    End,
    /// The connection is cut without a clean end.
    Cut,
}

/// Some bytes of a body and what follows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Part {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// What follows.
    pub then: Then,
}

/// Turns a message, or the end of the channel, into a part of the body.
type ToPart<T> = Box<dyn FnMut(Option<T>) -> Part + Send + Sync>;

/// Reader of the messages that come through a channel; each read returns at most one part.
struct ChannelReader<T> {
    messages: Pin<Box<Receiver<T>>>,
    to_part: ToPart<T>,
    rest: Vec<u8>,
    then: Then,
}

impl<T> Read for ChannelReader<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.rest.is_empty() {
            match self.then {
                Then::More => {}
                Then::End => return Poll::Ready(Ok(0)),
                Then::Cut => return Poll::Ready(Err(io::Error::other("the body was cut off"))),
            }
            let message = ready!(self.messages.as_mut().poll_next(context));
            let part = (self.to_part)(message);
            self.rest = part.bytes;
            self.then = part.then;
        }
        let count = buffer.len().min(self.rest.len());
        buffer[..count].copy_from_slice(&self.rest[..count]);
        self.rest.drain(..count);
        Poll::Ready(Ok(count))
    }
}

/// A body of a first part and of the messages that come through a channel, which are turned into
/// bytes as they are written.
pub fn message_body<T: Send + 'static>(
    first: Part,
    messages: Receiver<T>,
    to_part: impl FnMut(Option<T>) -> Part + Send + Sync + 'static,
) -> Body {
    let reader = ChannelReader {
        messages: Box::pin(messages),
        to_part: Box::new(to_part),
        rest: first.bytes,
        then: first.then,
    };
    Body::from_reader(BufReader::new(reader), None)
}

/// A body of the pieces that come through a channel; it ends when the channel is closed.
pub fn channel_body(pieces: Receiver<Piece>) -> Body {
    let first = Part { bytes: Vec::new(), then: Then::More };
    message_body(first, pieces, |piece| match piece {
        Some(Ok(bytes)) => Part { bytes, then: Then::More },
        Some(Err(_)) => Part { bytes: Vec::new(), then: Then::Cut },
        None => Part { bytes: Vec::new(), then: Then::End },
    })
}
