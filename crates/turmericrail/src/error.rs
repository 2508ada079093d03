//! Why the daemon did not start or had to stop.

use std::net::SocketAddr;
use std::path::PathBuf;

use thiserror::Error;
use turmericrail_core::config::ConfigError;

/// Why the daemon did not start or had to stop.
#[derive(Debug, Error)]
pub enum StartError {
    /// No settings file was named.
    #[error("no settings: pass --settings <file>")]
    NoSettings,
    /// Two settings files were named.
    #[error("two settings files: pass either --settings <file> or --forward <file>")]
    TwoSettings,
    /// The settings file can't be read.
    #[error("can't read settings {}: {source}", path.display())]
    ReadSettings {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings are wrong.
    #[error("bad settings in {}: {problem}", path.display())]
    BadSettings {
        /// The file.
        path: PathBuf,
        /// What is wrong, and where.
        problem: ConfigError,
    },
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signals(std::io::Error),
    /// The log can't be set up.
    #[error("can't set up the log: {0}")]
    Log(String),
}
