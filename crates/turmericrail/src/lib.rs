//! The daemon that runs on each instance: network adapters around the coordinator of
//! `turmericrail-core`.
//!
//! The adapters, called edges, turn requests, messages and answers into events. The driver passes
//! these to the coordinator, which makes all decisions, and has the edges carry out the resulting
//! actions. The peer and platform edges bring in what other instances and the platform report.
//! Module [`forward`] is a separate mode for backend servers that register themselves.

pub mod accept_loop;
pub mod backend_edge;
pub mod bounded_log;
pub mod caller_edge;
pub mod caller_memory;
pub mod cli;
mod connection_close;
pub mod daemon;
mod eager_read;
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

/// Parses the command line and runs the daemon in the chosen mode until it exits.
pub fn run() -> Result<(), error::StartError> {
    match cli::parse()? {
        cli::Mode::Route(settings) => daemon::start(*settings),
        cli::Mode::Forward(path, settings) => forward::start(path, *settings),
    }
}
