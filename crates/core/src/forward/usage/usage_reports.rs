//! Usage that a coordinator has yet to be told of.

use std::collections::VecDeque;

use super::{MessageId, SILENCE_MS};
use crate::units::Millis;

/// Least time between two reports.
const REPORT_INTERVAL_MS: Millis = Millis(50);
/// Time for which units are kept as one sum.
const COLLECT_MS: Millis = Millis(100);
/// Time after a failed report until the next one.
const REPORT_RETRY_MS: Millis = Millis(200);
/// Most messages that are told to be void: those of all instances in a few seconds.
const MAX_VOID_MESSAGES: usize = 256;

/// The units that are to be reported, those of the report that is on its way, and the messages that
/// had no reply.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    /// Units and their times; negative if more units are given back than were used.
    unsent: VecDeque<(Millis, f64)>,
    sent: Option<f64>,
    next_ms: Millis,
    /// Whether the last report has failed.
    is_failing: bool,
    /// Time of the first failed report since which no units have arrived.
    late_since_ms: Option<Millis>,
    void: Vec<MessageId>,
}

impl UsageReports {
    /// Adds units to the next report; negative ones are given back.
    pub fn add(&mut self, now_ms: Millis, units: f64) {
        match self.unsent.back_mut() {
            Some((at_ms, sum)) if now_ms < *at_ms + COLLECT_MS => *sum += units,
            _ => self.unsent.push_back((now_ms, units)),
        }
    }

    /// Drops units that nobody needs to be told of any more: once its silence is noticed, another
    /// coordinator grants only its own share of the cap.
    pub fn expire(&mut self, now_ms: Millis) {
        while self.unsent.front().is_some_and(|(at_ms, _)| now_ms > *at_ms + SILENCE_MS) {
            self.unsent.pop_front();
        }
    }

    /// Units that no coordinator has confirmed.
    pub fn unconfirmed(&self) -> f64 {
        self.unsent.iter().map(|(_, units)| units).sum::<f64>() + self.sent.unwrap_or_default()
    }

    /// Time until a report is due; `None` if there is nothing to report or a report is on its way.
    pub fn due_in_ms(&self, now_ms: Millis) -> Option<Millis> {
        let is_waiting = !self.unsent.is_empty() && self.sent.is_none();
        is_waiting.then(|| self.next_ms.saturating_sub(now_ms))
    }

    /// Takes the units that are to be reported now, and the time over which they came together. A
    /// report after a failed one holds none: should both arrive late after all, the units would
    /// count twice.
    pub fn take(&mut self, now_ms: Millis) -> (f64, Millis) {
        self.next_ms = now_ms + REPORT_INTERVAL_MS;
        if self.is_failing {
            self.sent = Some(0.0);
            return (0.0, Millis::ZERO);
        }
        if self.late_since_ms.is_some_and(|since_ms| now_ms > since_ms + SILENCE_MS) {
            self.unsent.clear();
        }
        let oldest_ms = self.unsent.front().map_or(now_ms, |(at_ms, _)| *at_ms);
        let units = self.unsent.drain(..).map(|(_, units)| units).sum();
        self.sent = Some(units);
        (units, now_ms.saturating_sub(oldest_ms))
    }

    /// Records that the report has arrived.
    pub fn confirm(&mut self, now_ms: Millis) {
        self.sent = None;
        if std::mem::take(&mut self.is_failing) {
            self.next_ms = now_ms;
        } else {
            self.late_since_ms = None;
        }
    }

    /// Keeps the units of a report that failed for a later one.
    pub fn keep_failed(&mut self, now_ms: Millis) {
        self.next_ms = now_ms + REPORT_RETRY_MS;
        self.late_since_ms.get_or_insert(now_ms);
        self.is_failing = true;
        if let Some(units) = self.sent.take() {
            self.add(now_ms, units);
        }
    }

    /// Records a message that had no reply: its units are counted elsewhere, so that it is void.
    pub fn add_void(&mut self, message: MessageId) {
        if !self.void.contains(&message) {
            self.void.push(message);
        }
        if self.void.len() > MAX_VOID_MESSAGES {
            self.void.remove(0);
        }
    }

    /// The messages that are void.
    pub fn void(&self) -> &[MessageId] {
        &self.void
    }

    /// Records that a coordinator was told of void messages.
    pub fn confirm_void(&mut self, told: &[MessageId]) {
        self.void.retain(|message| !told.contains(message));
    }
}
