//! Choice of the engines that are to change their role.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
        if decode.is_empty() || spare == 0 || take_first(&mut by_place(prefill.clone())).is_none() {
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
        take_first(&mut by_place(prefill)).map(|engine| self.bare_choice(engine))
    }

    /// Marks the engines that would change their role first, so that most prefills leave them alone:
    /// an engine refuses prefills while it changes, and the other instances don't know of it.
    pub(super) fn mark_spare_engines(&mut self, now_ms: Millis) {
        let revision = self.registry.revision();
        if self.spare_revision == Some(revision) {
            return;
        }
        self.spare_revision = Some(revision);
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
    fn spare_engines(&self, now_ms: Millis, service: &ServiceId) -> Vec<ServerRun> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, &[]);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, &[]).len();
        let count = RoleLoad::spare_engines(prefill.len(), prefill.len() + decode);
        let mut places = by_place(prefill);
        (0..count).map_while(|_| take_first(&mut places)).map(|engine| engine.run()).collect()
    }
}

/// Engines by data centre, in the order of their names.
type Places<'a> = BTreeMap<&'a DataCentreId, VecDeque<Candidate<'a>>>;

fn by_place(engines: Vec<Candidate<'_>>) -> Places<'_> {
    let mut places = Places::new();
    for engine in engines {
        places.entry(&engine.entry.data_centre).or_default().push_back(engine);
    }
    places
}

/// Takes the prefill engine that changes its role first: one of the data centre that has most. One
/// stays in each data centre. Instances with the same registry name the same engine.
fn take_first<'a>(places: &mut Places<'a>) -> Option<Candidate<'a>> {
    let largest = places.values_mut().max_by_key(|engines| engines.len())?;
    if largest.len() > 1 { largest.pop_front() } else { None }
}

/// Some of the engines, from a drawn place on.
fn drawn(engines: Vec<Candidate<'_>>, draw: u64) -> impl Iterator<Item = Candidate<'_>> {
    let start = (draw % engines.len().max(1) as u64) as usize;
    let count = engines.len().min(ASKED_EACH);
    let mut engines = engines;
    engines.rotate_left(start);
    engines.into_iter().take(count)
}
