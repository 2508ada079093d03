//! `summary`: counts answers by second and outcome, as a table, JSON or a plot.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use super::answer_plot;
use super::log_line::read_logs;
use crate::error::CommandError;
use crate::options::Format;
use crate::output::to_json;

/// Length of the part of a timestamp that names the second.
const SECOND_LENGTH_BYTES: usize = "2026-12-03T21:04:38".len();

/// Number of answers by second and outcome.
pub type AnswerCounts = BTreeMap<String, BTreeMap<String, u64>>;

/// Counts the answers in log files, and writes a plot if `plot` names a file.
pub fn summary(
    files: &[PathBuf],
    plot: Option<&Path>,
    format: Format,
) -> Result<String, CommandError> {
    let mut counts_by_second = AnswerCounts::new();
    for line in read_logs(files)? {
        if line.get("event") != Some("answer") {
            continue;
        }
        let time = line.get("time").unwrap_or_default();
        let second = time.get(..SECOND_LENGTH_BYTES).unwrap_or(time).to_owned();
        let outcome = line.get("outcome").unwrap_or("unknown").to_owned();
        *counts_by_second.entry(second).or_default().entry(outcome).or_default() += 1;
    }
    if let Some(path) = plot {
        answer_plot::draw(path, &counts_by_second)?;
    }
    Ok(match format {
        Format::Json => to_json(&counts_by_second),
        Format::Text => to_text(&counts_by_second),
    })
}

fn to_text(counts_by_second: &AnswerCounts) -> String {
    let outcomes: BTreeSet<_> = counts_by_second.values().flat_map(BTreeMap::keys).collect();
    let count = |counts: &BTreeMap<String, u64>, outcome: &str| {
        counts.get(outcome).copied().unwrap_or_default()
    };
    let names: Vec<_> = outcomes.iter().map(|outcome| format!("{outcome:>20}")).collect();
    let mut lines = vec![format!("{:<20}{}", "second", names.concat())];
    for (second, counts) in counts_by_second {
        let row = outcomes.iter().map(|outcome| format!("{:>20}", count(counts, outcome)));
        lines.push(format!("{second:<20}{}", row.collect::<String>()));
    }
    let sum =
        |outcome: &str| counts_by_second.values().map(|counts| count(counts, outcome)).sum::<u64>();
    let sums = outcomes.iter().map(|outcome| format!("{:>20}", sum(outcome)));
    lines.push(format!("{:<20}{}", "all", sums.collect::<String>()));
    lines.join("\n")
}
