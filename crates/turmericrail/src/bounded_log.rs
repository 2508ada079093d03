//! Log lines on standard output that never wait for a reader.
//!
//! Lines are gathered in memory and written by a thread of their own, some times a second. Each
//! event has a limit of lines a second, so that one of them can't crowd out the others; what is
//! beyond it, or does not fit into memory since the reader fell behind, is left out and counted.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::mpsc;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Most bytes that are held: some seconds of a busy instance.
const MAX_HELD_BYTES: usize = 512 * 1024;
/// Most lines of one event in a second: some times those of an instance at its peak load.
const MAX_EVENT_LINES: u64 = 200;
/// Time between two writes; each wakes a thread.
const WRITE_STEP: Duration = Duration::from_millis(200);
/// Time over which the lines of an event are counted.
const COUNT_STEP: Duration = Duration::from_secs(1);

/// Lines of one event in the present second.
#[derive(Default)]
struct EventLines {
    written: u64,
    left_out: u64,
}

struct Held {
    bytes: Vec<u8>,
    events: BTreeMap<String, EventLines>,
    counted_since: Instant,
}

/// The lines that were not written yet.
#[derive(Clone)]
pub struct BoundedLog {
    held: Arc<Mutex<Held>>,
}

impl Default for BoundedLog {
    fn default() -> Self {
        let held =
            Held { bytes: Vec::new(), events: BTreeMap::new(), counted_since: Instant::now() };
        Self { held: Arc::new(Mutex::new(held)) }
    }
}

impl BoundedLog {
    /// A log with a thread that writes it to standard output.
    pub fn start() -> Self {
        let log = Self::default();
        let writing = log.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_STEP);
                write_out(&writing.take_pending());
            }
        });
        log
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Takes the lines that are held, with the counts of those left out.
    pub fn take_pending(&self) -> Vec<u8> {
        let mut held = self.held();
        if held.counted_since.elapsed() >= COUNT_STEP {
            held.counted_since = Instant::now();
            for (event, lines) in std::mem::take(&mut held.events) {
                if lines.left_out > 0 {
                    let count = lines.left_out;
                    let line = format!("level=warn event=log_left_out of={event} lines={count}\n");
                    held.bytes.extend_from_slice(line.as_bytes());
                }
            }
        }
        std::mem::take(&mut held.bytes)
    }

    /// Writes what is held to standard output, unless its reader takes longer than `limit`.
    pub fn flush_within(&self, limit: Duration) {
        let (done, is_done) = mpsc::channel();
        let bytes = self.take_pending();
        thread::spawn(move || {
            write_out(&bytes);
            let _ = done.send(());
        });
        let _ = is_done.recv_timeout(limit);
    }
}

fn write_out(bytes: &[u8]) {
    if !bytes.is_empty() {
        let mut output = io::stdout().lock();
        // Nobody is left to be told that the log's reader has gone.
        let _ = output.write_all(bytes).and_then(|()| output.flush());
    }
}

impl Write for BoundedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut held = self.held();
        let has_room = held.bytes.len() + line.len() <= MAX_HELD_BYTES;
        let event = event_of(line);
        let lines = held.events.entry(event).or_default();
        if has_room && lines.written < MAX_EVENT_LINES {
            lines.written += 1;
            held.bytes.extend_from_slice(line);
        } else {
            lines.left_out += 1;
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The event that a line names.
fn event_of(line: &[u8]) -> String {
    let text = String::from_utf8_lossy(line);
    let named = text.split_once("event=").map(|(_, rest)| rest);
    named.and_then(|rest| rest.split_whitespace().next()).unwrap_or("none").to_owned()
}
