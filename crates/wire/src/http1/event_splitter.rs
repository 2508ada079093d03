//! Splits a stream of server-sent events, so that only complete events are forwarded.

use super::EventError;

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event until it is complete, and keeps the id of the last complete one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    event_count: u64,
    requires_order: bool,
}

impl EventSplitter {
    /// A splitter for the rest of a stream after the event with this id; `None` for a whole stream.
    pub fn after(last_id: Option<&str>) -> Self {
        Self { last_id: last_id.map(str::to_owned), ..Self::default() }
    }

    /// Refuses events from now on that have no id, or none above that of the event before. Ids that
    /// aren't both numbers must only differ.
    pub fn require_order(&mut self) {
        self.requires_order = true;
    }

    /// Adds bytes of the stream and appends the events that are now complete to `out`, up to the first
    /// one that is refused.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(), EventError> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = search_start;
        let mut recorded = Ok(());
        while let Some(length) = event_end(&self.partial, at) {
            recorded = self.record_event(end, length);
            if recorded.is_err() {
                break;
            }
            end = length;
            at = length;
        }
        out.extend_from_slice(&self.partial[..end]);
        self.partial.drain(..end);
        recorded?;
        if self.partial.len() > MAX_EVENT_BYTES { Err(EventError::TooLong) } else { Ok(()) }
    }

    fn record_event(&mut self, start: usize, end: usize) -> Result<(), EventError> {
        let lines = self.partial[start..end].split(|byte| b"\r\n".contains(byte));
        let mut lines = lines.filter(|line| !line.is_empty() && !line.starts_with(b":")).peekable();
        if lines.peek().is_none() {
            return Ok(());
        }
        let id = lines.find_map(|line| line.strip_prefix(b"id:"));
        let id = id.map(|id| String::from_utf8_lossy(id.strip_prefix(b" ").unwrap_or(id)));
        let last_id = self.last_id.as_deref();
        if self.requires_order && !id.as_deref().is_some_and(|id| is_later(id, last_id)) {
            return Err(EventError::OutOfOrder);
        }
        self.event_count += 1;
        if let Some(id) = id {
            self.last_id = Some(id.into_owned());
        }
        Ok(())
    }

    /// Removes and returns the buffered bytes of an incomplete event.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// Whether an event has begun and is incomplete; line ends alone don't begin one.
    pub fn is_inside_event(&self) -> bool {
        self.partial.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Number of buffered bytes of an incomplete event.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// The id of the last complete event that had one, or of the event before the stream.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far; empty lines and comments alone are none.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

/// Whether an event with this id may follow the one with the last id.
fn is_later(id: &str, last_id: Option<&str>) -> bool {
    let Some(last_id) = last_id else {
        return true;
    };
    match (id.parse::<u64>(), last_id.parse::<u64>()) {
        (Ok(id), Ok(last_id)) => id > last_id,
        _ => id != last_id,
    }
}

/// Position after the first empty line at or after `from`, where an event ends.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for at in from..bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\r\r") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\n\r\n") {
            return Some(at + 3);
        }
    }
    None
}
