//! Severity levels of the log.

use serde::{Deserialize, Serialize};
use spdlog::Level;

/// Least severe level that is logged; decisions are logged at `info`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// What stops the process.
    Error,
    /// What went wrong and was dealt with.
    Warn,
    /// Each decision.
    #[default]
    Info,
    /// Everything.
    Debug,
}

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warn => Level::Warn,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}
