//! Log levels of the settings file.

use serde::{Deserialize, Serialize};
use spdlog::Level;

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator's attention.
    Error,
    /// Faults that were handled.
    Warn,
    /// Each decision of the coordinator, and start and end of the process.
    #[default]
    Info,
    /// Everything, including diagnostics.
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
