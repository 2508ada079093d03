//! The engines of each model, by role and place, worked out once for each configuration version and minute.

use std::collections::BTreeMap;

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::{ConfigVersion, DataCentreId, ServerId};
use crate::units::{BytesPerSecond, WallMillis};
use crate::weights::Weights;

/// Milliseconds in a minute.
const MS_PER_MINUTE: u64 = 60_000;
/// Engines compared for one choice where a pool is larger.
const MAX_CHOICES: usize = 8;
/// Engines looked at to find those that can be used.
const MAX_LOOKED_AT: usize = 64;

/// Engines of one role that serve one version of a model, or one adapter.
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
    by_weights: BTreeMap<Weights, BTreeMap<ServerRole, Pool>>,
    link_rates: BTreeMap<DataCentreId, BTreeMap<DataCentreId, BytesPerSecond>>,
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
        self.refresh_links(configuration);
        self.by_weights.clear();
        for (weights, placed) in configuration.weights() {
            let pools = self.by_weights.entry(weights).or_default();
            for id in placed.servers {
                let Some(server) = configuration.servers.get(id) else {
                    continue;
                };
                let pool = pools.entry(server.role_at(wall_ms)).or_default();
                pool.by_place.entry(server.data_centre.clone()).or_default().push(id.clone());
                pool.len += 1;
            }
        }
    }

    fn refresh_links(&mut self, configuration: &Configuration) {
        self.link_rates.clear();
        for (name, link) in &configuration.links {
            let Some((from, to)) = name.split_once('.') else {
                continue;
            };
            let (Ok(from), Ok(to)) = (from.parse(), to.parse()) else {
                continue;
            };
            let rates = self.link_rates.entry(from).or_default();
            rates.insert(to, link.rate_bytes_per_second);
        }
    }

    /// The rate of the link between two data centres.
    pub fn link_rate(&self, from: &DataCentreId, to: &DataCentreId) -> Option<BytesPerSecond> {
        self.link_rates.get(from)?.get(to).copied()
    }

    /// The engines of one role that serve a version or an adapter.
    pub fn pool(&self, weights: &Weights, role: ServerRole) -> Option<&Pool> {
        self.by_weights.get(weights)?.get(&role)
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

    /// Engines to choose from, those of `place` first: all usable ones of a small pool, else a
    /// sample that differs with `seed`, so that instances don't all turn to the same engine.
    pub fn sample(
        &self,
        place: &DataCentreId,
        seed: u64,
        is_usable: impl Fn(&ServerId) -> bool,
    ) -> Vec<&ServerId> {
        let mut sample = Vec::new();
        let near = self.by_place.get(place).map_or(&[][..], Vec::as_slice);
        take(&mut sample, near, seed, MAX_CHOICES, &is_usable);
        let others = self.by_place.iter().filter(|(other, _)| *other != place);
        for (_, servers) in others {
            take(&mut sample, servers, seed, MAX_CHOICES / 2, &is_usable);
        }
        sample
    }
}

fn take<'a>(
    sample: &mut Vec<&'a ServerId>,
    servers: &'a [ServerId],
    seed: u64,
    most: usize,
    is_usable: impl Fn(&ServerId) -> bool,
) {
    if servers.is_empty() {
        return;
    }
    let first = (seed % servers.len() as u64) as usize;
    let turned = servers[first..].iter().chain(&servers[..first]).take(MAX_LOOKED_AT);
    sample.extend(turned.filter(|server| is_usable(server)).take(most));
}
