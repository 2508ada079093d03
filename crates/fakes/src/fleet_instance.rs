//! One instance of a fleet, run as a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command};

use turmericrail_core::ids::InstanceId;

/// One instance as a process.
pub struct FleetInstance {
    /// Its id.
    pub id: InstanceId,
    /// Its data centre.
    pub data_centre: String,
    /// Its caller edge.
    pub caller_address: SocketAddr,
    /// Its peer edge.
    pub peer_address: SocketAddr,
    /// The process, while it runs.
    pub process: Option<Child>,
    /// Its log.
    pub log_path: PathBuf,
}

impl FleetInstance {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(process) = &self.process else {
            return;
        };
        let id = process.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for FleetInstance {
    fn drop(&mut self) {
        self.kill();
    }
}
