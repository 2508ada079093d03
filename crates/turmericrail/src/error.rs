//! Errors that keep the daemon from starting.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use turmericrail_core::config::ConfigError;

/// Error that keeps the daemon from starting.
#[derive(Debug, Error)]
#[expect(missing_docs, reason = "the names say it")]
pub enum StartError {
    /// The command line names no settings file.
    #[error("no settings: pass --settings <file>")]
    NoSettings,
    /// The command line names a settings file for each of the two modes.
    #[error("two settings files: pass either --settings <file> or --forward <file>")]
    TwoSettings,
    #[error("can't read settings {}: {source}", path.display())]
    ReadSettings { path: PathBuf, source: std::io::Error },
    /// The settings file is malformed or a value is invalid.
    #[error("bad settings in {}: {problem}", path.display())]
    BadSettings {
        path: PathBuf,
        /// What is wrong, and at which line or key.
        problem: ConfigError,
    },
    #[error("can't listen on {address}: {source}")]
    Listen { address: SocketAddr, source: std::io::Error },
    /// A signal handler can't be registered.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
    #[error("can't set up the log: {0}")]
    Log(String),
}
