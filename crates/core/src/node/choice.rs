//! Choice of engines for a model request: predictions from estimates, beliefs and loads.

use crate::admission::state::KnownBacklog;
use crate::config::document::ServerRole;
use crate::estimate::uncontended_transfer_ms;
use crate::ids::{DataCentreId, RequestId, ServerId};
use crate::membership::rendezvous::stable_hash;
use crate::node::Node;
use crate::request::{Flow, Stage};
use crate::route::{RankedServer, lowest_cost};
use crate::units::{BytesPerSecond, KvPieces, Millis, Streams, Tokens};

/// Age at which a known load no longer counts.
const LOAD_LIFE_MS: Millis = Millis(3_000);
/// Time for which the result of a prefill is counted on.
pub(super) const RESULT_LIFE_MS: Millis = Millis(800);
/// Cost of leaving this instance's data centre.
const FAR_COST_MS: f64 = 20.0;
/// Cost that puts an engine behind all that stand near.
const FAR_LAST_COST: f64 = 1e12;
/// Streams up to which an engine is tried whatever its learned token rate, as a way back.
const PROBE_STREAMS: Streams = Streams(1);
/// Batch for which the first token after a transfer is predicted.
const USUAL_BATCH: Streams = Streams(10);

/// An engine that was chosen.
#[derive(Clone, Debug)]
pub(super) struct Chosen {
    pub server: ServerId,
    pub cost: f64,
    pub looked_at: usize,
}

impl Node {
    /// The prefill engine with the earliest predicted end, its wait included.
    pub(super) fn choose_prefill(&self, flow: &Flow) -> Option<Chosen> {
        let mut engines = self.usable_engines(flow, ServerRole::Prefill);
        engines.retain(|server| !flow.refused.contains(*server));
        let looked_at = engines.len();
        let mechanisms = self.admission.mechanisms;
        let choices = engines.into_iter().map(|server| {
            let is_far = !self.is_near(server);
            let cost = if mechanisms.has_slots {
                let wait_ms = self.backlog_ms(server).0 as f64;
                let work_tokens = self.work_tokens(flow, server);
                let work_ms = self.admission.estimates.prefill_ms(server, work_tokens).0 as f64;
                wait_ms + work_ms + if is_far { FAR_COST_MS } else { 0.0 }
            } else {
                let queued = self.loads.get(server).map_or(0, |known| known.load.queued_tokens.0);
                queued as f64 + if is_far { FAR_LAST_COST } else { 0.0 }
            };
            RankedServer { server, cost }
        });
        let best = lowest_cost(choices, self.instance_hash())?;
        Some(Chosen { server: best.server.clone(), cost: best.cost, looked_at })
    }

    /// The decode engine with room that is soonest and fastest from where the prompt is computed.
    pub(super) fn choose_decode(&self, flow: &Flow, source: Option<&ServerId>) -> Option<Chosen> {
        let engines = self.usable_engines(flow, ServerRole::Decode);
        let looked_at = engines.len();
        let source = source.and_then(|source| self.place_of(source));
        let choices = engines.into_iter().filter_map(|server| {
            let cost = self.decode_cost(flow, source, server)?;
            Some(RankedServer { server, cost })
        });
        let best = lowest_cost(choices, self.instance_hash())?;
        Some(Chosen { server: best.server.clone(), cost: best.cost, looked_at })
    }

    /// Whether any decode engine has room for what is computed at `source`.
    pub(super) fn has_decode(&self, flow: &Flow, source: &ServerId) -> bool {
        let source = self.place_of(source);
        let engines = self.usable_engines(flow, ServerRole::Decode).into_iter();
        let mut costs = engines.map(|server| self.decode_cost(flow, source, server));
        costs.any(|cost| cost.is_some())
    }

    /// Cost of a decode engine, or nothing where it has no room or can't be used in time.
    fn decode_cost(
        &self,
        flow: &Flow,
        source: Option<&DataCentreId>,
        server: &ServerId,
    ) -> Option<f64> {
        let load = self.loads.get(server)?.load;
        if load.free_streams == Streams::ZERO || load.free_pieces < flow.kv_pieces {
            return None;
        }
        let known = self.config.in_force()?.servers.get(server)?;
        let batch = known.stream_limit_streams - load.free_streams;
        let token_ms = self.admission.estimates.token_interval_ms(server, batch + Streams(1));
        let is_limited = self.admission.mechanisms.has_token_limit && batch > PROBE_STREAMS;
        if is_limited && token_ms > flow.targets.per_token_ms.0 as f64 {
            return None;
        }
        let is_near = known.data_centre == *self.members.own_data_centre();
        let Some(source) = source else {
            let far_last = if is_near { 0.0 } else { FAR_LAST_COST };
            return Some(far_last - load.free_streams.0 as f64);
        };
        let rate = self.admission.pools.link_rate(source, &known.data_centre);
        let link = (source, &known.data_centre);
        let alone_ms = self.admission.estimates.transfer_ms(link, rate, self.kv_bytes(flow));
        let transfer_ms = alone_ms + self.link_wait_ms(link, self.ready_ms(flow));
        let lasts_ms = match flow.stage {
            Stage::Reseating { .. } => flow.result_until_ms - self.now.mono_ms,
            _ => RESULT_LIFE_MS,
        };
        let far_cost = if is_near { 0.0 } else { FAR_COST_MS };
        (transfer_ms < lasts_ms).then_some(transfer_ms.0 as f64 + token_ms + far_cost)
    }

    /// When the prompt of a request will be computed, or was.
    fn ready_ms(&self, flow: &Flow) -> Millis {
        if matches!(flow.stage, Stage::Reseating { .. } | Stage::Transferring) {
            return self.now.mono_ms;
        }
        let wait_ms = match (&flow.stage, &flow.prefill) {
            (Stage::Waiting, Some(server)) => self.backlog_ms(server),
            _ => flow.wait_ms,
        };
        self.now.mono_ms + wait_ms + self.work_ms(flow)
    }

    /// Time for which the transfers known here keep a link busy beyond `ready_ms`.
    fn link_wait_ms(&self, link: (&DataCentreId, &DataCentreId), ready_ms: Millis) -> Millis {
        if !self.admission.mechanisms.has_link_book {
            return Millis::ZERO;
        }
        self.admission.transfers.wait_ms(link, ready_ms)
    }

    /// Books the transfer of a request whose seat was granted.
    pub(super) fn book_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill, &flow.decode) else {
            return;
        };
        let Some((link, rate, bytes)) = self.transfer_over(flow, from, to) else {
            return;
        };
        let link = (link.0.clone(), link.1.clone());
        let (stream, ready_ms) = (flow.stream.clone(), self.ready_ms(flow));
        let takes_ms = uncontended_transfer_ms(rate, bytes);
        self.admission.transfers.book(&stream, (&link.0, &link.1), ready_ms, takes_ms);
    }

    fn place_of(&self, server: &ServerId) -> Option<&DataCentreId> {
        Some(&self.config.in_force()?.servers.get(server)?.data_centre)
    }

    /// Streams that an engine holds, as far as known.
    pub(super) fn batch(&self, server: &ServerId) -> Streams {
        let limit = self.config.in_force().and_then(|known| known.servers.get(server));
        let limit = limit.map_or(Streams::ZERO, |known| known.stream_limit_streams);
        let free = self.loads.get(server).map_or(Streams::ZERO, |known| known.load.free_streams);
        limit - free
    }

    /// Engines that may serve a request: fresh load, not leaving, not ejected.
    pub(super) fn usable_engines(&self, flow: &Flow, role: ServerRole) -> Vec<&ServerId> {
        let (Some(asked), Some(weights)) = (&flow.asked, &flow.weights) else {
            return Vec::new();
        };
        let Some(pool) = self.admission.pools.pool(weights, role) else {
            return Vec::new();
        };
        let seed = asked.prefix_hashes.first().copied().unwrap_or(asked.request.0) >> 1;
        let is_usable = |server: &ServerId| {
            !flow.excluded.contains(server)
                && self.is_usable(server)
                && !self.placement.lacking.is_lacking(self.now.mono_ms, server, weights)
        };
        pool.sample(self.members.own_data_centre(), seed + flow.attempt - 1, is_usable)
    }

    fn is_usable(&self, server: &ServerId) -> bool {
        let now_ms = self.now.mono_ms;
        let is_fresh =
            self.loads.get(server).is_some_and(|known| now_ms - known.learned_ms <= LOAD_LIFE_MS);
        let is_ejected = self.admission.mechanisms.has_ejection
            && self.admission.suspects.is_ejected(now_ms, server);
        is_fresh && !is_ejected && !self.leaving_servers.contains(server)
    }

    /// Work ahead at a prefill engine: what its owner told this instance last, by whichever way.
    pub(super) fn backlog_ms(&self, server: &ServerId) -> Millis {
        let now_ms = self.now.mono_ms;
        if let Some(queue) = self.admission.queues.get(server).filter(|_| self.owns(server)) {
            return queue.backlog_ms(now_ms);
        }
        let noted = self.admission.backlogs.get(server);
        let Some(load) = self.loads.get(server) else {
            return noted.map_or(Millis::ZERO, |noted| noted.until_ms - now_ms);
        };
        if let Some(noted) = noted.filter(|noted| noted.learned_ms > load.learned_ms) {
            return noted.until_ms - now_ms;
        }
        let work_ms = self.admission.estimates.prefill_ms(server, load.load.queued_tokens);
        load.learned_ms + work_ms - now_ms
    }

    /// The least work ahead at a prefill engine that could serve a request.
    pub(super) fn least_backlog_ms(&self, flow: &Flow) -> Millis {
        let engines = self.usable_engines(flow, ServerRole::Prefill).into_iter();
        engines.map(|server| self.backlog_ms(server)).min().unwrap_or_default()
    }

    /// Takes note of the work ahead at a prefill engine.
    pub(super) fn note_backlog(&mut self, server: &ServerId, backlog_ms: Millis) {
        let learned_ms = self.now.mono_ms;
        let until_ms = learned_ms + backlog_ms;
        self.admission.backlogs.insert(server.clone(), KnownBacklog { learned_ms, until_ms });
    }

    /// Prompt tokens that an engine would have to compute.
    pub(super) fn work_tokens(&self, flow: &Flow, server: &ServerId) -> Tokens {
        let Some(asked) = &flow.asked else {
            return Tokens::ZERO;
        };
        if !self.admission.mechanisms.has_affinity {
            return asked.prompt_tokens;
        }
        let hashes = &asked.prefix_hashes;
        let now_ms = self.now.mono_ms;
        let beliefs = &self.admission.beliefs;
        let cached = beliefs.cached_tokens(now_ms, server, hashes, asked.prompt_tokens);
        asked.prompt_tokens - cached
    }

    /// Predicted time of a transfer between two engines.
    pub(super) fn transfer_ms(&self, flow: &Flow, from: &ServerId, to: &ServerId) -> Millis {
        let Some((link, rate, bytes)) = self.transfer_over(flow, from, to) else {
            return Millis::ZERO;
        };
        self.admission.estimates.transfer_ms(link, rate, bytes)
    }

    /// Predicted time from the end of a prefill to the first token, within a data centre.
    pub(super) fn tail_ms(&self, flow: &Flow) -> Millis {
        let own = self.members.own_data_centre();
        let rate = self.admission.pools.link_rate(own, own);
        let bytes = self.kv_bytes(flow);
        let transfer_ms = self.admission.estimates.transfer_ms((own, own), rate, bytes);
        transfer_ms
            + Millis(self.admission.estimates.average_token_interval_ms(USUAL_BATCH).ceil() as u64)
    }

    /// The link between two engines, its rate and what would travel over it.
    pub(super) fn transfer_over(
        &self,
        flow: &Flow,
        from: &ServerId,
        to: &ServerId,
    ) -> Option<((&DataCentreId, &DataCentreId), Option<BytesPerSecond>, u64)> {
        let servers = &self.config.in_force()?.servers;
        let link = (&servers.get(from)?.data_centre, &servers.get(to)?.data_centre);
        let rate = self.admission.pools.link_rate(link.0, link.1);
        Some((link, rate, self.kv_bytes(flow)))
    }

    fn kv_bytes(&self, flow: &Flow) -> u64 {
        let per_token = self.config.in_force().map_or(0, |known| known.limits.kv_bytes_per_token.0);
        flow.asked.as_ref().map_or(0, |asked| asked.prompt_tokens.0 * per_token)
    }

    fn is_near(&self, server: &ServerId) -> bool {
        let known = self.config.in_force().and_then(|known| known.servers.get(server));
        known.is_some_and(|known| known.data_centre == *self.members.own_data_centre())
    }

    /// A number that differs between instances.
    pub(super) fn instance_hash(&self) -> u64 {
        stable_hash(self.members.own_holder().instance.as_str())
    }

    /// Time of a slot at a prefill engine that this node owns.
    pub(super) fn slot_work_ms(&self, server: &ServerId, kv_pieces: KvPieces) -> Millis {
        let per_piece = self.config.in_force().map_or(0, |known| known.limits.tokens_per_piece);
        self.admission.estimates.prefill_ms(server, Tokens(kv_pieces.0 * per_piece))
    }

    /// Prompt tokens ahead at an engine that this node owns: what was granted and asked for, where
    /// the report lags, and the report else.
    pub(super) fn queued_tokens(&self, server: &ServerId, reported: Tokens) -> Tokens {
        if !self.admission.mechanisms.has_slots || !self.is_prefill(server) {
            return reported;
        }
        let queue = self.admission.queues.get(server);
        let backlog_ms = queue.map_or(Millis::ZERO, |queue| queue.backlog_ms(self.now.mono_ms));
        let per_thousand_ms = self.admission.estimates.prefill_ms(server, Tokens(1_000)).0.max(1);
        Tokens(backlog_ms.0 * 1_000 / per_thousand_ms)
    }

    pub(super) fn is_prefill(&self, server: &ServerId) -> bool {
        let known = self.config.in_force().and_then(|known| known.servers.get(server));
        known.is_some_and(|known| known.role_at(self.now.wall_ms) == ServerRole::Prefill)
    }
}
