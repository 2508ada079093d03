//! Choice of servers for calls that are forwarded.
//!
//! The expected time of a call at each server is compared: what the server's queue takes at the
//! pace of its service, times how slow this server has been, and an allowance for recent failures.
//! Reports of servers are late and other instances choose at the same time, so small differences
//! are decided by a random draw.

use super::{
    Choice, Forwarder, ModelPlan, PlanRefusal, Prompt, ServerEntry, ServerLoad, ServerRun,
    ServerState,
};
use crate::config::ServerRole;
use crate::ids::{DataCentreId, ServerId, ServiceId};
use crate::units::{Millis, Tokens};

/// Time that one recent failure counts for in the choice of a server: about that of a call sent
/// again.
const FAILURE_MS: f64 = 250.0;
/// Time that one recent silence of any server counts for at the others of its data centre: several
/// in a row mean that the data centre is cut off.
const SILENT_DATA_CENTRE_MS: f64 = 60.0;
/// Factor on failures for calls that can't be sent again.
const AT_MOST_ONCE_FACTOR: f64 = 4.0;
/// Time that another data centre counts for: two ways, and bytes that are paid for.
const OTHER_DATA_CENTRE_MS: f64 = 4.0;
/// Time that a decode engine in another data centre than the prefill engine counts for: KV caches
/// take twice as long there and are paid for.
const OTHER_KV_DATA_CENTRE_MS: f64 = 40.0;
/// Range of the random draw that is added to the expected time.
const DRAW_RANGE_MS: f64 = 4.0;
/// Time that one more request in a batch adds to the first events and gaps of an engine.
const BATCH_MS: f64 = 3.0;
/// Tokens of a request of which only its count is known.
const USUAL_TOKENS: f64 = 4_000.0;
/// Part of an engine's memory that is filled before it counts as full; the rest is for requests
/// that other instances have just sent.
const MEMORY_FILL: f64 = 0.9;
/// Time that a request waits for memory on a full engine: about that of one answer.
const FULL_ENGINE_MS: f64 = 600.0;
/// How much slower a decode engine reads a prompt than a prefill engine: half the speed, and its
/// steps are shared with running answers.
const DECODE_READS_SLOWER: f64 = 2.5;
/// Part of the prefills that leave engines alone which change their role first.
const SPARING_PART: f64 = 0.75;
/// Time that such an engine counts for then: about that of a usual prefill, so that it is used
/// once the others are known to be busy.
const SPARE_ENGINE_MS: f64 = 200.0;
/// Shortest time named to a caller that is to come back.
const MIN_RETRY_AFTER_MS: Millis = Millis(200);
/// Longest time named to a caller that is to come back, so that it stays within its patience.
const MAX_RETRY_AFTER_MS: Millis = Millis(3_000);

/// Where a decode engine has the KV cache of a prompt from.
#[derive(Clone, Copy, Debug)]
pub enum KvOrigin<'a> {
    /// From a prefill engine in this data centre.
    At(&'a DataCentreId),
    /// It reads the prompt itself.
    Own,
}

/// A server that takes new work.
#[derive(Clone)]
pub(super) struct Candidate<'a> {
    pub(super) server: &'a ServerId,
    pub(super) entry: &'a ServerEntry,
    pub(super) load: ServerLoad,
}

impl Candidate<'_> {
    pub(super) fn run(&self) -> ServerRun {
        ServerRun { server: self.server.clone(), started_ms: self.entry.started_ms }
    }
}

struct Rated<'a> {
    candidate: Candidate<'a>,
    normal_ms: f64,
    predicted_ms: f64,
    cost_ms: f64,
}

impl Forwarder {
    /// Every server of a service and role that takes new work, but for those in `tried`.
    pub(super) fn candidates(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        role: ServerRole,
        tried: &[ServerRun],
    ) -> Vec<Candidate<'_>> {
        let mut candidates = Vec::new();
        for (server, entry) in self.registry.servers(now_ms) {
            let is_match = entry.service == *service && entry.role == role;
            if !is_match || entry.state != ServerState::Ready {
                continue;
            }
            let run = ServerRun { server: server.clone(), started_ms: entry.started_ms };
            if tried.contains(&run) {
                continue;
            }
            let load = self.loads.get(&run).copied().unwrap_or_default();
            let is_refusing = role == ServerRole::Prefill && load.refuses_prefills(now_ms);
            if load.is_unreached(now_ms) || is_refusing {
                continue;
            }
            candidates.push(Candidate { server, entry, load });
        }
        candidates
    }

    /// The server for a plain call.
    pub fn choose_plain(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        is_repeatable: bool,
        tried: &[ServerRun],
        draw: u64,
    ) -> Option<Choice> {
        let answer_ms = self.pace(service).answer_ms;
        let factor = if is_repeatable { 1.0 } else { AT_MOST_ONCE_FACTOR };
        let candidates = self.candidates(now_ms, service, ServerRole::Plain, tried);
        let looked_at = candidates.len();
        let best = self.best(now_ms, candidates, factor, draw, |candidate| {
            let calls = f64::from(candidate.load.calls()) + candidate.load.others(now_ms);
            let slots = f64::from(candidate.entry.slots.max(1));
            let waiting = (calls + 1.0 - slots).max(0.0) / slots;
            // Servers slow down while they fill up, so that the emptier one is preferred.
            let crowding = calls / slots;
            (answer_ms * (1.0 + waiting + crowding), 0.0)
        })?;
        Some(self.choice(best, Tokens::ZERO, looked_at))
    }

    /// Where a model call goes, so that its first event comes within `left_ms`.
    pub fn plan_model(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        prompt: Prompt,
        left_ms: Millis,
        draw: u64,
    ) -> Result<ModelPlan, PlanRefusal> {
        let own_read_ms = Millis(self.own_read_ms(service, prompt) as u64);
        let prefill = self
            .choose_prefill(now_ms, service, prompt, &[], draw)
            .filter(|prefill| prefill.predicted_ms <= own_read_ms);
        let origin = prefill.as_ref().map_or(KvOrigin::Own, |it| KvOrigin::At(&it.data_centre));
        let decode = self
            .choose_decode(now_ms, service, prompt, origin, &[], draw)
            .ok_or(PlanRefusal::NoServer)?;
        let plan = ModelPlan { prefill, decode };
        let predicted_ms = plan.predicted_ms();
        if predicted_ms > left_ms {
            let retry_after_ms = predicted_ms.saturating_sub(left_ms);
            let retry_after_ms = retry_after_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
            return Err(PlanRefusal::DeadlineUnreachable { retry_after_ms });
        }
        Ok(plan)
    }

    /// The prefill engine for a prompt.
    pub fn choose_prefill(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        prompt: Prompt,
        tried: &[ServerRun],
        draw: u64,
    ) -> Option<Choice> {
        let token_ms = self.pace(service).prompt_token_ms;
        let candidates = self.candidates(now_ms, service, ServerRole::Prefill, tried);
        let looked_at = candidates.len();
        let tokens = prompt.prompt_tokens;
        let is_sparing = (draw as f64) < SPARING_PART * u64::MAX as f64;
        let best = self.best(now_ms, candidates, 1.0, draw, |candidate| {
            let others = candidate.load.others(now_ms) * USUAL_TOKENS;
            let queued = candidate.load.tokens() as f64 + others + tokens.0 as f64;
            let is_spared = is_sparing && candidate.load.is_spare();
            (queued * token_ms, if is_spared { SPARE_ENGINE_MS } else { 0.0 })
        })?;
        Some(self.choice(best, tokens, looked_at))
    }

    /// The decode engine for a prompt, best near its KV cache.
    pub fn choose_decode(
        &self,
        now_ms: Millis,
        service: &ServiceId,
        prompt: Prompt,
        origin: KvOrigin<'_>,
        tried: &[ServerRun],
        draw: u64,
    ) -> Option<Choice> {
        let read_ms = match origin {
            KvOrigin::At(_) => 0.0,
            KvOrigin::Own => self.own_read_ms(service, prompt),
        };
        let first_event_ms = self.pace(service).first_event_ms + read_ms;
        let kv_tokens = self.kv_tokens(service);
        let candidates = self.candidates(now_ms, service, ServerRole::Decode, tried);
        let looked_at = candidates.len();
        let needed = prompt.kv_tokens();
        let best = self.best(now_ms, candidates, 1.0, draw, |candidate| {
            let is_far =
                matches!(origin, KvOrigin::At(near) if candidate.entry.data_centre != *near);
            let far_ms = if is_far { OTHER_KV_DATA_CENTRE_MS } else { 0.0 };
            (first_event_ms + crowding_ms(now_ms, candidate, needed, kv_tokens), far_ms)
        })?;
        Some(self.choice(best, needed, looked_at))
    }

    /// Time in which a decode engine reads a prompt itself.
    fn own_read_ms(&self, service: &ServiceId, prompt: Prompt) -> f64 {
        let token_ms = self.pace(service).prompt_token_ms;
        prompt.prompt_tokens.0 as f64 * token_ms * DECODE_READS_SLOWER
    }

    fn kv_tokens(&self, service: &ServiceId) -> Option<Tokens> {
        let engine = self.table.as_ref()?.service(service)?.engine?;
        Some(engine.kv_tokens)
    }

    /// The candidate of least cost; `rate` tells the expected time at normal pace and what counts
    /// in addition.
    fn best<'a>(
        &self,
        now_ms: Millis,
        candidates: Vec<Candidate<'a>>,
        failure_factor: f64,
        draw: u64,
        rate: impl Fn(&Candidate<'a>) -> (f64, f64),
    ) -> Option<Rated<'a>> {
        let mut best: Option<Rated<'a>> = None;
        for (index, candidate) in candidates.into_iter().enumerate() {
            let (normal_ms, extra_ms) = rate(&candidate);
            let predicted_ms = normal_ms * candidate.load.pace(now_ms);
            let failed_ms = candidate.load.failure_score(now_ms) * FAILURE_MS * failure_factor;
            let is_far = candidate.entry.data_centre != self.settings.data_centre;
            let far_ms = if is_far { OTHER_DATA_CENTRE_MS } else { 0.0 };
            let place = &candidate.entry.data_centre;
            let failures = self.data_centre_failures.get(place);
            let silent_ms = failures.map_or(0.0, |it| it.value(now_ms)) * SILENT_DATA_CENTRE_MS;
            let cost_ms =
                predicted_ms + extra_ms + failed_ms + far_ms + silent_ms + drawn_ms(draw, index);
            if best.as_ref().is_none_or(|best| cost_ms < best.cost_ms) {
                best = Some(Rated { candidate, normal_ms, predicted_ms, cost_ms });
            }
        }
        best
    }

    /// A choice without a prediction.
    pub(super) fn bare_choice(&self, candidate: Candidate<'_>) -> Choice {
        let rated = Rated { candidate, normal_ms: 0.0, predicted_ms: 0.0, cost_ms: 0.0 };
        self.choice(rated, Tokens::ZERO, 1)
    }

    fn choice(&self, rated: Rated<'_>, tokens: Tokens, looked_at: usize) -> Choice {
        let run = rated.candidate.run();
        let entry = rated.candidate.entry;
        Choice {
            run,
            service: entry.service.clone(),
            address: entry.address,
            data_centre: entry.data_centre.clone(),
            tokens,
            normal_ms: Millis(rated.normal_ms as u64),
            predicted_ms: Millis(rated.predicted_ms as u64),
            looked_at,
            registry_revision: self.registry.revision(),
        }
    }
}

/// Time that the other requests of a decode engine add.
fn crowding_ms(
    now_ms: Millis,
    candidate: &Candidate<'_>,
    needed: Tokens,
    kv_tokens: Option<Tokens>,
) -> f64 {
    let others = candidate.load.others(now_ms);
    let batch = f64::from(candidate.load.calls()) + others;
    let filled = candidate.load.tokens() as f64 + others * USUAL_TOKENS + needed.0 as f64;
    let memory = kv_tokens.map_or(f64::INFINITY, |tokens| tokens.0 as f64 * MEMORY_FILL);
    let is_full = candidate.load.is_full(now_ms);
    let waits =
        if is_full || filled > memory { FULL_ENGINE_MS * (filled / memory).max(1.0) } else { 0.0 };
    batch * BATCH_MS + waits
}

/// The random part of a candidate's cost, another for each candidate of a draw.
fn drawn_ms(draw: u64, index: usize) -> f64 {
    let mixed = draw.wrapping_add(index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let part = (mixed >> 40) as f64 / (1u64 << 24) as f64;
    part * DRAW_RANGE_MS
}
