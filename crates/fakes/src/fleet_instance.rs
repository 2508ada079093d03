//! An instance of a fleet, run as a child process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;

use turmericrail_core::ids::InstanceId;

use crate::signal::send_signal;

/// An instance, with its process while that runs.
#[expect(missing_docs, reason = "the names say it")]
pub struct FleetInstance {
    pub id: InstanceId,
    pub data_centre: String,
    pub caller_address: SocketAddr,
    /// Address that it listens on for peers; others may reach it through a proxy.
    pub peer_address: SocketAddr,
    /// Absent before the start and after `kill`.
    pub process: Option<Child>,
    /// File that receives its standard error.
    pub log_path: PathBuf,
}

impl FleetInstance {
    /// Sends a signal, such as `STOP`, to the process if it runs.
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
