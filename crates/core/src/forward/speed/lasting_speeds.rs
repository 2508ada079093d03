//! The lasting slowdowns as instances tell them to each other. An instance sees too few calls to
//! learn the speed of every server by itself within minutes.

use crate::forward::{Forwarder, ServerLoad, ServerRun, ServerSpeed};
use crate::units::Millis;

/// What an instance knows of the lasting slowdown of a run of a server.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct LastingSpeed {
    pub run: ServerRun,
    pub slowdown: f64,
    /// Number of measurements behind it.
    pub samples: u8,
}

impl Forwarder {
    /// The speed of a run of a server; `None` if it hasn't been called.
    pub fn server_speed(&self, run: &ServerRun) -> Option<&ServerSpeed> {
        self.loads.get(run).map(ServerLoad::speed)
    }

    /// The lasting slowdowns that are known, in the order of the servers' ids. Servers that state no
    /// speed have none.
    pub fn lasting_speeds(&self, now_ms: Millis) -> Vec<LastingSpeed> {
        let mut speeds = Vec::new();
        for (run, load) in &self.loads {
            let lasting = load.speed().lasting();
            if lasting.samples() == 0 || !self.is_current_run(now_ms, run) {
                continue;
            }
            let slowdown = lasting.value(now_ms);
            speeds.push(LastingSpeed { run: run.clone(), slowdown, samples: lasting.samples() });
        }
        speeds
    }

    /// Merges the lasting slowdown that another instance knows. That of a run which is not
    /// registered is ignored.
    pub fn merge_lasting_speed(&mut self, now_ms: Millis, told: &LastingSpeed) {
        if !told.slowdown.is_finite() || told.slowdown <= 0.0 || told.samples == 0 {
            return;
        }
        if self.is_current_run(now_ms, &told.run) {
            let load = self.loads.entry(told.run.clone()).or_default();
            load.speed_mut().merge_lasting(now_ms, told.slowdown, told.samples);
        }
    }

    fn is_current_run(&self, now_ms: Millis, run: &ServerRun) -> bool {
        let entry = self.registry.entry(now_ms, &run.server);
        entry.is_some_and(|entry| entry.started_ms == run.started_ms)
    }
}
