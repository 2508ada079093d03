//! Server-sent events, passed on whole.

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Holds back the bytes of an event until it is whole and notes the id of the last whole one.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: Vec<u8>,
    last_id: Option<String>,
    event_count: u64,
}

impl EventSplitter {
    /// Takes bytes of the stream and returns the whole events among those held, or nothing where
    /// an event grows past its limit.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<u8>> {
        let searched = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let mut end = 0;
        let mut at = searched;
        while let Some(length) = event_end(&self.partial, at) {
            self.note_event(end, length);
            end = length;
            at = length;
        }
        if self.partial.len() - end > MAX_EVENT_BYTES {
            return None;
        }
        let rest = self.partial.split_off(end);
        Some(std::mem::replace(&mut self.partial, rest))
    }

    fn note_event(&mut self, start: usize, end: usize) {
        self.event_count += 1;
        let event = String::from_utf8_lossy(&self.partial[start..end]);
        let id = event.lines().find_map(|line| line.strip_prefix("id:"));
        if let Some(id) = id {
            self.last_id = Some(id.strip_prefix(' ').unwrap_or(id).to_owned());
        }
    }

    /// Takes what is held of an event that did not become whole.
    pub fn take_partial(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.partial)
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// How many events were whole.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }
}

/// Where the first event that ends after `from` ends.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    for at in from..bytes.len() {
        let rest = &bytes[at..];
        if rest.starts_with(b"\n\n") {
            return Some(at + 2);
        }
        if rest.starts_with(b"\n\r\n") {
            return Some(at + 3);
        }
    }
    None
}
