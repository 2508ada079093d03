//! Reads log files, whose lines consist of `key=value` pairs.

use std::path::{Path, PathBuf};

use super::read_file;
use crate::error::CommandError;

/// A line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Instance that wrote the line, from the last `started` event before it; the path of the file
    /// if there is none.
    pub instance: String,
    /// Keys and values in their order.
    pub pairs: Vec<(String, String)>,
}

impl LogLine {
    /// Value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.pairs.iter().find(|(name, _)| name == key).map(|(_, value)| value.as_str())
    }
}

/// Reads all lines of the files and sorts them by time.
pub fn read_logs(files: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read_log(file)?);
    }
    lines.sort_by(|one, other| one.get("time").cmp(&other.get("time")));
    Ok(lines)
}

fn read_log(file: &Path) -> Result<Vec<LogLine>, CommandError> {
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

/// Parses `key=value` pairs; values with spaces are in double quotes.
fn parse_pairs(line: &str) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    let mut rest = line.trim();
    while let Some((key, after)) = rest.split_once('=') {
        let key = key.rsplit(' ').next().unwrap_or_default().to_owned();
        let (value, remaining) = match after.strip_prefix('"') {
            Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
            None => after.split_once(' ').unwrap_or((after, "")),
        };
        pairs.push((key, value.to_owned()));
        rest = remaining.trim_start();
    }
    pairs
}
