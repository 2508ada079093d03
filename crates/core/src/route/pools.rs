//! The engines of each model by role and data centre, computed once per configuration version and,
//! where roles follow a schedule, once per minute.

use std::collections::BTreeMap;

use crate::config::Configuration;
use crate::config::document::ServerRole;
use crate::ids::{ConfigVersion, DataCentreId, ServerId};
use crate::units::{BytesPerSecond, WallMillis};
use crate::weights::Weights;

const MS_PER_MINUTE: u64 = 60_000;
/// Limit on the usable engines of the preferred data centre that are compared for one choice; half
/// of it applies to each other data centre.
const MAX_SAMPLED_PER_DATA_CENTRE: usize = 8;
/// Limit on the engines of each data centre that are checked for being usable.
const MAX_SCANNED_PER_DATA_CENTRE: usize = 64;

/// The engines of one role that serve a model version or an adapter.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    by_data_centre: BTreeMap<DataCentreId, Vec<ServerId>>,
    len: usize,
}

/// The pools of all models and adapters, with the rates of the links between data centres.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    version: Option<ConfigVersion>,
    minute: Option<u64>,
    by_weights: BTreeMap<Weights, BTreeMap<ServerRole, Pool>>,
    link_rates: BTreeMap<DataCentreId, BTreeMap<DataCentreId, BytesPerSecond>>,
}

impl Pools {
    /// Recomputes the pools if the configuration version has changed, and each minute if roles
    /// follow a schedule.
    pub fn refresh(&mut self, configuration: &Configuration, wall_ms: WallMillis) {
        let minute = Some(wall_ms.0 / MS_PER_MINUTE);
        let is_current = self.version == Some(configuration.version);
        if is_current && (self.minute.is_none() || self.minute == minute) {
            return;
        }
        let mut servers = configuration.servers.values();
        let has_schedule = servers.any(|server| server.role_schedule.is_some());
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
                pool.by_data_centre.entry(server.data_centre.clone()).or_default().push(id.clone());
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

    /// The configured rate of the link; `None` if the configuration does not name it.
    pub fn link_rate(&self, from: &DataCentreId, to: &DataCentreId) -> Option<BytesPerSecond> {
        self.link_rates.get(from)?.get(to).copied()
    }

    /// The engines of one role that serve a version or an adapter.
    pub fn pool(&self, weights: &Weights, role: ServerRole) -> Option<&Pool> {
        self.by_weights.get(weights)?.get(&role)
    }
}

impl Pool {
    /// Number of engines in all data centres.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the pool has no engines.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Usable engines to choose from, those of `data_centre` first: all of a small pool, else a
    /// sample that depends on `seed`, so that instances do not all turn to the same engine.
    pub fn sample(
        &self,
        data_centre: &DataCentreId,
        seed: u64,
        is_usable: impl Fn(&ServerId) -> bool,
    ) -> Vec<&ServerId> {
        let mut sample = Vec::new();
        let preferred = self.by_data_centre.get(data_centre).map_or(&[][..], Vec::as_slice);
        add_usable(&mut sample, preferred, seed, MAX_SAMPLED_PER_DATA_CENTRE, &is_usable);
        let others = self.by_data_centre.iter().filter(|(other, _)| *other != data_centre);
        for (_, servers) in others {
            add_usable(&mut sample, servers, seed, MAX_SAMPLED_PER_DATA_CENTRE / 2, &is_usable);
        }
        sample
    }
}

fn add_usable<'a>(
    sample: &mut Vec<&'a ServerId>,
    servers: &'a [ServerId],
    seed: u64,
    limit: usize,
    is_usable: impl Fn(&ServerId) -> bool,
) {
    if servers.is_empty() {
        return;
    }
    let first = (seed % servers.len() as u64) as usize;
    let rotated =
        servers[first..].iter().chain(&servers[..first]).take(MAX_SCANNED_PER_DATA_CENTRE);
    sample.extend(rotated.filter(|server| is_usable(server)).take(limit));
}
