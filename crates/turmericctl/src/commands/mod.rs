//! The commands, a module for each. A command returns the text to print.

mod answer_plot;
mod check;
pub mod diff;
mod explain;
mod log_line;
mod patch;
mod platform;
mod status;
mod summary;
mod trace;

use std::path::Path;

use crate::error::CommandError;
use crate::options::{Command, Format};

/// Runs a command.
pub async fn run(command: &Command, format: Format) -> Result<String, CommandError> {
    match command {
        Command::Check(files) => check::check(files, format),
        Command::CheckPlatform(file) => platform::check(file, format),
        Command::Diff { old, new } => platform::diff(old, new, format),
        Command::Patch { file, base } => patch::patch(file, base, format).await,
        Command::Status(instances) => status::status(instances, format).await,
        Command::Explain { instance, request } => {
            explain::explain(*instance, *request, format).await
        }
        Command::Trace { logs, request } => trace::trace(logs, request, format),
        Command::Summary { logs, plot } => summary::summary(logs, plot.as_deref(), format),
    }
}

fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|source| CommandError::ReadFile { path: path.to_owned(), source })
}
