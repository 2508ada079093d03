//! Errors of the command line and of commands, and their exit codes.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use turmericrail_core::config::{ConfigError, PatchError};
use turmericrail_core::ids::RequestId;
use turmericrail_wire::client::CallError;

/// Exit code for an invalid file, a refused patch, findings or differences.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code for an invalid command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code of `check --platform` and `diff` if a configuration can't be read.
pub const EXIT_UNREADABLE_CONFIGURATION: u8 = 2;
/// Exit code if a file, instance or service can't be read or a plot can't be written.
pub const EXIT_UNREADABLE: u8 = 3;
/// Exit code if the instance or the logs know nothing about the request.
pub const EXIT_UNKNOWN_REQUEST: u8 = 4;

/// Why the command line is invalid.
#[derive(Debug, Error)]
pub enum UsageError {
    #[error("no command: use check, diff, patch, status, explain or summary; --help shows them")]
    NoCommand,
    #[error(
        "nothing to check: pass --settings, --forward, --configuration or --platform with a file"
    )]
    NothingToCheck,
    #[error("--platform is checked alone: leave out the other files")]
    PlatformWithOthers,
    #[error("no configuration to patch: pass --configuration <file> or --platform <address>")]
    NoPatchBase,
    #[error("two configurations to patch: pass only one of --configuration and --platform")]
    TwoPatchBases,
    #[error("no instance: name at least one by its caller address")]
    NoInstance,
    #[error("name an instance and a request number, or --logs <file> and a request")]
    InvalidExplainTargets,
    #[error("{0:?} is not the address of an instance: write an IP number and port")]
    InvalidInstance(String),
    #[error("{0:?} is not a request number: an instance knows requests by their numbers")]
    InvalidRequest(String),
    #[error("no logs: pass --logs <file>, once for each instance")]
    NoLogs,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error("can't read {}: {source}", path.display())]
    ReadFile { path: PathBuf, source: std::io::Error },
    /// The plot can't be written.
    #[error("can't draw {}: {problem}", path.display())]
    Draw { path: PathBuf, problem: String },
    /// A configuration of the platform can't be read or decoded.
    #[error("can't read {}: {problem}", path.display())]
    Unreadable { path: PathBuf, problem: String },
    /// `check --platform` or `diff` found something.
    #[error("{output}")]
    Findings {
        /// Findings or differences, in the requested output format.
        output: String,
    },
    /// The call to an instance or service failed.
    #[error("{0}")]
    Call(#[from] CallError),
    /// A settings, configuration or patch file is invalid.
    #[error("{name}: {problem}")]
    Invalid {
        /// Path of the file.
        name: String,
        problem: ConfigError,
    },
    /// The patch can't be applied to the configuration.
    #[error("{0}")]
    Patch(PatchError),
    #[error(
        "instance {instance} keeps no decisions of request {request}: ask the instance that answered it, soon after the answer"
    )]
    UnknownRequest { instance: SocketAddr, request: RequestId },
    #[error("no line of these logs names request {request}: name the log of every instance")]
    NotInLogs { request: String },
    /// Some instances did not answer.
    #[error("{output}\n{unanswered_count} of {instance_count} instances did not answer")]
    Unreachable {
        /// Status of all instances, in the requested output format.
        output: String,
        unanswered_count: usize,
        /// Number of instances given on the command line.
        instance_count: usize,
    },
}

impl CommandError {
    /// Exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::Invalid { .. }
            | CommandError::Patch(_)
            | CommandError::Findings { .. } => EXIT_REFUSED,
            CommandError::Unreadable { .. } => EXIT_UNREADABLE_CONFIGURATION,
            CommandError::ReadFile { .. }
            | CommandError::Draw { .. }
            | CommandError::Call(_)
            | CommandError::Unreachable { .. } => EXIT_UNREADABLE,
            CommandError::UnknownRequest { .. } | CommandError::NotInLogs { .. } => {
                EXIT_UNKNOWN_REQUEST
            }
        }
    }
}
