//! The log: one line of key=value pairs for each event, on standard error.

use std::sync::Arc;

use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::StdStreamSink;
use spdlog::{LevelFilter, Logger};
use turmericrail_core::action::Decision;

use crate::error::StartError;
use crate::log_level::LogLevel;

/// Sets the log up for the whole process.
pub fn set_up(level: LogLevel) -> Result<(), StartError> {
    let formatter = PatternFormatter::new(pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ));
    let sink = StdStreamSink::builder().stderr().formatter(formatter).build_arc();
    let sink = sink.map_err(|error| StartError::Log(error.to_string()))?;
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        .build()
        .map_err(|error| StartError::Log(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// One line of key=value pairs for a decision.
pub fn line(decision: &Decision) -> String {
    let mut line = format!("event={}", decision.event);
    if let Some(request) = decision.request {
        line.push_str(&format!(" request={request}"));
    }
    for (key, value) in &decision.fields {
        line.push_str(&format!(" {key}={}", quote(value)));
    }
    line
}

fn quote(value: &str) -> String {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}
