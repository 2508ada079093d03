//! One instance as a process that can be stopped, suspended, killed and restarted.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use turmericrail_fakes::ports::free_address;
use turmericrail_fakes::signal::send_signal;
use turmericrail_fakes::{FaultProxy, registered::FakeStore};

use crate::callers;

/// Time within which an instance must exit after SIGTERM: its grace period of 8 s and a margin.
const EXIT_TIMEOUT: Duration = Duration::from_millis(9_000);
/// Time between checks whether a process has exited.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Settings that earlier versions don't know.
const NEW_SETTINGS: &str = "max_caller_bytes: 8MiB\n";

/// What instances run.
pub struct Programs {
    pub own: PathBuf,
    /// An earlier version for every other instance.
    pub earlier: Option<PathBuf>,
}

impl Programs {
    /// The program of an instance, and settings for it beside the usual ones.
    fn of(&self, number: usize) -> (&Path, &str) {
        match &self.earlier {
            Some(earlier) if number % 2 == 1 => (earlier, ""),
            _ => (&self.own, NEW_SETTINGS),
        }
    }
}

pub struct Instance {
    /// The proxy of its connections to the store.
    pub store_proxy: FaultProxy,
    pub caller_address: SocketAddr,
    operator_address: SocketAddr,
    program: PathBuf,
    settings_path: PathBuf,
    process: Option<Child>,
    /// Highest configuration version that this run of the process has reported.
    version: u64,
}

impl Instance {
    /// Starts an instance with its own proxy to the store. All instances use the same ports for
    /// each other, each on its own loopback address.
    pub fn start(
        programs: &Programs,
        folder: &Path,
        number: usize,
        store: &FakeStore,
        [peer_port, handover_port]: [u16; 2],
    ) -> Self {
        let (program, extra_settings) = programs.of(number);
        let proxy = async_std::task::block_on(FaultProxy::start(store.address()));
        let store_proxy = proxy.expect("loopback ports are free");
        let address = || free_address().expect("loopback ports are free");
        let (caller_address, operator_address) = (address(), address());
        let settings = format!(
            "instance: soak-{number}\ndata_centre: dc-a\ncaller_address: {caller_address}\n\
             ready_address: {}\noperator_address: {operator_address}\n\
             peer_address: 127.0.1.{}:{peer_port}\nhandover_port: {handover_port}\n\
             seeds: [\"127.0.1.1:{peer_port}\", \"127.0.1.2:{peer_port}\"]\nstore_address: {}\ngrace_ms: 8s\nretry_ratio: 0.2\nretry_slack: 56\n\
             retry_window_ms: 10s\n{extra_settings}",
            address(),
            number + 1,
            store_proxy.address
        );
        let settings_path = folder.join(format!("soak-{number}.yaml"));
        std::fs::write(&settings_path, settings).expect("the folder can be written");
        let mut instance = Self {
            store_proxy,
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

    /// Kills the process if it runs, and starts a new one.
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

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn signal(&self, signal: &str) {
        let Some(process) = &self.process else {
            return;
        };
        send_signal(process, signal);
    }

    /// Stops the process with SIGTERM; returns whether it exited in time.
    pub fn stop(&mut self) -> bool {
        self.signal("TERM");
        let limit = Instant::now() + EXIT_TIMEOUT;
        while let Some(process) = &mut self.process {
            if matches!(process.try_wait(), Ok(Some(_))) {
                self.process = None;
                return true;
            }
            if Instant::now() > limit {
                self.kill();
                return false;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        true
    }

    /// Returns its status page, or `None` if it does not answer.
    pub fn status(&self) -> Option<Value> {
        let text = "GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = callers::exchange(self.operator_address, text)?;
        serde_json::from_str(&answer.body).ok()
    }

    /// Whether its configuration version is lower than one that it reported before.
    pub fn has_version_gone_back(&mut self) -> bool {
        let version = self.status().and_then(|status| status["config_version"].as_u64());
        let highest = self.version;
        self.version = highest.max(version.unwrap_or(highest));
        version.is_some_and(|version| version < highest)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}
