//! Logs shortages, at most one line a second whatever callers do.

use std::collections::BTreeMap;
use std::sync::Mutex;

use turmericrail_core::caller_account::CallerAccount;
use turmericrail_core::units::Millis;

/// Time between two lines.
const LOG_INTERVAL_MS: Millis = Millis(1_000);

#[derive(Debug, Default)]
struct Pending {
    counts: BTreeMap<&'static str, u64>,
    /// Monotonic time of the last line.
    logged_ms: Option<Millis>,
}

/// Counts what happens to callers' connections in a shortage until it is logged.
#[derive(Debug, Default)]
pub struct EvictionLog {
    pending: Mutex<Pending>,
}

impl EvictionLog {
    /// Counts an event, and logs all that were counted if a line is due.
    pub fn record(&self, now_ms: Millis, event: &'static str, account: &CallerAccount) {
        let mut pending = self.pending.lock().unwrap_or_else(|_| std::process::abort());
        *pending.counts.entry(event).or_default() += 1;
        if pending.logged_ms.is_some_and(|logged_ms| now_ms < logged_ms + LOG_INTERVAL_MS) {
            return;
        }
        pending.logged_ms = Some(now_ms);
        let counts: Vec<_> = std::mem::take(&mut pending.counts)
            .into_iter()
            .map(|(event, count)| format!("{event}={count}"))
            .collect();
        spdlog::warn!(
            "event=callers_gave_way {} held_bytes={} connections={}",
            counts.join(" "),
            account.held().0,
            account.connections()
        );
    }
}
