//! Log on standard output whose writers never block.
//!
//! Lines are buffered in memory and a background thread writes them several times a second. Each
//! event has a limit of lines per second, so that a frequent event can't displace the others. Lines
//! beyond the limit, and lines that don't fit into the buffer because the log's reader is slow, are
//! dropped and counted.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Buffer size: several seconds of the log of a busy instance.
const MAX_PENDING_BYTES: usize = 512 * 1024;
/// Lines of one event per second: several times the number at peak load.
const MAX_LINES_PER_EVENT: u64 = 200;
/// Time between writes, each of which wakes the thread.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Period after which the line counts of all events start again.
const COUNT_INTERVAL: Duration = Duration::from_secs(1);

/// Line counts of one event in the current period.
#[derive(Default)]
struct EventLineCounts {
    written: u64,
    dropped: u64,
}

struct Pending {
    bytes: Vec<u8>,
    events: BTreeMap<String, EventLineCounts>,
    period_start: Instant,
}

/// Log with a bounded buffer of lines that are not written yet; clones share it.
#[derive(Clone)]
pub struct BoundedLog {
    pending: Arc<Mutex<Pending>>,
}

impl Default for BoundedLog {
    fn default() -> Self {
        let pending =
            Pending { bytes: Vec::new(), events: BTreeMap::new(), period_start: Instant::now() };
        Self { pending: Arc::new(Mutex::new(pending)) }
    }
}

impl BoundedLog {
    /// Creates a log and the thread that writes it to standard output.
    pub fn start() -> Self {
        let log = Self::default();
        let writer = log.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_INTERVAL);
                write_to_stdout(&writer.take_pending());
            }
        });
        log
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.pending.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Takes the buffered lines out, followed by the counts of dropped ones when a period is over.
    pub fn take_pending(&self) -> Vec<u8> {
        let mut pending = self.pending();
        if pending.period_start.elapsed() >= COUNT_INTERVAL {
            pending.period_start = Instant::now();
            for (event, lines) in std::mem::take(&mut pending.events) {
                if lines.dropped > 0 {
                    let count = lines.dropped;
                    let line = format!("level=warn event=log_left_out of={event} lines={count}\n");
                    pending.bytes.extend_from_slice(line.as_bytes());
                }
            }
        }
        std::mem::take(&mut pending.bytes)
    }

    /// Writes the buffered lines to standard output; returns after `timeout` at the latest.
    pub fn flush_within(&self, timeout: Duration) {
        let (done_sender, done_receiver) = mpsc::channel();
        let bytes = self.take_pending();
        thread::spawn(move || {
            write_to_stdout(&bytes);
            let _ = done_sender.send(());
        });
        let _ = done_receiver.recv_timeout(timeout);
    }
}

fn write_to_stdout(bytes: &[u8]) {
    if !bytes.is_empty() {
        let mut output = io::stdout().lock();
        // An error means that the log's reader is gone, and there is no other place to report it.
        let _ = output.write_all(bytes).and_then(|()| output.flush());
    }
}

impl Write for BoundedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.pending();
        let has_room = pending.bytes.len() + line.len() <= MAX_PENDING_BYTES;
        let event = event_name(line);
        let lines = pending.events.entry(event).or_default();
        if has_room && lines.written < MAX_LINES_PER_EVENT {
            lines.written += 1;
            pending.bytes.extend_from_slice(line);
        } else {
            lines.dropped += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Returns the event name in a line, or `none`.
fn event_name(line: &[u8]) -> String {
    let text = String::from_utf8_lossy(line);
    let named = text.split_once("event=").map(|(_, rest)| rest);
    named.and_then(|rest| rest.split_whitespace().next()).unwrap_or("none").to_owned()
}
