//! Choice of the engines that are to change their role.

use std::collections::{BTreeMap, BTreeSet};

use super::choosing::Candidate;
use super::{Choice, EngineReport, Forwarder, RoleLoad, ServerRun};
use crate::config::ServerRole;
use crate::ids::{DataCentreId, ServiceId};
use crate::units::Millis;

/// Engines of each role that are asked for a report in one round: the mean of a dozen tells a full
/// pool from one that is half idle.
const ASKED_EACH: usize = 12;

impl Forwarder {
    /// Engines to ask for a report before engines of a service change their role; none where no
    /// engine could. `changing` are those that were ordered to change a moment ago.
    pub fn engines_to_ask(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
        draw: u64,
    ) -> Vec<Choice> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, changing);
        let engines = prefill.len() + decode.len() + changing.len();
        let spare = RoleLoad::spare_engines(prefill.len(), engines);
        if decode.is_empty() || spare == 0 || first_to_change(&prefill).is_none() {
            return Vec::new();
        }
        let asked = drawn(prefill, draw).chain(drawn(decode, draw));
        asked.map(|candidate| self.bare_choice(candidate)).collect()
    }

    /// The load of the engines of a service by role, from the reports of some of them.
    pub fn role_load(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
        reports: &BTreeMap<ServerRun, EngineReport>,
    ) -> Option<RoleLoad> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, changing);
        let of = |candidates: &[Candidate<'_>]| -> Vec<EngineReport> {
            let reported = candidates.iter().filter_map(|it| reports.get(&it.run()).copied());
            reported.filter(|report| !report.is_changing).collect()
        };
        let (readers, writers) = (of(&prefill), of(&decode));
        let kv_total: u64 = writers.iter().map(|report| report.kv_total.0).sum();
        if readers.is_empty() || kv_total == 0 {
            return None;
        }
        let requests: u32 = readers.iter().map(|report| report.requests).sum();
        let kv_used: u64 = writers.iter().map(|report| report.kv_used.0).sum();
        Some(RoleLoad {
            prefill_engines: prefill.len(),
            engines: prefill.len() + decode.len() + changing.len(),
            prefill_requests: f64::from(requests) / readers.len() as f64,
            decode_fill: kv_used as f64 / kv_total as f64,
        })
    }

    /// The prefill engine that should become a decode engine next.
    pub fn engine_to_shift(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
    ) -> Option<Choice> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        first_to_change(&prefill).map(|engine| self.bare_choice(engine.clone()))
    }

    /// Marks the engines that would change their role first, so that most prefills leave them alone:
    /// an engine refuses prefills while it changes, and the other instances don't know of it.
    pub(super) fn mark_spare_engines(&mut self, now_ms: Millis) {
        let services = self.table.iter().flat_map(|table| table.services());
        let models = services.filter(|service| service.engine.is_some());
        let spare: BTreeSet<_> =
            models.flat_map(|service| self.spare_engines(now_ms, &service.name)).collect();
        for (run, load) in &mut self.loads {
            load.set_spare(spare.contains(run));
        }
        for run in spare {
            self.loads.entry(run).or_default().set_spare(true);
        }
    }

    /// The engines of a service that may leave prefill, whatever the load is.
    fn spare_engines(&self, now_ms: Millis, service: &ServiceId) -> BTreeSet<ServerRun> {
        let mut prefill = self.candidates(now_ms, service, ServerRole::Prefill, &[]);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, &[]).len();
        let count = RoleLoad::spare_engines(prefill.len(), prefill.len() + decode);
        let mut spare = BTreeSet::new();
        for _ in 0..count {
            let Some(run) = first_to_change(&prefill).map(Candidate::run) else {
                break;
            };
            prefill.retain(|engine| engine.run() != run);
            spare.insert(run);
        }
        spare
    }
}

/// The prefill engine that changes its role first: one of the data centre that has most. One stays
/// in each data centre. Instances with the same registry name the same engine.
fn first_to_change<'a, 'b>(prefill: &'b [Candidate<'a>]) -> Option<&'b Candidate<'a>> {
    let mut counts: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
    for engine in prefill {
        *counts.entry(&engine.entry.data_centre).or_default() += 1;
    }
    let (place, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    if count < 2 {
        return None;
    }
    let engines = prefill.iter().filter(|engine| engine.entry.data_centre == *place);
    engines.min_by_key(|engine| engine.server)
}

/// Some of the engines, from a drawn place on.
fn drawn(engines: Vec<Candidate<'_>>, draw: u64) -> impl Iterator<Item = Candidate<'_>> {
    let start = (draw % engines.len().max(1) as u64) as usize;
    let count = engines.len().min(ASKED_EACH);
    let mut engines = engines;
    engines.rotate_left(start);
    engines.into_iter().take(count)
}
