//! The log: one line of key=value pairs for each event.

use std::sync::Arc;

use spdlog::formatter::{Formatter, PatternFormatter, pattern};
use spdlog::sink::{Sink, StdStreamSink, WriteSink};
use spdlog::{LevelFilter, Logger};
use turmericrail_core::action::Decision;

use crate::bounded_log::BoundedLog;
use crate::error::StartError;
use crate::log_level::LogLevel;

/// The formatter of every line.
fn formatter() -> impl Formatter + Clone + 'static {
    PatternFormatter::new(pattern!(
        "time={year}-{month}-{day}T{hour}:{minute}:{second}.{millisecond} level={level} {payload}{eol}"
    ))
}

/// Sets the log up for the whole process, on standard error.
pub fn set_up(level: LogLevel) -> Result<(), StartError> {
    let sink = StdStreamSink::builder().stderr().formatter(formatter()).build_arc();
    let sink = sink.map_err(|error| StartError::Log(error.to_string()))?;
    install(sink, level)
}

/// Sets the log up on standard output, where a reader that falls behind costs lines and no time.
pub fn set_up_bounded(level: LogLevel) -> Result<BoundedLog, StartError> {
    let log = BoundedLog::start();
    let sink = WriteSink::builder().target(log.clone()).formatter(formatter()).build_arc();
    let sink = sink.map_err(|error| StartError::Log(error.to_string()))?;
    install(sink, level)?;
    Ok(log)
}

fn install(sink: Arc<dyn Sink>, level: LogLevel) -> Result<(), StartError> {
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
