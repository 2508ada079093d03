//! HTTP/1.1 framing for calls that are forwarded byte for byte.
//!
//! Heads are parsed by `httparse`; what it lets through but the two ends of a proxy may read
//! differently (bare line ends, two lengths, a length beside chunks) is refused here. Bodies are
//! decoded piece by piece, so that an answer can be passed on as it arrives.

mod body_decoder;
mod chunk_decoder;
mod event_splitter;
mod framing;
mod head_error;
mod header;
mod headers;
mod request_head;
mod response_head;

pub use body_decoder::{BodyDecoder, BodyError};
pub use chunk_decoder::{ChunkDecoder, write_chunk, write_last_chunk};
pub use event_splitter::EventSplitter;
pub use framing::BodyFraming;
pub use head_error::HeadError;
pub use header::Header;
pub use headers::Headers;
pub use request_head::RequestHead;
pub use response_head::ResponseHead;

/// Most header fields of one head.
const MAX_HEADERS: usize = 100;

/// Length of the head at the start of `buffer`, with its empty line, once it is whole.
///
/// A line that ends without a carriage return, or a carriage return inside a line, is an error:
/// other parsers may see the head end elsewhere.
fn head_length(buffer: &[u8]) -> Result<Option<usize>, HeadError> {
    let mut line_start = 0;
    while let Some(found) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &buffer[line_start..line_start + found];
        let Some((b'\r', text)) = line.split_last() else {
            return Err(HeadError::BareLineEnd);
        };
        if text.contains(&b'\r') {
            return Err(HeadError::BareLineEnd);
        }
        line_start += found + 1;
        if text.is_empty() {
            return Ok(Some(line_start));
        }
    }
    Ok(None)
}
