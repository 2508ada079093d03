//! One instance of a fleet, run as a process of its own.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

use turmericrail_core::ids::InstanceId;

use crate::signal::send_signal;

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
        send_signal(process, signal);
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
