//! Numbers of the messages that an instance has sent, to tell repeats.

/// Messages before the highest number that can still be told from repeats.
const REMEMBERED_MESSAGES: u64 = 64;

/// The numbers that were received from one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct SeenMessages {
    run: u64,
    highest: u64,
    /// Bit n stands for the number n below the highest.
    seen: u64,
}

impl SeenMessages {
    /// Records a number, which begins at 1 in each run of a process; returns whether it is new.
    pub fn record(&mut self, run: u64, number: u64) -> bool {
        if run != self.run {
            *self = Self { run, ..Self::default() };
        }
        if number > self.highest {
            let shift = number - self.highest;
            self.seen = if shift < REMEMBERED_MESSAGES { self.seen << shift } else { 0 };
            self.highest = number;
        }
        let below = self.highest - number;
        if below >= REMEMBERED_MESSAGES {
            return false;
        }
        let bit = 1 << below;
        let is_new = self.seen & bit == 0;
        self.seen |= bit;
        is_new
    }
}
