//! The command line as checked, typed options.

use std::net::SocketAddr;
use std::path::PathBuf;

use turmericrail_core::ids::RequestId;

use crate::cli::{Arguments, CheckArguments, CommandArguments, ExplainArguments, PatchArguments};
use crate::error::UsageError;

/// Form of what is printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// What to check.
#[derive(Clone, Debug)]
pub enum Checked {
    /// A settings file.
    Settings(PathBuf),
    /// A settings file of an instance that forwards calls.
    Forward(PathBuf),
    /// A configuration.
    Configuration(PathBuf),
}

/// Where the present configuration is read.
#[derive(Clone, Debug)]
pub enum Base {
    /// A file.
    File(PathBuf),
    /// The platform's service.
    Platform(SocketAddr),
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Check files.
    Check(Vec<Checked>),
    /// Try a patch.
    Patch { file: PathBuf, base: Base },
    /// Show the status of instances.
    Status(Vec<SocketAddr>),
    /// Show the decisions of a request.
    Explain { instance: SocketAddr, request: RequestId },
    /// Show the way of a request by logs.
    Trace { logs: Vec<PathBuf>, request: String },
    /// Count the answers in logs, and draw them where a picture is named.
    Summary { logs: Vec<PathBuf>, plot: Option<PathBuf> },
}

/// The checked command line.
#[derive(Clone, Debug)]
pub struct Options {
    /// What to do.
    pub command: Command,
    /// Form of what is printed.
    pub format: Format,
}

impl Options {
    /// Checks the command line.
    pub fn from_arguments(arguments: Arguments) -> Result<Self, UsageError> {
        let command = arguments.command.ok_or(UsageError::NoCommand)?;
        let (command, is_json) = match command {
            CommandArguments::Check(check) => {
                let is_json = check.json;
                (checked(check)?, is_json)
            }
            CommandArguments::Patch(patch) => {
                let is_json = patch.json;
                (patched(patch)?, is_json)
            }
            CommandArguments::Status(status) if status.instances.is_empty() => {
                return Err(UsageError::NoInstance);
            }
            CommandArguments::Status(status) => (Command::Status(status.instances), status.json),
            CommandArguments::Explain(explain) => {
                let is_json = explain.json;
                (explained(explain)?, is_json)
            }
            CommandArguments::Summary(summary) if summary.logs.is_empty() => {
                return Err(UsageError::NoLogs);
            }
            CommandArguments::Summary(summary) => {
                let more = summary.more_logs.iter().map(PathBuf::from);
                let logs = summary.logs.into_iter().chain(more).collect();
                (Command::Summary { logs, plot: summary.plot }, summary.json)
            }
        };
        let format = if is_json { Format::Json } else { Format::Text };
        Ok(Self { command, format })
    }
}

fn checked(check: CheckArguments) -> Result<Command, UsageError> {
    let settings = check.settings.map(Checked::Settings);
    let configuration = check.configuration.map(Checked::Configuration);
    let forward = check.forward.map(Checked::Forward);
    let files: Vec<_> = settings.into_iter().chain(forward).chain(configuration).collect();
    if files.is_empty() {
        return Err(UsageError::NothingToCheck);
    }
    Ok(Command::Check(files))
}

fn explained(explain: ExplainArguments) -> Result<Command, UsageError> {
    match &*explain.targets {
        [more_logs @ .., request] if !explain.logs.is_empty() => {
            let more = more_logs.iter().map(PathBuf::from);
            let logs = explain.logs.into_iter().chain(more).collect();
            Ok(Command::Trace { logs, request: request.clone() })
        }
        [instance, request] if explain.logs.is_empty() => {
            let instance =
                instance.parse().map_err(|_| UsageError::BadInstance(instance.clone()))?;
            let request = request.parse().map_err(|_| UsageError::BadRequest(request.clone()))?;
            Ok(Command::Explain { instance, request })
        }
        _ => Err(UsageError::BadExplain),
    }
}

fn patched(patch: PatchArguments) -> Result<Command, UsageError> {
    let base = match (patch.configuration, patch.platform) {
        (Some(file), None) => Base::File(file),
        (None, Some(address)) => Base::Platform(address),
        (None, None) => return Err(UsageError::NoBase),
        (Some(_), Some(_)) => return Err(UsageError::TwoBases),
    };
    Ok(Command::Patch { file: patch.file, base })
}
