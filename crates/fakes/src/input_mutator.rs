//! Makes malformed inputs out of valid ones, reproducibly for each seed.

use fastrand::Rng;

/// Texts that take the place of numbers.
const ODD_NUMBERS: [&str; 12] = [
    "0",
    "-1",
    "18446744073709551615",
    "18446744073709551616",
    "9223372036854775807",
    "1e308",
    "-1e308",
    "1e-308",
    "0.0000001",
    "NaN",
    "",
    "00000000000000000000000001",
];
/// Bytes that mean something to one of the decoders.
const ODD_BYTES: &[u8] = b"\0\r\n\t \"'{}[]:,;=%/\\-+.\x7f\x80\xc3\xff";
/// Longest run of bytes that is inserted or repeated.
const MAX_RUN_BYTES: usize = 64;
/// Most changes to one input.
const MAX_CHANGES: usize = 4;

/// Source of malformed inputs.
pub struct InputMutator {
    rng: Rng,
}

impl InputMutator {
    /// A source whose inputs the seed determines.
    pub fn new(seed: u64) -> Self {
        Self { rng: Rng::with_seed(seed) }
    }

    /// Random bytes.
    pub fn random_bytes(&mut self, max_bytes: usize) -> Vec<u8> {
        let length = self.rng.usize(..=max_bytes);
        (0..length).map(|_| self.rng.u8(..)).collect()
    }

    /// A valid input with a few changes: other numbers, odd bytes, parts left out, repeated or in
    /// another place, or a cut end.
    pub fn mutated(&mut self, valid: &[u8]) -> Vec<u8> {
        let mut bytes = valid.to_vec();
        for _ in 0..self.rng.usize(1..=MAX_CHANGES) {
            self.change(&mut bytes);
        }
        bytes
    }

    fn change(&mut self, bytes: &mut Vec<u8>) {
        if bytes.is_empty() {
            return;
        }
        let start = self.rng.usize(..bytes.len());
        let end = (start + self.rng.usize(1..=MAX_RUN_BYTES)).min(bytes.len());
        match self.rng.u8(..8) {
            0 => bytes[start] = self.rng.u8(..),
            1 => bytes[start] = ODD_BYTES[self.rng.usize(..ODD_BYTES.len())],
            2 => bytes.truncate(start),
            3 => drop(bytes.drain(start..end)),
            4 => {
                let run = bytes[start..end].repeat(self.rng.usize(1..=8));
                bytes.splice(start..start, run);
            }
            5 => {
                let run = bytes[start..end].to_vec();
                let place = self.rng.usize(..bytes.len());
                bytes.splice(place..place, run);
            }
            _ => self.change_number(bytes, start),
        }
    }

    /// Puts another number in the place of the next one.
    fn change_number(&mut self, bytes: &mut Vec<u8>, from: usize) {
        let first = bytes[from..].iter().position(u8::is_ascii_digit);
        let Some(first) = first.map(|position| from + position) else {
            return;
        };
        let digits = bytes[first..].iter().take_while(|byte| byte.is_ascii_digit()).count();
        let number = ODD_NUMBERS[self.rng.usize(..ODD_NUMBERS.len())];
        bytes.splice(first..first + digits, number.bytes());
    }
}
