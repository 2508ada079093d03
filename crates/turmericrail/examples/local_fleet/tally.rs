//! What became of the requests.

use std::collections::BTreeMap;
use std::fmt;

use turmericrail_fakes::Fleet;

use crate::workload::Kind;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer came.
    Completed,
    /// It may or may not have run, and the caller was told so.
    Unknown,
    /// It was not run, and the caller gave up sending it again.
    NotRun,
    /// The answer is not the one that belongs to the request.
    Wrong,
}

/// Requests of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Row {
    sent: u64,
    completed: u64,
    resumed: u64,
    sent_again: u64,
    unknown: u64,
    not_run: u64,
    wrong: u64,
}

/// What became of the requests.
#[derive(Debug, Default)]
pub struct Tally {
    rows: BTreeMap<Kind, Row>,
    /// Ends of the calls that must not be repeated, by their body.
    ends: BTreeMap<String, End>,
    doubled: u64,
    broken: Vec<String>,
}

impl Tally {
    /// Counts one request.
    pub fn count(&mut self, kind: Kind, end: End, resumed: u64, sent_again: u64) {
        let row = self.rows.entry(kind).or_default();
        row.sent += 1;
        row.resumed += resumed;
        row.sent_again += sent_again;
        match end {
            End::Completed => row.completed += 1,
            End::Unknown => row.unknown += 1,
            End::NotRun => row.not_run += 1,
            End::Wrong => row.wrong += 1,
        }
    }

    /// Remembers the end of a call that must not be repeated.
    pub fn remember(&mut self, body: String, end: End) {
        self.ends.insert(body, end);
    }

    /// Adds another tally to this one.
    pub fn add(&mut self, other: Tally) {
        for (kind, row) in other.rows {
            let sum = self.rows.entry(kind).or_default();
            sum.sent += row.sent;
            sum.completed += row.completed;
            sum.resumed += row.resumed;
            sum.sent_again += row.sent_again;
            sum.unknown += row.unknown;
            sum.not_run += row.not_run;
            sum.wrong += row.wrong;
        }
        self.ends.extend(other.ends);
    }

    /// Compares what callers were told with what the services executed.
    pub fn check_executions(&mut self, fleet: &Fleet) {
        for (body, end) in &self.ends {
            let counts = fleet.plain.values();
            let count: u64 =
                counts.filter_map(|plain| plain.state().executions.get(body).copied()).sum();
            self.doubled += count.saturating_sub(1);
            let is_true = match end {
                End::Completed => count == 1,
                End::NotRun => count == 0,
                End::Unknown | End::Wrong => count <= 1,
            };
            if !is_true {
                self.broken.push(format!("{body}: told {end:?}, executed {count} times"));
            }
        }
    }

    /// Whether a promise broke.
    pub fn is_broken(&self) -> bool {
        self.failed() > 0 || self.doubled > 0 || !self.broken.is_empty()
    }

    /// The last line; an outcome told as unknown is neither completed nor failed.
    pub fn summary(&self, held: usize) -> String {
        let completed: u64 = self.rows.values().map(|row| row.completed).sum();
        format!(
            "completed={completed} failed={} doubled={} held={held}",
            self.failed(),
            self.doubled
        )
    }

    fn failed(&self) -> u64 {
        self.rows.values().map(|row| row.not_run + row.wrong).sum()
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<18}{:>7}{:>11}{:>9}{:>12}{:>9}{:>9}{:>7}",
            "kind", "sent", "completed", "resumed", "sent again", "unknown", "not run", "wrong"
        )?;
        for (kind, row) in &self.rows {
            writeln!(
                f,
                "{:<18}{:>7}{:>11}{:>9}{:>12}{:>9}{:>9}{:>7}",
                kind.name(),
                row.sent,
                row.completed,
                row.resumed,
                row.sent_again,
                row.unknown,
                row.not_run,
                row.wrong
            )?;
        }
        for broken in &self.broken {
            writeln!(f, "broken promise: {broken}")?;
        }
        Ok(())
    }
}
