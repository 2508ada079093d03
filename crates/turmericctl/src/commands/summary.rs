//! `summary`: answers by outcome and second, as a table or a picture.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use super::answer_plot;
use super::log_line::read_logs;
use crate::error::ControlError;
use crate::options::Format;
use crate::output::to_json;

/// Length of a time down to its seconds.
const SECONDS_LENGTH: usize = "2026-12-03T21:04:38".len();

/// Answers by second and outcome.
pub type AnswerCounts = BTreeMap<String, BTreeMap<String, u64>>;

/// Counts the answers in logs.
pub fn summary(
    files: &[PathBuf],
    plot: Option<&Path>,
    format: Format,
) -> Result<String, ControlError> {
    let mut seconds = AnswerCounts::new();
    for line in read_logs(files)? {
        if line.get("event") != Some("answer") {
            continue;
        }
        let time = line.get("time").unwrap_or_default();
        let second = time.get(..SECONDS_LENGTH).unwrap_or(time).to_owned();
        let outcome = line.get("outcome").unwrap_or("unknown").to_owned();
        *seconds.entry(second).or_default().entry(outcome).or_default() += 1;
    }
    if let Some(path) = plot {
        answer_plot::draw(path, &seconds)?;
    }
    Ok(match format {
        Format::Json => to_json(&seconds),
        Format::Text => to_text(&seconds),
    })
}

fn to_text(seconds: &AnswerCounts) -> String {
    let outcomes: BTreeSet<_> = seconds.values().flat_map(BTreeMap::keys).collect();
    let count = |counts: &BTreeMap<String, u64>, outcome: &str| {
        counts.get(outcome).copied().unwrap_or_default()
    };
    let names: Vec<_> = outcomes.iter().map(|outcome| format!("{outcome:>20}")).collect();
    let mut text = vec![format!("{:<20}{}", "second", names.concat())];
    for (second, counts) in seconds {
        let row = outcomes.iter().map(|outcome| format!("{:>20}", count(counts, outcome)));
        text.push(format!("{second:<20}{}", row.collect::<String>()));
    }
    let sum = |outcome: &str| seconds.values().map(|counts| count(counts, outcome)).sum::<u64>();
    let sums = outcomes.iter().map(|outcome| format!("{:>20}", sum(outcome)));
    text.push(format!("{:<20}{}", "all", sums.collect::<String>()));
    text.join("\n")
}
