//! Signals to processes.

use std::process::{Child, Command};

/// Sends a signal, named as `kill` names it, to a process.
pub fn send_signal(process: &Child, signal: &str) {
    let id = process.id().to_string();
    let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
}
