//! Lines of the log: key=value pairs.

use std::path::{Path, PathBuf};

use super::read_file;
use crate::error::ControlError;

/// One line, its pairs in their order.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// The instance that wrote it; the file where that is not told.
    pub instance: String,
    /// The pairs.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// Every line of some files, in the order of their times.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, ControlError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    lines.sort_by(|one, other| one.get("time").cmp(&other.get("time")));
    Ok(lines)
}

fn read_log(file: &Path) -> Result<Vec<LogLine>, ControlError> {
    let text = read_file(file)?;
    let mut instance = file.display().to_string();
    let mut lines = Vec::new();
    for line in text.lines() {
        let pairs = parse_pairs(line);
        let mut line = LogLine { instance: String::new(), pairs };
        if line.get("event") == Some("started") {
            instance = line.get("instance").unwrap_or(&instance).to_owned();
        }
        line.instance.clone_from(&instance);
        lines.push(line);
    }
    Ok(lines)
}

/// Parses pairs; values with spaces stand in double quotes.
fn parse_pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or_default().to_owned();
        let (value, left) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key, value.to_owned()));
        rest = left.trim_start();
    }
    pairs
}
