//! Results of the requests.

use std::collections::BTreeMap;
use std::fmt;

use turmericrail_fakes::Fleet;

use crate::workload::Kind;

/// The result of a request as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestResult {
    Completed,
    /// The caller was told that the request may have run.
    Unknown,
    /// The request did not run, and the caller stopped retrying.
    NotRun,
    /// The answer does not belong to the request.
    Wrong,
}

/// Counts for one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct KindCounts {
    sent: u64,
    completed: u64,
    resumed: u64,
    retries: u64,
    unknown: u64,
    not_run: u64,
    wrong: u64,
}

/// Results of the requests, by kind.
#[derive(Debug, Default)]
pub struct Tally {
    counts_by_kind: BTreeMap<Kind, KindCounts>,
    /// Results of the calls that must not run twice, by their body.
    results: BTreeMap<String, RequestResult>,
    repeated_executions: u64,
    violations: Vec<String>,
}

impl Tally {
    pub fn count(&mut self, kind: Kind, result: RequestResult, resumed: u64, retries: u64) {
        let counts = self.counts_by_kind.entry(kind).or_default();
        counts.sent += 1;
        counts.resumed += resumed;
        counts.retries += retries;
        match result {
            RequestResult::Completed => counts.completed += 1,
            RequestResult::Unknown => counts.unknown += 1,
            RequestResult::NotRun => counts.not_run += 1,
            RequestResult::Wrong => counts.wrong += 1,
        }
    }

    /// Records the result of a call that must not run twice.
    pub fn record_result(&mut self, body: String, result: RequestResult) {
        self.results.insert(body, result);
    }

    pub fn add(&mut self, other: Tally) {
        for (kind, counts) in other.counts_by_kind {
            let total = self.counts_by_kind.entry(kind).or_default();
            total.sent += counts.sent;
            total.completed += counts.completed;
            total.resumed += counts.resumed;
            total.retries += counts.retries;
            total.unknown += counts.unknown;
            total.not_run += counts.not_run;
            total.wrong += counts.wrong;
        }
        self.results.extend(other.results);
    }

    /// Compares the results that callers saw with the executions at the services.
    pub fn check_executions(&mut self, fleet: &Fleet) {
        for (body, result) in &self.results {
            let services = fleet.plain.values();
            let count: u64 =
                services.filter_map(|plain| plain.state().executions.get(body).copied()).sum();
            self.repeated_executions += count.saturating_sub(1);
            let is_consistent = match result {
                RequestResult::Completed => count == 1,
                RequestResult::NotRun => count == 0,
                RequestResult::Unknown | RequestResult::Wrong => count <= 1,
            };
            if !is_consistent {
                self.violations.push(format!("{body}: told {result:?}, executed {count} times"));
            }
        }
    }

    /// Whether a request failed or a guarantee was violated.
    pub fn has_failures(&self) -> bool {
        self.failed() > 0 || self.repeated_executions > 0 || !self.violations.is_empty()
    }

    /// Returns the last line of output; an unknown outcome counts as neither completed nor failed.
    pub fn summary(&self, held: usize) -> String {
        let completed: u64 = self.counts_by_kind.values().map(|counts| counts.completed).sum();
        format!(
            "completed={completed} failed={} doubled={} held={held}",
            self.failed(),
            self.repeated_executions
        )
    }

    fn failed(&self) -> u64 {
        self.counts_by_kind.values().map(|counts| counts.not_run + counts.wrong).sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18}{:>7}{:>11}{:>9}{:>12}{:>9}{:>9}{:>7}",
            "kind", "sent", "completed", "resumed", "sent again", "unknown", "not run", "wrong"
        )?;
        for (kind, counts) in &self.counts_by_kind {
            writeln!(
                f,
                "{:<18}{:>7}{:>11}{:>9}{:>12}{:>9}{:>9}{:>7}",
                kind.name(),
                counts.sent,
                counts.completed,
                counts.resumed,
                counts.retries,
                counts.unknown,
                counts.not_run,
                counts.wrong
            )?;
        }
        for violation in &self.violations {
            writeln!(f, "broken promise: {violation}")?;
        }
        Ok(())
    }
}
