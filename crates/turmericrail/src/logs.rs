//! Log set-up and format: one line of key=value pairs for each event.

use std::sync::Arc;

use spdlog::formatter::{Formatter, PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Logger};
use turmericrail_core::action::Decision;

use crate::bounded_log::BoundedLog;
use crate::error::StartError;
use crate::log_level::LogLevel;

fn formatter() -> impl Formatter + Clone + 'static {
    PatternFormatter::new(pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ))
}

/// Sets up the process-wide log on standard error.
pub fn set_up(level: LogLevel) -> Result<(), StartError> {
    let sink = StdStreamSink::builder().stderr().formatter(formatter()).build_arc();
    let sink = sink.map_err(|error| StartError::Log(error.to_string()))?;
    install_logger(sink, level)
}

/// Sets up the process-wide log on standard output, where a slow reader loses lines instead of
/// delaying the process.
pub fn set_up_bounded(level: LogLevel) -> Result<BoundedLog, StartError> {
    let log = BoundedLog::start();
    let sink = WriteSink::builder().target(log.clone()).formatter(formatter()).build_arc();
    let sink = sink.map_err(|error| StartError::Log(error.to_string()))?;
    install_logger(sink, level)?;
    Ok(log)
}

fn install_logger(sink: Arc<dyn Sink>, level: LogLevel) -> Result<(), StartError> {
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(LevelFilter::MoreSevereEqual(level.into()))
        .build()
        .map_err(|error| StartError::Log(error.to_string()))?;
    spdlog::set_default_logger(Arc::new(logger));
    Ok(())
}

/// Formats a decision as key=value pairs.
pub fn format_decision(decision: &Decision) -> String {
    let mut line = format!("event={}", decision.event);
    if let Some(request) = decision.request {
        line.push_str(&format!(" request={request}"));
    }
    for (key, value) in &decision.fields {
        line.push_str(&format!(" {key}={}", quote_if_needed(value)));
    }
    line
}

/// Quotes a value that is empty or contains blanks, control characters, quotes or equals signs.
fn quote_if_needed(value: &str) -> String {
    let is_unquoted = |c: char| !c.is_whitespace() && !c.is_control() && c != '"' && c != '=';
    if !value.is_empty() && value.chars().all(is_unquoted) {
        return value.to_owned();
    }
    format!("{value:?}")
}
