//! Selects the prefill engines to convert to decode engines.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::config::ServerRole;
use crate::forward::selection::server_selection::Candidate;
use crate::forward::{ChosenServer, EngineReport, Forwarder, RoleLoad, ServerRun};
use crate::ids::{DataCentreId, ServiceId};
use crate::units::Millis;

/// Limit on the engines of each role that are asked for a load report in one round: the mean of a
/// dozen reports is enough to tell a full pool from a half idle one.
const MAX_POLLED_PER_ROLE: usize = 12;
/// Data centres that keep a prefill engine, so that prompts are still processed after the loss of
/// one.
const MIN_PREFILL_DATA_CENTRES: usize = 2;

impl Forwarder {
    /// Engines to ask for a load report before a conversion; empty if no engine could be converted.
    /// `changing` are the engines that were recently ordered to change.
    pub fn engines_to_poll(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
        random: u64,
    ) -> Vec<ChosenServer> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, changing);
        let engine_count = prefill.len() + decode.len() + changing.len();
        let convertible = RoleLoad::max_convertible_engines(prefill.len(), engine_count);
        if decode.is_empty()
            || convertible == 0
            || take_next_to_convert(&mut by_data_centre(prefill.clone())).is_none()
        {
            return Vec::new();
        }
        let polled = pick_random(prefill, random).chain(pick_random(decode, random));
        polled.map(|candidate| self.chosen_server_without_prediction(candidate)).collect()
    }

    /// The load by role, extrapolated from the reports of some engines; `None` if the reports do
    /// not cover both roles.
    pub fn role_load(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
        reports: &BTreeMap<ServerRun, EngineReport>,
    ) -> Option<RoleLoad> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        let decode = self.candidates(now_ms, service, ServerRole::Decode, changing);
        let active_reports = |candidates: &[Candidate<'_>]| -> Vec<EngineReport> {
            let reported = candidates.iter().filter_map(|it| reports.get(&it.run()).copied());
            reported.filter(|report| !report.is_changing).collect()
        };
        let (prefill_reports, decode_reports) = (active_reports(&prefill), active_reports(&decode));
        // Engines may report any numbers, whose sums may exceed the type.
        let kv_totals = decode_reports.iter().map(|report| report.kv_total.0);
        let kv_total = kv_totals.fold(0, u64::saturating_add);
        if prefill_reports.is_empty() || kv_total == 0 {
            return None;
        }
        let requests = prefill_reports.iter().map(|report| report.requests);
        let requests = requests.fold(0, u32::saturating_add);
        let kv_used = decode_reports.iter().map(|report| report.kv_used.0);
        let kv_used = kv_used.fold(0, u64::saturating_add);
        Some(RoleLoad {
            prefill_engine_count: prefill.len(),
            engine_count: prefill.len() + decode.len() + changing.len(),
            mean_prefill_requests: f64::from(requests) / prefill_reports.len() as f64,
            decode_fill: kv_used as f64 / kv_total as f64,
        })
    }

    /// The prefill engines that may be converted to decode engines, whatever the load; the first
    /// ones first. Instances with the same registry get the same engines.
    pub fn convertible_engines(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
    ) -> Vec<ChosenServer> {
        let prefill = self.candidates(now_ms, service, ServerRole::Prefill, changing);
        let decode_count = self.candidates(now_ms, service, ServerRole::Decode, changing).len();
        let engine_count = prefill.len() + decode_count + changing.len();
        let count = RoleLoad::max_convertible_engines(prefill.len(), engine_count);
        let mut engines_by_data_centre = by_data_centre(prefill);
        (0..count)
            .map_while(|_| take_next_to_convert(&mut engines_by_data_centre))
            .map(|engine| self.chosen_server_without_prediction(engine))
            .collect()
    }

    /// Number of the engines in one orderer's part that it may convert. Others convert engines of
    /// their parts at the same time, so that only a minimum in each part keeps that of the whole.
    pub fn convertible_in_part(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        changing: &[ServerRun],
        is_in_part: impl Fn(&ServerRun) -> bool,
    ) -> usize {
        let count = |role| {
            let candidates = self.candidates(now_ms, service, role, changing);
            candidates.iter().filter(|candidate| is_in_part(&candidate.run())).count()
        };
        let prefill_count = count(ServerRole::Prefill);
        let engine_count = prefill_count + count(ServerRole::Decode) + changing.len();
        RoleLoad::max_convertible_in_part(prefill_count, engine_count)
    }

    /// Marks the engines that would be converted first, so that most prefills avoid them: an engine
    /// refuses prefills during its change, and other instances do not know of the change.
    pub(in crate::forward) fn mark_conversion_candidates(&mut self, now_ms: Millis) {
        let revision = self.registry.revision();
        if self.conversion_candidates_revision == Some(revision) {
            return;
        }
        self.conversion_candidates_revision = Some(revision);
        let services = self.table.iter().flat_map(|table| table.services());
        let models = services.filter(|service| service.engine.is_some());
        let convertible =
            models.flat_map(|service| self.convertible_engines(now_ms, &service.name, &[]));
        let convertible: BTreeSet<_> = convertible.map(|engine| engine.run).collect();
        for (run, load) in &mut self.loads {
            load.set_conversion_candidate(convertible.contains(run));
        }
        for run in convertible {
            self.loads.entry(run).or_default().set_conversion_candidate(true);
        }
    }
}

/// Engines of each data centre, ordered by name.
type EnginesByDataCentre<'a> = BTreeMap<&'a DataCentreId, VecDeque<Candidate<'a>>>;

fn by_data_centre(engines: Vec<Candidate<'_>>) -> EnginesByDataCentre<'_> {
    let mut engines_by_data_centre = EnginesByDataCentre::new();
    for engine in engines {
        engines_by_data_centre.entry(&engine.entry.data_centre).or_default().push_back(engine);
    }
    engines_by_data_centre
}

/// Removes and returns the engine to convert first: one of the data centre that has the most
/// prefill engines. The last engine of a data centre is taken only if enough others have one.
/// Instances with the same registry take the same engine.
fn take_next_to_convert<'a>(
    engines_by_data_centre: &mut EnginesByDataCentre<'a>,
) -> Option<Candidate<'a>> {
    let data_centre_count = engines_by_data_centre.values().filter(|it| !it.is_empty()).count();
    let largest = engines_by_data_centre.values_mut().max_by_key(|engines| engines.len())?;
    let may_take_last = data_centre_count > MIN_PREFILL_DATA_CENTRES;
    if largest.len() > 1 || may_take_last { largest.pop_front() } else { None }
}

/// At most [`MAX_POLLED_PER_ROLE`] consecutive engines, from a random position on.
fn pick_random(engines: Vec<Candidate<'_>>, random: u64) -> impl Iterator<Item = Candidate<'_>> {
    let start = (random % engines.len().max(1) as u64) as usize;
    let count = engines.len().min(MAX_POLLED_PER_ROLE);
    let mut engines = engines;
    engines.rotate_left(start);
    engines.into_iter().take(count)
}
