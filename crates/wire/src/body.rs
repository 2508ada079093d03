//! HTTP bodies that are fed from a channel while they are sent, and that can be aborted so that the
//! receiver sees no regular end.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::Receiver;
use async_std::io::{self, BufReader, Read};
use futures_lite::Stream;
use http_types::Body;

/// Some bytes of a body; an error aborts it.
pub type BodyBytes = io::Result<Vec<u8>>;

/// Whether a body goes on after a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BodyStatus {
    /// More parts follow.
    More,
    /// The body is complete.
    End,
    /// The connection is closed before the regular end of the body.
    Abort,
}

/// Bytes of a body, and whether more follow.
#[expect(missing_docs, reason = "the names say it")]
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BodyPart {
    pub bytes: Vec<u8>,
    pub status: BodyStatus,
}

/// Converts a message, or the end of the channel (`None`), into a part of the body.
type ToPart<T> = Box<dyn FnMut(Option<T>) -> BodyPart + Send + Sync>;

/// Reads the messages of a channel as bytes; each read returns bytes of at most one message.
struct ChannelReader<T> {
    messages: Pin<Box<Receiver<T>>>,
    to_part: ToPart<T>,
    unread: Vec<u8>,
    status: BodyStatus,
}

impl<T> Read for ChannelReader<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        while self.unread.is_empty() {
            match self.status {
                BodyStatus::More => {}
                BodyStatus::End => return Poll::Ready(Ok(0)),
                BodyStatus::Abort => return Poll::Ready(Err(io::Error::other("body aborted"))),
            }
            let message = ready!(self.messages.as_mut().poll_next(context));
            let part = (self.to_part)(message);
            self.unread = part.bytes;
            self.status = part.status;
        }
        let count = buffer.len().min(self.unread.len());
        buffer[..count].copy_from_slice(&self.unread[..count]);
        self.unread.drain(..count);
        Poll::Ready(Ok(count))
    }
}

/// A body of a first part and the messages of a channel, which are converted into bytes only when
/// they are written.
pub fn message_body<T: Send + 'static>(
    first: BodyPart,
    messages: Receiver<T>,
    to_part: impl FnMut(Option<T>) -> BodyPart + Send + Sync + 'static,
) -> Body {
    let reader = ChannelReader {
        messages: Box::pin(messages),
        to_part: Box::new(to_part),
        unread: first.bytes,
        status: first.status,
    };
    Body::from_reader(BufReader::new(reader), None)
}

/// A body of the bytes that come through a channel; it ends when the channel is closed.
pub fn channel_body(pieces: Receiver<BodyBytes>) -> Body {
    let first = BodyPart { bytes: Vec::new(), status: BodyStatus::More };
    message_body(first, pieces, |piece| match piece {
        Some(Ok(bytes)) => BodyPart { bytes, status: BodyStatus::More },
        Some(Err(_)) => BodyPart { bytes: Vec::new(), status: BodyStatus::Abort },
        None => BodyPart { bytes: Vec::new(), status: BodyStatus::End },
    })
}
