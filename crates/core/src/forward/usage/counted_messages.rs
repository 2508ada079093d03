//! The latest messages of an instance that a coordinator has counted.

use std::collections::VecDeque;

/// Messages of one instance that are remembered. It has a few on their way at once.
const REMEMBERED_MESSAGES: usize = 16;

/// Numbers of messages of one process and the units that each of them counted.
#[derive(Clone, Debug, Default)]
pub struct CountedMessages {
    run: u64,
    latest: VecDeque<(u64, f64)>,
    /// Highest number that was forgotten; earlier messages are taken for repeats.
    forgotten: u64,
}

impl CountedMessages {
    /// Records a message and its units, unless it is a repeat or void; returns whether it counts.
    pub fn record(&mut self, run: u64, number: u64, units: f64) -> bool {
        if run != self.run {
            *self = Self { run, ..Self::default() };
        }
        let is_known = self.latest.iter().any(|(known, _)| *known == number);
        if is_known || number <= self.forgotten {
            return false;
        }
        self.latest.push_back((number, units));
        if self.latest.len() > REMEMBERED_MESSAGES {
            let oldest = self.latest.pop_front().map_or(0, |(oldest, _)| oldest);
            self.forgotten = self.forgotten.max(oldest);
        }
        true
    }

    /// Makes a message void, whether it has come or is still to come; returns the units that it had
    /// counted.
    pub fn cancel(&mut self, run: u64, number: u64) -> f64 {
        if run != self.run {
            return 0.0;
        }
        let known = self.latest.iter_mut().find(|(known, _)| *known == number);
        match known {
            Some((_, units)) => std::mem::take(units),
            None => {
                self.record(run, number, 0.0);
                0.0
            }
        }
    }
}
