//! Signals to child processes.

use std::process::{Child, Command};

/// Sends a signal to a process; the name is that of the `kill` command, such as `STOP`.
pub fn send_signal(process: &Child, signal: &str) {
    let id = process.id().to_string();
    let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
}
