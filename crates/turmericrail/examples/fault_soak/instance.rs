//! One instance as a process, which is stopped, paused, killed and started again.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::signal::send_signal;
use turmericrail_fakes::{FaultProxy, registered::FakeStore};

use crate::callers;

/// Time in which an instance ends after SIGTERM: its grace and a moment.
const END_LIMIT: Duration = Duration::from_millis(9_000);
/// Time between looks at a process that is to end.
const LOOK_STEP: Duration = Duration::from_millis(20);

/// One instance.
pub struct Instance {
    /// Its link to the store.
    pub store_link: FaultProxy,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    operator_address: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    process: Option<Child>,
    /// Highest configuration version that this run of the process was seen with.
    version: u64,
}

impl Instance {
    /// Starts an instance with a link of its own to the store; instances share one peer port.
    pub fn start(
        program: &Path,
        folder: &Path,
        number: usize,
        store: &FakeStore,
        peer_port: u16,
    ) -> Self {
        let link = async_std::task::block_on(FaultProxy::start(store.address()));
        let store_link = link.expect("loopback ports are free");
        let address = || free_address().expect("loopback ports are free");
        let (caller_address, operator_address) = (address(), address());
        let settings = format!(
            "instance: soak-{number}\ndata_centre: dc-a\ncaller_address: {caller_address}\n\
             ready_address: {}\noperator_address: {operator_address}\n\
             peer_address: 127.0.1.{}:{peer_port}\n\
             seeds: [\"127.0.1.1:{peer_port}\", \"127.0.1.2:{peer_port}\"]\nstore_address: {}\ngrace_ms: 8s\nretry_ratio: 0.2\nretry_slack: 56\n\
             retry_window_ms: 10s\n",
            address(),
            number + 1,
            store_link.address
        );
        let settings_path = folder.join(format!("soak-{number}.yaml"));
        std::fs::write(&settings_path, settings).expect("the folder can be written");
        let mut instance = Self {
            store_link,
            caller_address,
            operator_address,
            program: program.to_owned(),
            settings_path,
            process: None,
            version: 0,
        };
        instance.restart();
        instance
    }

    /// Starts the process anew.
    pub fn restart(&mut self) {
        self.kill();
        self.version = 0;
        let log = self.settings_path.with_extension("log");
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let process = Command::new(&self.program)
            .arg("--forward")
            .arg(&self.settings_path)
            .stdout(Stdio::from(log.expect("the folder can be written")))
            .spawn();
        self.process = Some(process.expect("the program can be started"));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let Some(process) = &self.process else {
            return;
        };
        send_signal(process, signal);
    }

    /// Ends the process in order; tells whether it ended in time.
    pub fn end(&mut self) -> bool {
        self.signal("TERM");
        let limit = Instant::now() + END_LIMIT;
        while let Some(process) = &mut self.process {
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.process = None;
                return true;
            }
            if Instant::now() > limit {
                self.kill();
                return false;
            }
            std::thread::sleep(LOOK_STEP);
        }
        true
    }

    /// Its page of status, where it answers.
    pub fn status(&self) -> Option<Value> {
        let text = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = callers::exchange(self.operator_address, text)?;
        serde_json::from_str(&answer.body).ok()
    }

    /// Tells whether its configuration went back since the last look.
    pub fn has_gone_back(&mut self) -> bool {
        let version = self.status().and_then(|status| status["config_version"].as_u64());
        let before = self.version;
        self.version = before.max(version.unwrap_or(before));
        version.is_some_and(|version| version < before)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
