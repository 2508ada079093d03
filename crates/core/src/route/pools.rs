//! The engines of each model, by role and place, worked out once for each configuration version and minute.

use std::collections::BTreeMap;

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::{ConfigVersion, DataCentreId, ModelId, ModelVersion, ServerId};
use crate::units::WallMillis;

/// Milliseconds in a minute.
const MS_PER_MINUTE: u64 = 60_000;
/// Engines looked at for one choice where a pool is larger.
const MAX_LOOKED_AT: usize = 12;

/// Engines of one role that serve one version of a model.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    by_place: BTreeMap<DataCentreId, Vec<ServerId>>,
    len: usize,
}

/// All pools.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    version: Option<ConfigVersion>,
    minute: Option<u64>,
    by_model: BTreeMap<(ModelId, ModelVersion), BTreeMap<ServerRole, Pool>>,
}

impl Pools {
    /// Works the pools out again where another configuration is in force, and each minute where
    /// roles follow the hour.
    pub fn refresh(&mut self, configuration: &Configuration, wall_ms: WallMillis) {
        let minute = Some(wall_ms.0 / MS_PER_MINUTE);
        let is_current = self.version == Some(configuration.version);
        if is_current && (self.minute.is_none() || self.minute == minute) {
            return;
        }
        let mut known = configuration.servers.values();
        let has_schedule = known.any(|server| server.role_schedule.is_some());
        self.minute = minute.filter(|_| has_schedule);
        self.version = Some(configuration.version);
        self.by_model.clear();
        for (model, known) in &configuration.models {
            for (version, served) in &known.versions {
                let pools = self.by_model.entry((model.clone(), version.clone())).or_default();
                for id in &served.servers {
                    let Some(server) = configuration.servers.get(id) else {
                        continue;
                    };
                    let pool = pools.entry(server.role_at(wall_ms)).or_default();
                    pool.by_place.entry(server.data_centre.clone()).or_default().push(id.clone());
                    pool.len += 1;
                }
            }
        }
    }

    /// The engines of one role that serve a version.
    pub fn pool(&self, model: &ModelId, version: &ModelVersion, role: ServerRole) -> Option<&Pool> {
        self.by_model.get(&(model.clone(), version.clone()))?.get(&role)
    }
}

impl Pool {
    /// Number of engines.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Engines to choose from, those of `place` first: all of a small pool, else a sample that
    /// differs with `seed`, so that instances don't all turn to the same engine.
    pub fn sample(&self, place: &DataCentreId, seed: u64) -> Vec<&ServerId> {
        let mut sample = Vec::new();
        let near = self.by_place.get(place).map_or(&[][..], Vec::as_slice);
        take(&mut sample, near, seed, MAX_LOOKED_AT);
        let others = self.by_place.iter().filter(|(other, _)| *other != place);
        for (_, servers) in others {
            take(&mut sample, servers, seed, MAX_LOOKED_AT / 2);
        }
        sample
    }
}

fn take<'a>(sample: &mut Vec<&'a ServerId>, servers: &'a [ServerId], seed: u64, most: usize) {
    if servers.is_empty() {
        return;
    }
    let first = (seed % servers.len() as u64) as usize;
    let turned = servers[first..].iter().chain(&servers[..first]);
    sample.extend(turned.take(most));
}
