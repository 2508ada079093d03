//! Selection of servers for forwarded calls by least expected cost.
//!
//! The cost of a server is the expected time of the call there (from its queue, the average latency
//! of its service and its own latency ratio) plus penalties for recent failures and for distance.
//! Load reports are delayed and other instances choose at the same time, so a random jitter decides
//! between servers of nearly equal cost.

use std::collections::{BTreeMap, BTreeSet};

use super::decode_cost::{TYPICAL_REQUEST_TOKENS, contention_ms, generation_cost_ms};
use crate::config::ServerRole;
use crate::forward::{
    ChosenServer, EngineFilter, Forwarder, ModelCallSize, ModelPlan, PlanRefusal, ServerEntry,
    ServerLoad, ServerRun, ServerState, SoftwareVersion, VersionNeed,
};
use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::{Millis, Tokens};

/// Cost of one recent failure of a server: about the duration of a retried call.
const FAILURE_PENALTY_MS: f64 = 250.0;
/// Cost of a call that fails at an engine: about the time of another try with a prefill, if the
/// limit on retries allows one.
const ENGINE_FAILURE_COST_MS: f64 = 1_000.0;
/// Probability of a failed prefill above which the decode engine reads the prompt if no retry is
/// left for the run after a failure.
const MAX_UNBACKED_FAILURE_PROBABILITY: f64 = 0.1;
/// Cost that one recent timeout or failed connection adds to every server of the data centre.
/// Several in a row mean that the data centre is cut off.
const DATA_CENTRE_FAILURE_PENALTY_MS: f64 = 60.0;
/// Factor on the failure penalty for calls that must not be sent twice.
const NON_REPEATABLE_FAILURE_FACTOR: f64 = 4.0;
/// Cost of a server in another data centre: the round trip, and traffic that is billed.
const REMOTE_DATA_CENTRE_PENALTY_MS: f64 = 4.0;
/// Cost of a decode engine in another data centre than the prefill engine: the KV transfer takes
/// twice as long and is billed.
const REMOTE_KV_PENALTY_MS: f64 = 40.0;
/// Cost of an engine whose software version no other engine has: less than the wait at a full one.
const LONE_VERSION_PENALTY_MS: f64 = 400.0;
/// Range of the random jitter that is added to the cost.
const JITTER_RANGE_MS: f64 = 4.0;
/// Range of the jitter between servers that state their speed, as a share of the expected time.
const STATED_SPEED_JITTER_SHARE: f64 = 1.0;
/// Prompt processing time at a decode engine relative to a prefill engine: a decode engine has half
/// the speed and generates running answers in the same steps.
const DECODE_PREFILL_SLOWDOWN: f64 = 2.5;
/// Share of prefills that avoid the engines that would be converted to decode engines first.
const CONVERSION_AVOIDANCE_SHARE: f64 = 0.75;
/// Cost added to these engines for those prefills: about the duration of a typical prefill, so that
/// they are used once the others are known to be busy.
const CONVERSION_CANDIDATE_PENALTY_MS: f64 = 200.0;
/// Shortest retry delay given to a caller.
const MIN_RETRY_AFTER_MS: Millis = Millis(200);
/// Longest retry delay given to a caller, so that the retry still falls within its timeout.
const MAX_RETRY_AFTER_MS: Millis = Millis(3_000);

/// Where the KV cache of a prompt is computed.
#[derive(Clone, Copy, Debug)]
pub enum KvOrigin<'a> {
    /// At a prefill engine in this data centre.
    PrefillEngineIn(&'a DataCentreId),
    /// At the decode engine itself.
    DecodeEngine,
}

/// A server that accepts new calls, with its load as seen by this instance.
#[derive(Clone)]
pub(in crate::forward) struct Candidate<'a> {
    pub(in crate::forward) server: &'a ServerId,
    pub(in crate::forward) entry: &'a ServerEntry,
    pub(in crate::forward) load: ServerLoad,
}

impl Candidate<'_> {
    pub(in crate::forward) fn run(&self) -> ServerRun {
        ServerRun { server: self.server.clone(), started_ms: self.entry.started_ms }
    }
}

struct ScoredCandidate<'a> {
    candidate: Candidate<'a>,
    baseline_latency_ms: f64,
    predicted_latency_ms: f64,
    cost_ms: f64,
}

impl Forwarder {
    /// The servers of a service and role that accept new calls and that a filter allows.
    pub(in crate::forward) fn candidates<'f>(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        role: ServerRole,
        filter: impl Into<EngineFilter<'f>>,
    ) -> Vec<Candidate<'_>> {
        let filter = filter.into();
        let mut candidates = Vec::new();
        for (server, entry) in self.registry.servers(now_ms) {
            let is_match = entry.service == *service && entry.role == role;
            if !is_match || entry.state != ServerState::Ready {
                continue;
            }
            let run = ServerRun { server: server.clone(), started_ms: entry.started_ms };
            if !filter.allows(&run, entry.version.as_ref()) || self.leaving_runs().contains(&run) {
                continue;
            }
            let load = self.loads.get(&run).copied().unwrap_or_default();
            let is_refusing = role == ServerRole::Prefill && load.is_refusing_prefills(now_ms);
            let is_closed = self.closed_for_ms(now_ms, &run).is_some();
            if load.is_unreachable(now_ms) || is_refusing || is_closed {
                continue;
            }
            candidates.push(Candidate { server, entry, load });
        }
        candidates
    }

    /// Chooses the server for a plain call.
    pub fn choose_plain<'f>(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        is_repeatable: bool,
        filter: impl Into<EngineFilter<'f>>,
        random: u64,
    ) -> Option<ChosenServer> {
        let answer_ms = self.service_latency(service).answer_ms;
        let factor = if is_repeatable { 1.0 } else { NON_REPEATABLE_FAILURE_FACTOR };
        let candidates = self.candidates(now_ms, service, ServerRole::Plain, filter);
        let candidate_count = candidates.len();
        let best = self.lowest_cost_candidate(now_ms, candidates, factor, random, |candidate| {
            let calls = f64::from(candidate.load.running_calls())
                + candidate.load.other_instances_calls(now_ms);
            let max_calls = f64::from(candidate.entry.max_concurrent_calls.max(1));
            let queue_ratio = (calls + 1.0 - max_calls).max(0.0) / max_calls;
            // A server's latency rises with its load, so a less loaded one is preferred even below
            // the limit.
            let load_ratio = calls / max_calls;
            (answer_ms * (1.0 + queue_ratio + load_ratio), 0.0)
        })?;
        Some(self.chosen_server(best, Tokens::ZERO, candidate_count))
    }

    /// Chooses the engines of a model call, both of one software version, since the KV cache that
    /// one writes is of no use to another. Refuses the call if its first event is not expected within
    /// `remaining_ms`.
    pub fn plan_model(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        size: ModelCallSize,
        version: VersionNeed<'_>,
        remaining_ms: Millis,
        random: u64,
    ) -> Result<ModelPlan, PlanRefusal> {
        let filter = EngineFilter { excluded: &[], version };
        let decode_prefill_ms = Millis(self.decode_prefill_ms(service, size) as u64);
        let choose_prefill = |filter: EngineFilter<'_>| {
            self.choose_prefill(now_ms, service, size, filter, random)
                .filter(|prefill| prefill.predicted_latency_ms <= decode_prefill_ms)
                .filter(|prefill| self.is_backed(now_ms, prefill))
        };
        let choose_decode = |origin: KvOrigin<'_>, version: VersionNeed<'_>| {
            let filter = EngineFilter { excluded: &[], version };
            self.choose_decode(now_ms, service, size, origin, filter, random)
        };
        let prefill = choose_prefill(filter);
        let decode_for = |prefill: &ChosenServer| {
            let origin = KvOrigin::PrefillEngineIn(&prefill.data_centre);
            choose_decode(origin, VersionNeed::Same(prefill.version.as_ref()))
        };
        let pair = prefill.and_then(|prefill| Some((decode_for(&prefill)?, prefill)));
        let plan = match pair {
            Some((decode, prefill)) => ModelPlan { prefill: Some(prefill), decode },
            None => {
                let decode = choose_decode(KvOrigin::DecodeEngine, version);
                let decode = decode.ok_or(PlanRefusal::NoServer)?;
                let version = VersionNeed::Same(decode.version.as_ref());
                let prefill = choose_prefill(EngineFilter { excluded: &[], version });
                ModelPlan { prefill, decode }
            }
        };
        let predicted_latency_ms = plan.predicted_latency_ms();
        if predicted_latency_ms > remaining_ms {
            let retry_after_ms = predicted_latency_ms.saturating_sub(remaining_ms);
            let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
            return Err(PlanRefusal::DeadlineUnreachable { retry_after_ms });
        }
        Ok(plan)
    }

    /// Chooses the prefill engine for a prompt.
    pub fn choose_prefill<'f>(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        size: ModelCallSize,
        filter: impl Into<EngineFilter<'f>>,
        random: u64,
    ) -> Option<ChosenServer> {
        let token_ms = self.service_latency(service).prompt_token_ms;
        let candidates = self.candidates(now_ms, service, ServerRole::Prefill, filter);
        let candidate_count = candidates.len();
        let tokens = size.prompt_tokens;
        let prior = self.failure_probability(now_ms, service);
        let avoids_conversion_candidates =
            (random as f64) < CONVERSION_AVOIDANCE_SHARE * u64::MAX as f64;
        let best = self.lowest_cost_candidate(now_ms, candidates, 1.0, random, |candidate| {
            let other_tokens =
                candidate.load.other_instances_calls(now_ms) * TYPICAL_REQUEST_TOKENS;
            let queued = candidate.load.tokens() as f64 + other_tokens + tokens.0 as f64;
            let is_avoided =
                avoids_conversion_candidates && candidate.load.is_conversion_candidate();
            let avoidance_ms = if is_avoided { CONVERSION_CANDIDATE_PENALTY_MS } else { 0.0 };
            (queued * token_ms, avoidance_ms + failure_cost_ms(now_ms, candidate, prior))
        })?;
        Some(self.chosen_server(best, tokens, candidate_count))
    }

    /// Chooses the decode engine, preferably in the data centre that holds the KV cache.
    pub fn choose_decode<'f>(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        size: ModelCallSize,
        origin: KvOrigin<'_>,
        filter: impl Into<EngineFilter<'f>>,
        random: u64,
    ) -> Option<ChosenServer> {
        let prefill_ms = match origin {
            KvOrigin::PrefillEngineIn(_) => 0.0,
            KvOrigin::DecodeEngine => self.decode_prefill_ms(service, size),
        };
        let latency = self.service_latency(service);
        let first_event_ms = latency.first_event_ms + prefill_ms;
        let gap_target_ms = self.table().and_then(|table| table.gap_target_ms(service));
        let kv_tokens = self.kv_capacity(service);
        let candidates = self.candidates(now_ms, service, ServerRole::Decode, filter);
        let lone_engines = engines_of_lone_versions(&candidates);
        let candidate_count = candidates.len();
        let needed_tokens = size.expected_kv_tokens();
        let prior = self.failure_probability(now_ms, service);
        let best = self.lowest_cost_candidate(now_ms, candidates, 1.0, random, |candidate| {
            let is_remote =
                matches!(origin, KvOrigin::PrefillEngineIn(prefill_data_centre) if candidate.entry.data_centre != *prefill_data_centre);
            let remote_ms = if is_remote { REMOTE_KV_PENALTY_MS } else { 0.0 };
            let is_lone = lone_engines.contains(candidate.server);
            let lone_ms = if is_lone { LONE_VERSION_PENALTY_MS } else { 0.0 };
            let contention_ms = contention_ms(now_ms, candidate, needed_tokens, kv_tokens);
            let generation_ms =
                generation_cost_ms(now_ms, candidate, size, &latency, gap_target_ms);
            let penalty_ms =
                remote_ms + lone_ms + generation_ms + failure_cost_ms(now_ms, candidate, prior);
            (first_event_ms + contention_ms, penalty_ms)
        })?;
        Some(self.chosen_server(best, needed_tokens, candidate_count))
    }

    /// Whether a prefill is likely to succeed, or a retry is left for the run after a failed one.
    fn is_backed(&self, now_ms: Millis, prefill: &ChosenServer) -> bool {
        let prior = self.failure_probability(now_ms, &prefill.service);
        let load = self.loads.get(&prefill.run).copied().unwrap_or_default();
        load.failure_probability(now_ms, prior) < MAX_UNBACKED_FAILURE_PROBABILITY
            || self.allows_retry(now_ms, &prefill.service)
    }

    /// Time that a decode engine takes to process the prompt itself.
    fn decode_prefill_ms(&self, service: &ServiceId, size: ModelCallSize) -> f64 {
        let token_ms = self.service_latency(service).prompt_token_ms;
        size.prompt_tokens.0 as f64 * token_ms * DECODE_PREFILL_SLOWDOWN
    }

    fn kv_capacity(&self, service: &ServiceId) -> Option<Tokens> {
        let engine = self.table.as_ref()?.service(service)?.engine?;
        Some(engine.kv_tokens)
    }

    /// The candidate with the lowest cost. `estimate_ms` returns the expected time at average
    /// latency, and a penalty that is added unscaled.
    fn lowest_cost_candidate<'a>(
        &self,
        now_ms: Millis,
        candidates: Vec<Candidate<'a>>,
        failure_factor: f64,
        random: u64,
        estimate_ms: impl Fn(&Candidate<'a>) -> (f64, f64),
    ) -> Option<ScoredCandidate<'a>> {
        let mut best: Option<ScoredCandidate<'a>> = None;
        for (index, candidate) in candidates.into_iter().enumerate() {
            let (baseline_latency_ms, extra_ms) = estimate_ms(&candidate);
            let predicted_latency_ms =
                baseline_latency_ms * candidate.load.time_ratio(now_ms, baseline_latency_ms);
            let failure_ms =
                candidate.load.failure_score(now_ms) * FAILURE_PENALTY_MS * failure_factor;
            let is_remote = candidate.entry.data_centre != self.settings.data_centre;
            let remote_ms = if is_remote { REMOTE_DATA_CENTRE_PENALTY_MS } else { 0.0 };
            let data_centre = &candidate.entry.data_centre;
            let failures = self.data_centre_failures.get(data_centre);
            let data_centre_failure_ms =
                failures.map_or(0.0, |it| it.value(now_ms)) * DATA_CENTRE_FAILURE_PENALTY_MS;
            let cost_ms = predicted_latency_ms
                + extra_ms
                + failure_ms
                + remote_ms
                + data_centre_failure_ms
                + jitter_share(random, index) * jitter_range_ms(&candidate, baseline_latency_ms);
            if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
                best = Some(ScoredCandidate {
                    candidate,
                    baseline_latency_ms,
                    predicted_latency_ms,
                    cost_ms,
                });
            }
        }
        best
    }

    /// The candidate as a chosen server whose predictions are zero, for control calls such as
    /// reports and orders.
    pub(in crate::forward) fn chosen_server_without_prediction(
        &self,
        candidate: Candidate<'_>,
    ) -> ChosenServer {
        let scored = ScoredCandidate {
            candidate,
            baseline_latency_ms: 0.0,
            predicted_latency_ms: 0.0,
            cost_ms: 0.0,
        };
        self.chosen_server(scored, Tokens::ZERO, 1)
    }

    fn chosen_server(
        &self,
        scored: ScoredCandidate<'_>,
        tokens: Tokens,
        candidate_count: usize,
    ) -> ChosenServer {
        let run = scored.candidate.run();
        let entry = scored.candidate.entry;
        ChosenServer {
            run,
            service: entry.service.clone(),
            address: entry.address,
            data_centre: entry.data_centre.clone(),
            version: entry.version.clone(),
            tokens,
            baseline_latency_ms: Millis(scored.baseline_latency_ms as u64),
            predicted_latency_ms: Millis(scored.predicted_latency_ms as u64),
            candidate_count,
            registry_revision: self.registry.revision(),
        }
    }
}

/// Engines that are the only ones of their software version while other versions have several: a
/// stream that begins there can't go on anywhere else.
fn engines_of_lone_versions(candidates: &[Candidate<'_>]) -> BTreeSet<ServerId> {
    let mut by_version: BTreeMap<Option<&SoftwareVersion>, Vec<&ServerId>> = BTreeMap::new();
    for candidate in candidates {
        by_version.entry(candidate.entry.version.as_ref()).or_default().push(candidate.server);
    }
    if by_version.values().all(|servers| servers.len() == 1) {
        return BTreeSet::new();
    }
    let lone = by_version.into_values().filter(|servers| servers.len() == 1);
    lone.flatten().cloned().collect()
}

/// Expected cost of a failure at an engine. Engines that answered lately are preferred to unknown
/// ones while others of the service fail.
fn failure_cost_ms(now_ms: Millis, candidate: &Candidate<'_>, prior: f64) -> f64 {
    candidate.load.failure_probability(now_ms, prior) * ENGINE_FAILURE_COST_MS
}

/// Range of the random part of a candidate's cost. The instances know the same lasting speeds, so
/// that those of servers that state theirs need more of it to spread the calls.
fn jitter_range_ms(candidate: &Candidate<'_>, baseline_latency_ms: f64) -> f64 {
    if !candidate.load.speed().is_stated() {
        return JITTER_RANGE_MS;
    }
    JITTER_RANGE_MS.max(baseline_latency_ms * STATED_SPEED_JITTER_SHARE)
}

/// Random share of the jitter: hashes `random` with the candidate index, so that each candidate
/// gets a different one.
fn jitter_share(random: u64, index: usize) -> f64 {
    let mixed = random.wrapping_add(index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 40) as f64 / (1u64 << 24) as f64
}
