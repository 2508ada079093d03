//! Validates the parsed arguments and turns them into typed options.

use std::net::SocketAddr;
use std::path::PathBuf;

use turmericrail_core::ids::RequestId;

use crate::cli::{Arguments, CheckArguments, CommandArguments, ExplainArguments, PatchArguments};
use crate::error::UsageError;

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Format {
    Text,
    Json,
}

/// A file and the kind of its contents.
#[derive(Clone, Debug)]
pub enum FileToCheck {
    Settings(PathBuf),
    /// Settings of an instance that forwards calls.
    Forward(PathBuf),
    Configuration(PathBuf),
}

/// Source of the configuration that a patch is tried against.
#[derive(Clone, Debug)]
pub enum PatchBase {
    File(PathBuf),
    /// Address of the platform's configuration service.
    Platform(SocketAddr),
}

/// A command with its arguments.
#[derive(Clone, Debug)]
pub enum Command {
    Check(Vec<FileToCheck>),
    /// Checks a configuration as the platform's store holds it.
    CheckPlatform(PathBuf),
    /// Compares two configurations as the platform's store holds them.
    Diff {
        old: PathBuf,
        new: PathBuf,
    },
    Patch {
        file: PathBuf,
        base: PatchBase,
    },
    Status(Vec<SocketAddr>),
    /// Shows the decisions of one instance about a request.
    Explain {
        instance: SocketAddr,
        request: RequestId,
    },
    /// Shows the log lines about a request.
    Trace {
        logs: Vec<PathBuf>,
        request: String,
    },
    /// Counts the answers in logs, and plots them if a file is given.
    Summary {
        logs: Vec<PathBuf>,
        plot: Option<PathBuf>,
    },
}

/// The validated command line.
#[derive(Clone, Debug)]
pub struct Options {
    pub command: Command,
    pub format: Format,
}

impl Options {
    /// Validates the arguments and converts them to options.
    pub fn from_arguments(arguments: Arguments) -> Result<Self, UsageError> {
        let command = arguments.command.ok_or(UsageError::NoCommand)?;
        let (command, is_json) = match command {
            CommandArguments::Check(check) => {
                let is_json = check.json;
                (check_command(check)?, is_json)
            }
            CommandArguments::Diff(diff) => {
                (Command::Diff { old: diff.old, new: diff.new }, diff.json)
            }
            CommandArguments::Patch(patch) => {
                let is_json = patch.json;
                (patch_command(patch)?, is_json)
            }
            CommandArguments::Status(status) if status.instances.is_empty() => {
                return Err(UsageError::NoInstance);
            }
            CommandArguments::Status(status) => (Command::Status(status.instances), status.json),
            CommandArguments::Explain(explain) => {
                let is_json = explain.json;
                (explain_command(explain)?, is_json)
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

fn check_command(check: CheckArguments) -> Result<Command, UsageError> {
    let settings = check.settings.map(FileToCheck::Settings);
    let configuration = check.configuration.map(FileToCheck::Configuration);
    let forward = check.forward.map(FileToCheck::Forward);
    let files: Vec<_> = settings.into_iter().chain(forward).chain(configuration).collect();
    if let Some(file) = check.platform {
        let is_alone = files.is_empty();
        return is_alone
            .then_some(Command::CheckPlatform(file))
            .ok_or(UsageError::PlatformWithOthers);
    }
    if files.is_empty() {
        return Err(UsageError::NothingToCheck);
    }
    Ok(Command::Check(files))
}

fn explain_command(explain: ExplainArguments) -> Result<Command, UsageError> {
    match &*explain.targets {
        [more_logs @ .., request] if !explain.logs.is_empty() => {
            let more = more_logs.iter().map(PathBuf::from);
            let logs = explain.logs.into_iter().chain(more).collect();
            Ok(Command::Trace { logs, request: request.clone() })
        }
        [instance, request] if explain.logs.is_empty() => {
            let instance =
                instance.parse().map_err(|_| UsageError::InvalidInstance(instance.clone()))?;
            let request =
                request.parse().map_err(|_| UsageError::InvalidRequest(request.clone()))?;
            Ok(Command::Explain { instance, request })
        }
        _ => Err(UsageError::InvalidExplainTargets),
    }
}

fn patch_command(patch: PatchArguments) -> Result<Command, UsageError> {
    let base = match (patch.configuration, patch.platform) {
        (Some(file), None) => PatchBase::File(file),
        (None, Some(address)) => PatchBase::Platform(address),
        (None, None) => return Err(UsageError::NoPatchBase),
        (Some(_), Some(_)) => return Err(UsageError::TwoPatchBases),
    };
    Ok(Command::Patch { file: patch.file, base })
}
