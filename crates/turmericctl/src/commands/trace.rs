//! `explain --logs`: the log lines about a request from all instances, in time order.

use std::path::PathBuf;

use serde_json::json;

use super::log_line::{LogLine, read_logs};
use crate::error::CommandError;
use crate::options::Format;
use crate::output::to_json;

/// Returns the log lines that name a request.
pub fn trace(files: &[PathBuf], request: &str, format: Format) -> Result<String, CommandError> {
    let mut lines = read_logs(files)?;
    lines.retain(|line| line.get("request") == Some(request));
    if lines.is_empty() {
        return Err(CommandError::NotInLogs { request: request.to_owned() });
    }
    Ok(match format {
        Format::Json => to_json(&lines.iter().map(to_value).collect::<Vec<_>>()),
        Format::Text => to_text(request, &lines),
    })
}

fn to_value(line: &LogLine) -> serde_json::Value {
    let pairs = line.pairs.iter().map(|(key, value)| (key.clone(), json!(value)));
    let mut object: serde_json::Map<_, _> = pairs.collect();
    object.insert("logged_by".to_owned(), json!(line.instance));
    object.into()
}

fn to_text(request: &str, lines: &[LogLine]) -> String {
    let mut rows = vec![format!("request {request}")];
    for line in lines {
        let is_shown = |key: &str| !["time", "level", "event", "request"].contains(&key);
        let pairs = line.pairs.iter().filter(|(key, _)| is_shown(key));
        let pairs = pairs.map(|(key, value)| format!("{key}={value}")).collect::<Vec<_>>();
        let (time, event) = (line.get("time").unwrap_or("-"), line.get("event").unwrap_or("-"));
        rows.push(format!("  {time}  {:<14} {event:<12} {}", line.instance, pairs.join(" ")));
    }
    rows.join("\n")
}
