//! Splits a stream of server-sent events, so that only complete events are forwarded.

/// Size limit of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffers the bytes of an event until it is complete, and keeps the id of the last complete one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    event_count: u64,
}

impl EventSplitter {
    /// Adds bytes of the stream and returns the events that are now complete; `None` if an event
    /// exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let search_start = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = search_start;
        while let Some(length) = event_end(&self.partial, at) {
            self.record_event(end, length);
            end = length;
            at = length;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        if end == 0 {
            return Some(Vec::new());
        }
        let partial = self.partial.split_off(end);
        Some(std::mem::replace(&mut self.partial, partial))
    }

    fn record_event(&mut self, start: usize, end: usize) {
        let lines = self.partial[start..end].split(|byte| b"\r\n".contains(byte));
        let mut has_content = false;
        for line in lines.filter(|line| !line.is_empty() && !line.starts_with(b":")) {
            has_content = true;
            if let Some(id) = line.strip_prefix(b"id:") {
                let id = String::from_utf8_lossy(id.strip_prefix(b" ").unwrap_or(id));
                self.last_id = Some(id.into_owned());
                break;
            }
        }
        self.event_count += u64::from(has_content);
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

    /// The id of the last complete event that had one.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Number of complete events so far; empty lines and comments alone are none.
    pub fn event_count(&self) -> u64 {
        self.event_count
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
