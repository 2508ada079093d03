//! Usage that a coordinator has yet to be told of.

use super::{MessageId, SILENCE_MS};
use crate::units::Millis;

/// Least time between two reports.
const REPORT_INTERVAL_MS: Millis = Millis(50);
/// Time after a failed report until the next one.
const REPORT_RETRY_MS: Millis = Millis(200);
/// Most messages that are told to be void: those of all instances in a few seconds.
const MAX_VOID_MESSAGES: usize = 256;

/// The units that are to be reported, those of the report that is on its way, and the messages that
/// had no reply.
#[derive(Clone, Debug, Default)]
pub struct UsageReports {
    /// Negative if more units are given back than were used.
    unsent: Option<f64>,
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
    pub fn add(&mut self, units: f64) {
        *self.unsent.get_or_insert(0.0) += units;
    }

    /// Units that no coordinator has confirmed.
    pub fn unconfirmed(&self) -> f64 {
        self.unsent.unwrap_or_default() + self.sent.unwrap_or_default()
    }

    /// Time until a report is due; `None` if there is nothing to report or a report is on its way.
    pub fn due_in_ms(&self, now_ms: Millis) -> Option<Millis> {
        let is_waiting = self.unsent.is_some() && self.sent.is_none();
        is_waiting.then(|| self.next_ms.saturating_sub(now_ms))
    }

    /// Takes the units that are to be reported now, and the time over which they came together if
    /// earlier reports have failed. A report after a failed one holds none: should both arrive late
    /// after all, the units would count twice. Once its silence is noticed, the other side grants only
    /// its own share of the cap, and is to be told of nothing.
    pub fn take(&mut self, now_ms: Millis) -> (f64, Millis) {
        self.next_ms = now_ms + REPORT_INTERVAL_MS;
        if self.is_failing {
            self.sent = Some(0.0);
            return (0.0, Millis::ZERO);
        }
        let late_since_ms = self.late_since_ms.unwrap_or(now_ms);
        let units = self.unsent.take().filter(|_| now_ms <= late_since_ms + SILENCE_MS);
        self.sent = units.or(Some(0.0));
        (units.unwrap_or_default(), now_ms.saturating_sub(late_since_ms))
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
            self.add(units);
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
