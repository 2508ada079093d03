//! Usage that a coordinator has yet to be told of.

use crate::units::Millis;

/// Least time between two reports.
const REPORT_INTERVAL_MS: Millis = Millis(50);
/// Time after a failed report until the next one.
const REPORT_RETRY_MS: Millis = Millis(200);
/// Time after which usage that nobody could be told of no longer matters to the cap.
const MAX_REPORT_AGE_MS: Millis = Millis(8_000);

/// Units of one time or of a few times that are reported together.
#[derive(Clone, Copy, Debug)]
struct Units {
    /// Negative if more units are given back than were used.
    count: f64,
    oldest_ms: Millis,
}

/// The units that are to be reported and those of the report that is on its way.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsageReports {
    unsent: Option<Units>,
    sent: Option<Units>,
    next_ms: Millis,
}

impl UsageReports {
    /// Adds units to the next report; negative ones are given back.
    pub fn add(&mut self, now_ms: Millis, count: f64) {
        self.unsent.get_or_insert(Units { count: 0.0, oldest_ms: now_ms }).count += count;
    }

    /// Units that no coordinator has confirmed.
    pub fn unconfirmed(&self) -> f64 {
        [self.unsent, self.sent].into_iter().flatten().map(|units| units.count).sum()
    }

    /// Time until a report is due; `None` if there is nothing to report or a report is on its way.
    pub fn due_in_ms(&self, now_ms: Millis) -> Option<Millis> {
        let is_waiting = self.unsent.is_some() && self.sent.is_none();
        is_waiting.then(|| self.next_ms.saturating_sub(now_ms))
    }

    /// Takes the units that are to be reported now.
    pub fn take(&mut self, now_ms: Millis) -> f64 {
        self.sent = self.unsent.take();
        self.next_ms = now_ms + REPORT_INTERVAL_MS;
        self.sent.map_or(0.0, |units| units.count)
    }

    /// Records that the report has arrived.
    pub fn confirm(&mut self) {
        self.sent = None;
    }

    /// Keeps the units of a report that failed for the next one, unless they are too old. They count
    /// twice if the report did arrive, which errs on the side of the cap.
    pub fn keep_failed(&mut self, now_ms: Millis) {
        self.next_ms = now_ms + REPORT_RETRY_MS;
        let Some(sent) = self.sent.take() else {
            return;
        };
        if now_ms > sent.oldest_ms + MAX_REPORT_AGE_MS {
            return;
        }
        self.add(now_ms, sent.count);
        self.unsent = self.unsent.map(|units| Units { oldest_ms: sent.oldest_ms, ..units });
    }
}
