//! Why a command failed, and the exit code that goes with it.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use turmericrail_core::config::{ConfigError, PatchError};
use turmericrail_core::ids::RequestId;
use turmericrail_wire::client::CallError;

/// Exit code where a file is wrong or a patch is refused.
pub const EXIT_REFUSED: u8 = 1;
/// Exit code of a wrong command line.
pub const EXIT_USAGE: u8 = 2;
/// Exit code where a file, instance or service can't be read.
pub const EXIT_UNREADABLE: u8 = 3;
/// Exit code where an instance keeps no decisions of the request.
pub const EXIT_NOT_KNOWN: u8 = 4;

/// A wrong combination on the command line.
#[derive(Debug, Error)]
pub enum UsageError {
    /// No command.
    #[error("no command: use check, patch, status, explain or summary; --help shows them")]
    NoCommand,
    /// Nothing to check.
    #[error("nothing to check: pass --settings, --forward or --configuration with a file")]
    NothingToCheck,
    /// No present configuration.
    #[error("no configuration to patch: pass --configuration <file> or --platform <address>")]
    NoBase,
    /// Two present configurations.
    #[error("two configurations to patch: pass only one of --configuration and --platform")]
    TwoBases,
    /// No instance.
    #[error("no instance: name at least one by its caller address")]
    NoInstance,
    /// What to explain is not clear.
    #[error("name an instance and a request number, or --logs <file> and a request")]
    BadExplain,
    /// No address.
    #[error("{0:?} is no address of an instance: write an IP number and port")]
    BadInstance(String),
    /// No number of a request.
    #[error("{0:?} is no request number: an instance knows requests by their numbers")]
    BadRequest(String),
    /// No log file.
    #[error("no logs: pass --logs <file>, once for each instance")]
    NoLogs,
}

/// Why a command failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A picture can't be written.
    #[error("can't draw {}: {problem}", path.display())]
    Draw {
        /// The file.
        path: PathBuf,
        /// Why.
        problem: String,
    },
    /// An instance or service can't be read.
    #[error("{0}")]
    Call(#[from] CallError),
    /// A file or document is wrong.
    #[error("{name}: {problem}")]
    Wrong {
        /// The file or service.
        name: String,
        /// What is wrong, and where.
        problem: ConfigError,
    },
    /// The patch is refused.
    #[error("{0}")]
    Patch(PatchError),
    /// The instance keeps no decisions of the request.
    #[error(
        "instance {instance} keeps no decisions of request {request}: ask the instance that answered it, soon after the answer"
    )]
    NotKnown {
        /// The instance.
        instance: SocketAddr,
        /// The request.
        request: RequestId,
    },
    /// The logs hold nothing of the request.
    #[error("no line of these logs names request {request}: name the log of every instance")]
    NotInLogs {
        /// The request.
        request: String,
    },
    /// Some instances did not answer.
    #[error("{shown}\n{missing} of {asked} instances did not answer")]
    Unreachable {
        /// What the others answered.
        shown: String,
        /// Instances that did not answer.
        missing: usize,
        /// Instances asked.
        asked: usize,
    },
}

impl ControlError {
    /// The exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            ControlError::Wrong { .. } | ControlError::Patch(_) => EXIT_REFUSED,
            ControlError::ReadFile { .. }
            | ControlError::Draw { .. }
            | ControlError::Call(_)
            | ControlError::Unreachable { .. } => EXIT_UNREADABLE,
            ControlError::NotKnown { .. } | ControlError::NotInLogs { .. } => EXIT_NOT_KNOWN,
        }
    }
}
