//! HTTP/1.1 framing for calls that are forwarded without changes to target and body.
//!
//! Heads are parsed by `httparse`. This module also refuses what `httparse` accepts but the two
//! sides of a proxy may interpret differently, which would allow request smuggling: bare line ends,
//! two lengths, a length together with chunks. Bodies are decoded incrementally, so that an answer
//! can be forwarded while it arrives.

mod body_decoder;
mod chunk_decoder;
mod event_error;
mod event_splitter;
mod final_head;
mod framing;
mod head_error;
mod header;
mod headers;
mod request_head;
mod response_head;

pub use body_decoder::{BodyDecoder, BodyError};
pub use chunk_decoder::{ChunkDecoder, write_chunk, write_last_chunk};
pub use event_error::EventError;
pub use event_splitter::EventSplitter;
pub use final_head::FinalHead;
pub use framing::BodyFraming;
pub use head_error::HeadError;
pub use header::Header;
pub use headers::Headers;
pub use request_head::RequestHead;
pub use response_head::ResponseHead;

/// Limit of the header fields of one head.
const MAX_HEADERS: usize = 100;

/// Length of the head at the start of `buffer`, including its empty line; `None` if it is
/// incomplete.
///
/// A line that ends without a carriage return, or a carriage return inside a line, is an error,
/// since other parsers may find the end of the head elsewhere.
fn head_length(buffer: &[u8]) -> Result<Option<usize>, HeadError> {
    let mut line_start = 0;
    while let Some(line_length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &buffer[line_start..line_start + line_length];
        let Some((b'\r', text)) = line.split_last() else {
            return Err(HeadError::BareLineEnd);
        };
        if text.contains(&b'\r') {
            return Err(HeadError::BareLineEnd);
        }
        line_start += line_length + 1;
        if text.is_empty() {
            return Ok(Some(line_start));
        }
    }
    Ok(None)
}
