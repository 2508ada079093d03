//! Decode engines that grant room from the memory that is free at that moment.

use turmericrail_core::ids::ServerId;

use super::{ANSWER_MS, CAPACITY, FIRST_EVENT_MS, OUTPUT, PROMPT};

/// Decode engines and the start times of their answers.
#[derive(Clone)]
pub struct Engines {
    starts_ms: Vec<Vec<u64>>,
    ids: Vec<ServerId>,
    lost: usize,
}

impl Engines {
    pub fn new(count: usize) -> Self {
        let id = |number| format!("i-{:010x}", super::Numbers(number as u64).below(1 << 30));
        let ids = (0..count).map(|number| id(number * 7 + 1).parse().unwrap()).collect();
        Self { starts_ms: vec![Vec::new(); count], ids, lost: 0 }
    }

    pub fn count(&self) -> usize {
        self.starts_ms.len()
    }

    pub fn id(&self, engine: usize) -> &ServerId {
        &self.ids[engine]
    }

    /// Loses the first engines; their answers count as served, since what they lose is the same for
    /// every policy.
    pub fn lose(&mut self, count: usize) {
        self.lost = count;
    }

    pub fn is_lost(&self, engine: usize) -> bool {
        engine < self.lost
    }

    /// Drops the answers that have ended.
    pub fn advance(&mut self, now_ms: u64) {
        for starts_ms in &mut self.starts_ms {
            starts_ms.retain(|start_ms| now_ms < start_ms + ANSWER_MS);
        }
    }

    pub fn free_tokens(&self, engine: usize, now_ms: u64) -> u64 {
        if self.is_lost(engine) {
            return 0;
        }
        let used = |start_ms: &u64| {
            let age_ms = now_ms - start_ms;
            match age_ms.checked_sub(FIRST_EVENT_MS) {
                None => PROMPT + OUTPUT,
                Some(running_ms) => PROMPT + OUTPUT * running_ms / (ANSWER_MS - FIRST_EVENT_MS),
            }
        };
        CAPACITY.saturating_sub(self.starts_ms[engine].iter().map(used).sum())
    }

    pub fn place(&mut self, engine: usize, now_ms: u64) {
        self.starts_ms[engine].push(now_ms);
    }
}
