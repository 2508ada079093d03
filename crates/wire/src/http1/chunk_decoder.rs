//! The chunked transfer coding.

use super::BodyError;

/// Limit of the line of a chunk's size, with its extensions, and of the line of a trailer field.
const MAX_LINE_BYTES: usize = 4 * 1024;
/// Limit of all trailer fields together.
const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// Limit of the hexadecimal digits of a chunk's size, so that it fits into 64 bits.
const MAX_SIZE_DIGITS: usize = 15;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailer,
    Done,
}

/// Decodes chunks while they arrive.
#[derive(Clone, Debug)]
pub struct ChunkDecoder {
    state: State,
    line: Vec<u8>,
    trailer_bytes: usize,
    has_ascii_trailers: bool,
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        Self { state: State::Size, line: Vec::new(), trailer_bytes: 0, has_ascii_trailers: true }
    }
}

impl ChunkDecoder {
    /// Whether the last chunk and the trailer have been decoded.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Whether the trailer fields so far hold ASCII characters alone.
    pub fn has_ascii_trailers(&self) -> bool {
        self.has_ascii_trailers
    }

    /// Memory of the line that isn't complete.
    pub fn buffered_bytes(&self) -> usize {
        self.line.capacity()
    }

    /// Appends the part of the body that `input` contains to `out`; returns how many bytes of
    /// `input` were consumed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, BodyError> {
        let mut consumed = 0;
        while consumed < input.len() && !self.is_done() {
            let unread = &input[consumed..];
            if let State::Data(remaining) = self.state {
                let count = usize::try_from(remaining).unwrap_or(usize::MAX).min(unread.len());
                out.extend_from_slice(&unread[..count]);
                consumed += count;
                let remaining = remaining - count as u64;
                self.state = if remaining == 0 { State::DataEnd } else { State::Data(remaining) };
                continue;
            }
            let count =
                unread.iter().position(|byte| *byte == b'\n').map_or(unread.len(), |at| at + 1);
            consumed += count;
            if self.state == State::Trailer {
                self.trailer_bytes += count;
            }
            let line_bytes = self.line.len() + count;
            if line_bytes > MAX_LINE_BYTES || self.trailer_bytes > MAX_TRAILER_BYTES {
                return Err(BodyError::Malformed);
            }
            let (line, is_whole) = (&unread[..count], unread[count - 1] == b'\n');
            if is_whole && self.line.is_empty() {
                self.parse_line(line)?;
                continue;
            }
            self.line.extend_from_slice(line);
            if is_whole {
                let line = std::mem::take(&mut self.line);
                self.parse_line(&line)?;
            }
        }
        Ok(consumed)
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), BodyError> {
        let line = line.strip_suffix(b"\r\n").ok_or(BodyError::Malformed)?;
        self.state = match self.state {
            State::Size => match parse_size(line)? {
                0 => State::Trailer,
                size => State::Data(size),
            },
            State::DataEnd if line.is_empty() => State::Size,
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.has_ascii_trailers &= line.is_ascii();
                State::Trailer
            }
            _ => return Err(BodyError::Malformed),
        };
        Ok(())
    }
}

fn parse_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_number = (1..=MAX_SIZE_DIGITS).contains(&digits.len())
        && digits.iter().all(|digit| digit.is_ascii_hexdigit());
    if !is_number || line.contains(&b'\r') {
        return Err(BodyError::Malformed);
    }
    let text = std::str::from_utf8(digits).map_err(|_| BodyError::Malformed)?;
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Malformed)
}

/// Appends `data` as one chunk. Empty data is skipped, since an empty chunk would end the body.
pub fn write_chunk(data: &[u8], out: &mut Vec<u8>) {
    if data.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends the empty chunk that ends a body, without trailer fields.
pub fn write_last_chunk(out: &mut Vec<u8>) {
    out.extend_from_slice(b"0\r\n\r\n");
}
