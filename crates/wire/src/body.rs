//! Bodies that are written piece by piece while they are sent.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use async_std::io::{self, BufReader, Read};
use futures_lite::Stream;
use http_types::Body;

/// Piece of a body; an error cuts the connection without a clean end.
pub type BodyBytes = io::Result<Vec<u8>>;

/// What follows a part of a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyStatus {
    /// More parts.
    More,
    /// The clean end.
    End,
    /// The connection is cut without a clean end.
    Abort,
}

/// Some bytes of a body and what follows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyPart {
    /// The bytes.
    pub bytes: Vec<u8>,
    /// What follows.
    pub status: BodyStatus,
}

/// Turns a message, or the end of the channel, into a part of the body.
type ToPart<T> = Box<dyn FnMut(Option<T>) -> BodyPart + Send + Sync>;

/// Reader of the messages that come through a channel; each read returns at most one part.
struct ChannelReader<T> {
    messages: Pin<Box<Receiver<T>>>,
    to_part: ToPart<T>,
    rest: Vec<u8>,
    status: BodyStatus,
}

impl<T> Read for ChannelReader<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.rest.is_empty() {
            match self.status {
                BodyStatus::More => {}
                BodyStatus::End => return Poll::Ready(Ok(0)),
                BodyStatus::Abort => return Poll::Ready(Err(io::Error::other("body aborted"))),
            }
            let message = ready!(self.messages.as_mut().poll_next(context));
            let part = (self.to_part)(message);
            self.rest = part.bytes;
            self.status = part.status;
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
    first: BodyPart,
    messages: Receiver<T>,
    to_part: impl FnMut(Option<T>) -> BodyPart + Send + Sync + 'static,
) -> Body {
    let reader = ChannelReader {
        messages: Box::pin(messages),
        to_part: Box::new(to_part),
        rest: first.bytes,
        status: first.status,
    };
    Body::from_reader(BufReader::new(reader), None)
}

/// A body of the pieces that come through a channel; it ends when the channel is closed.
pub fn channel_body(pieces: Receiver<BodyBytes>) -> Body {
    let first = BodyPart { bytes: Vec::new(), status: BodyStatus::More };
    message_body(first, pieces, |piece| match piece {
        Some(Ok(bytes)) => BodyPart { bytes, status: BodyStatus::More },
        Some(Err(_)) => BodyPart { bytes: Vec::new(), status: BodyStatus::Abort },
        None => BodyPart { bytes: Vec::new(), status: BodyStatus::End },
    })
}
