//! The daemon of each entry instance: edges around the coordinator of `turmericrail-core`.
//!
//! A request passes from the caller edge through the driver, which owns the coordinator, to the
//! backend edge; the peer and platform edges feed the driver with what others know. Handlers hold
//! no decisions: they turn what they see into events and carry out actions.

pub mod backend_edge;
pub mod bounded_log;
pub mod caller_edge;
pub mod cli;
mod connection_close;
pub mod daemon;
pub mod error;
pub mod forward;
pub mod log_level;
pub mod logs;
pub mod metrics;
pub mod peer_edge;
pub mod platform_edge;
pub mod settings;
mod signals;
mod tcp_timeouts;

/// Parses the command line and runs the daemon that it asks for, until its end.
pub fn run() -> Result<(), error::StartError> {
    match cli::parse()? {
        cli::Options::Route(settings) => daemon::start(*settings),
        cli::Options::Forward(path, settings) => forward::start(path, *settings),
    }
}
