//! Log lines on standard output that never wait for a reader.
//!
//! Lines are gathered in memory and written by a thread of their own, some times a second. Where
//! the reader falls behind, further lines are dropped and counted; the count stands in the next
//! line that is written.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// Most bytes that are held: some seconds of a busy instance.
const MAX_HELD_BYTES: usize = 512 * 1024;
/// Time between two writes; each wakes a thread.
const WRITE_STEP: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Held {
    bytes: Vec<u8>,
    dropped_lines: u64,
}

/// The lines that were not written yet.
#[derive(Clone, Default)]
pub struct BoundedLog {
    held: Arc<Mutex<Held>>,
}

impl BoundedLog {
    /// A log with a thread that writes it.
    pub fn start() -> Self {
        let log = Self::default();
        let writing = log.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(WRITE_STEP);
                writing.flush();
            }
        });
        log
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Writes the lines that are held.
    pub fn flush(&self) {
        let held = std::mem::take(&mut *self.held());
        if held.bytes.is_empty() {
            return;
        }
        let mut output = io::stdout().lock();
        let mut written = output.write_all(&held.bytes);
        if held.dropped_lines > 0 {
            let dropped = held.dropped_lines;
            written = written
                .and_then(|()| writeln!(output, "level=warn event=log_dropped lines={dropped}"));
        }
        // Nobody is left to be told that the log's reader has gone.
        let _ = written.and_then(|()| output.flush());
    }
}

impl Write for BoundedLog {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut held = self.held();
        if held.bytes.len() + line.len() > MAX_HELD_BYTES {
            held.dropped_lines += 1;
        } else {
            held.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
