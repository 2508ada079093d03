//! Selection of the engines for a model request, from predicted times.
//!
//! Predictions combine the estimates of this instance, the prefixes assumed to be in each engine's
//! cache, and the loads that owners report. Local means in the data centre of this instance, remote
//! in another one.

use crate::admission::state::KnownBacklog;
use crate::config::document::ServerRole;
use crate::estimate::uncontended_transfer_ms;
use crate::ids::{DataCentreId, RequestId, ServerId};
use crate::membership::rendezvous::stable_hash;
use crate::node::Node;
use crate::request::{Flow, Stage};
use crate::route::{RankedServer, lowest_cost_server};
use crate::units::{BytesPerSecond, KvPieces, Millis, Streams, Tokens};

/// Age above which a server load is ignored.
const MAX_LOAD_AGE_MS: Millis = Millis(3_000);
/// Time for which a prefill engine is expected to keep the result of a prefill.
pub(super) const PREFILL_RESULT_LIFETIME_MS: Millis = Millis(800);
/// Penalty for an engine in another data centre.
const REMOTE_PENALTY_MS: f64 = 20.0;
/// Penalty that ranks every remote engine behind all local ones, used where costs are not in
/// milliseconds.
const REMOTE_LAST_PENALTY: f64 = 1e12;
/// An engine with at most this many streams may be chosen even if its estimated token time misses
/// the target, so that a wrong estimate can be corrected.
const PROBE_STREAMS: Streams = Streams(1);
/// Batch size assumed when the time to the first token after a transfer is predicted.
const TYPICAL_BATCH_STREAMS: Streams = Streams(10);

#[derive(Clone, Debug)]
pub(super) struct ChosenEngine {
    pub server: ServerId,
    pub cost: f64,
    pub candidate_count: usize,
}

impl Node {
    /// The prefill engine with the earliest predicted end, its backlog included.
    pub(super) fn choose_prefill(&self, flow: &Flow) -> Option<ChosenEngine> {
        let mut engines = self.usable_engines(flow, ServerRole::Prefill);
        engines.retain(|server| !flow.refused_by.contains(*server));
        let candidate_count = engines.len();
        let mechanisms = self.admission.mechanisms;
        let choices = engines.into_iter().map(|server| {
            let is_remote = !self.is_local(server);
            let cost = if mechanisms.has_slots {
                let wait_ms = self.prefill_backlog_ms(server).0 as f64;
                let work_tokens = self.uncached_prompt_tokens(flow, server);
                let work_ms = self.admission.estimates.prefill_ms(server, work_tokens).0 as f64;
                wait_ms + work_ms + if is_remote { REMOTE_PENALTY_MS } else { 0.0 }
            } else {
                let queued = self
                    .server_loads
                    .get(server)
                    .map_or(0, |known_load| known_load.load.queued_tokens.0);
                queued as f64 + if is_remote { REMOTE_LAST_PENALTY } else { 0.0 }
            };
            RankedServer { server, cost }
        });
        let best = lowest_cost_server(choices, self.instance_hash())?;
        Some(ChosenEngine { server: best.server.clone(), cost: best.cost, candidate_count })
    }

    /// The decode engine with free capacity and the lowest predicted transfer and token time, for a
    /// prompt computed at `source`.
    pub(super) fn choose_decode(
        &self,
        flow: &Flow,
        source: Option<&ServerId>,
    ) -> Option<ChosenEngine> {
        let engines = self.usable_engines(flow, ServerRole::Decode);
        let candidate_count = engines.len();
        let source_data_centre = source.and_then(|source| self.data_centre_of(source));
        let choices = engines.into_iter().filter_map(|server| {
            let cost = self.decode_cost(flow, source_data_centre, server)?;
            Some(RankedServer { server, cost })
        });
        let best = lowest_cost_server(choices, self.instance_hash())?;
        Some(ChosenEngine { server: best.server.clone(), cost: best.cost, candidate_count })
    }

    /// Whether any decode engine has capacity for a prompt computed at `source`.
    pub(super) fn has_decode_capacity(&self, flow: &Flow, source: &ServerId) -> bool {
        let source_data_centre = self.data_centre_of(source);
        let engines = self.usable_engines(flow, ServerRole::Decode).into_iter();
        let mut costs = engines.map(|server| self.decode_cost(flow, source_data_centre, server));
        costs.any(|cost| cost.is_some())
    }

    /// Cost of a decode engine, or `None` if it has no capacity, is too slow, or can't be reached
    /// before the prefill result expires.
    fn decode_cost(
        &self,
        flow: &Flow,
        source_data_centre: Option<&DataCentreId>,
        server: &ServerId,
    ) -> Option<f64> {
        let load = self.server_loads.get(server)?.load;
        if load.free_streams == Streams::ZERO || load.free_pieces < flow.kv_pieces {
            return None;
        }
        let server_config = self.config.in_force()?.servers.get(server)?;
        let batch = server_config.stream_limit_streams - load.free_streams;
        let token_ms = self.admission.estimates.token_interval_ms(server, batch + Streams(1));
        let is_limited = self.admission.mechanisms.has_token_limit && batch > PROBE_STREAMS;
        if is_limited && token_ms > flow.targets.per_token_ms.0 as f64 {
            return None;
        }
        let is_local = server_config.data_centre == *self.members.own_data_centre();
        let Some(source_data_centre) = source_data_centre else {
            let remote_cost = if is_local { 0.0 } else { REMOTE_LAST_PENALTY };
            return Some(remote_cost - load.free_streams.0 as f64);
        };
        let rate = self.admission.pools.link_rate(source_data_centre, &server_config.data_centre);
        let link = (source_data_centre, &server_config.data_centre);
        let uncontended_ms =
            self.admission.estimates.transfer_ms(link, rate, self.kv_cache_bytes(flow));
        let transfer_ms = uncontended_ms + self.link_wait_ms(link, self.prompt_ready_ms(flow));
        let result_remaining_ms = match flow.stage {
            Stage::Reseating { .. } => flow.result_until_ms - self.now.monotonic_ms,
            _ => PREFILL_RESULT_LIFETIME_MS,
        };
        let remote_cost_ms = if is_local { 0.0 } else { REMOTE_PENALTY_MS };
        (transfer_ms < result_remaining_ms)
            .then_some(transfer_ms.0 as f64 + token_ms + remote_cost_ms)
    }

    /// Expected end of a request's prefill; the present time if the prefill has ended.
    fn prompt_ready_ms(&self, flow: &Flow) -> Millis {
        if matches!(flow.stage, Stage::Reseating { .. } | Stage::Transferring) {
            return self.now.monotonic_ms;
        }
        let wait_ms = match (&flow.stage, &flow.prefill_server) {
            (Stage::Waiting, Some(server)) => self.prefill_backlog_ms(server),
            _ => flow.wait_ms,
        };
        self.now.monotonic_ms + wait_ms + self.average_prefill_ms(flow)
    }

    /// Time after `ready_ms` for which a link is still busy with transfers of this instance.
    fn link_wait_ms(&self, link: (&DataCentreId, &DataCentreId), ready_ms: Millis) -> Millis {
        if !self.admission.mechanisms.has_transfer_schedule {
            return Millis::ZERO;
        }
        self.admission.transfers.wait_ms(link, ready_ms)
    }

    /// Adds the transfer of a request with a granted seat to the schedule of its link.
    pub(super) fn book_transfer(&mut self, request: RequestId) {
        let Some(flow) = self.flows.get(&request) else {
            return;
        };
        let (Some(from), Some(to)) = (&flow.prefill_server, &flow.decode_server) else {
            return;
        };
        let Some((link, rate, bytes)) = self.transfer_parameters(flow, from, to) else {
            return;
        };
        let link = (link.0.clone(), link.1.clone());
        let (stream, ready_ms) = (flow.stream.clone(), self.prompt_ready_ms(flow));
        let takes_ms = uncontended_transfer_ms(rate, bytes);
        self.admission.transfers.book(&stream, (&link.0, &link.1), ready_ms, takes_ms);
    }

    fn data_centre_of(&self, server: &ServerId) -> Option<&DataCentreId> {
        Some(&self.config.in_force()?.servers.get(server)?.data_centre)
    }

    /// Streams on an engine, as last reported.
    pub(super) fn batch_streams(&self, server: &ServerId) -> Streams {
        let limit =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        let limit = limit.map_or(Streams::ZERO, |server_config| server_config.stream_limit_streams);
        let free = self
            .server_loads
            .get(server)
            .map_or(Streams::ZERO, |known_load| known_load.load.free_streams);
        limit - free
    }

    /// A sample of the engines that may serve a request, local ones first. They have a recent load
    /// and the weights, and are neither excluded, leaving nor ejected.
    pub(super) fn usable_engines(&self, flow: &Flow, role: ServerRole) -> Vec<&ServerId> {
        let (Some(model_request), Some(weights)) = (&flow.model_request, &flow.weights) else {
            return Vec::new();
        };
        let Some(pool) = self.admission.pools.pool(weights, role) else {
            return Vec::new();
        };
        let seed =
            model_request.prefix_hashes.first().copied().unwrap_or(model_request.request.0) >> 1;
        let is_usable = |server: &ServerId| {
            !flow.excluded.contains(server)
                && self.is_engine_usable(server)
                && !self.placement.lacking.is_lacking(self.now.monotonic_ms, server, weights)
        };
        pool.sample(self.members.own_data_centre(), seed + flow.attempt - 1, is_usable)
    }

    fn is_engine_usable(&self, server: &ServerId) -> bool {
        let now_ms = self.now.monotonic_ms;
        let is_fresh = self
            .server_loads
            .get(server)
            .is_some_and(|known_load| now_ms - known_load.computed_ms <= MAX_LOAD_AGE_MS);
        let is_ejected = self.admission.mechanisms.has_ejection
            && self.admission.ejected_servers.is_ejected(now_ms, server);
        is_fresh && !is_ejected && !self.leaving_servers.contains(server)
    }

    /// Time until a prefill engine has done its queued work, from the newest source: the queue of
    /// an owned engine, a reply of the owner, or a load report.
    pub(super) fn prefill_backlog_ms(&self, server: &ServerId) -> Millis {
        let now_ms = self.now.monotonic_ms;
        if let Some(queue) = self.admission.queues.get(server).filter(|_| self.owns(server)) {
            return queue.backlog_ms(now_ms);
        }
        let known_backlog = self.admission.backlogs.get(server);
        let Some(load) = self.server_loads.get(server) else {
            return known_backlog
                .map_or(Millis::ZERO, |known_backlog| known_backlog.until_ms - now_ms);
        };
        if let Some(known_backlog) =
            known_backlog.filter(|known_backlog| known_backlog.learned_ms > load.computed_ms)
        {
            return known_backlog.until_ms - now_ms;
        }
        let work_ms = self.admission.estimates.prefill_ms(server, load.load.queued_tokens);
        load.computed_ms + work_ms - now_ms
    }

    /// The smallest backlog of the prefill engines that could serve a request.
    pub(super) fn least_prefill_backlog_ms(&self, flow: &Flow) -> Millis {
        let engines = self.usable_engines(flow, ServerRole::Prefill).into_iter();
        engines.map(|server| self.prefill_backlog_ms(server)).min().unwrap_or_default()
    }

    pub(super) fn record_prefill_backlog(&mut self, server: &ServerId, backlog_ms: Millis) {
        let learned_ms = self.now.monotonic_ms;
        let until_ms = learned_ms + backlog_ms;
        self.admission.backlogs.insert(server.clone(), KnownBacklog { learned_ms, until_ms });
    }

    /// Prompt tokens that are not expected in the engine's cache.
    pub(super) fn uncached_prompt_tokens(&self, flow: &Flow, server: &ServerId) -> Tokens {
        let Some(model_request) = &flow.model_request else {
            return Tokens::ZERO;
        };
        if !self.admission.mechanisms.has_affinity {
            return model_request.prompt_tokens;
        }
        let hashes = &model_request.prefix_hashes;
        let now_ms = self.now.monotonic_ms;
        let prefix_cache_index = &self.admission.prefix_cache_index;
        let cached =
            prefix_cache_index.cached_tokens(now_ms, server, hashes, model_request.prompt_tokens);
        model_request.prompt_tokens - cached
    }

    pub(super) fn predicted_transfer_ms(
        &self,
        flow: &Flow,
        from: &ServerId,
        to: &ServerId,
    ) -> Millis {
        let Some((link, rate, bytes)) = self.transfer_parameters(flow, from, to) else {
            return Millis::ZERO;
        };
        self.admission.estimates.transfer_ms(link, rate, bytes)
    }

    /// Predicted time from the end of a prefill to the first token, for a transfer within this data
    /// centre.
    pub(super) fn prefill_to_first_token_ms(&self, flow: &Flow) -> Millis {
        let own = self.members.own_data_centre();
        let rate = self.admission.pools.link_rate(own, own);
        let bytes = self.kv_cache_bytes(flow);
        let transfer_ms = self.admission.estimates.transfer_ms((own, own), rate, bytes);
        transfer_ms
            + Millis(
                self.admission.estimates.average_token_interval_ms(TYPICAL_BATCH_STREAMS).ceil()
                    as u64,
            )
    }

    /// The link between two engines, its configured rate, and the bytes to transfer.
    pub(super) fn transfer_parameters(
        &self,
        flow: &Flow,
        from: &ServerId,
        to: &ServerId,
    ) -> Option<((&DataCentreId, &DataCentreId), Option<BytesPerSecond>, u64)> {
        let servers = &self.config.in_force()?.servers;
        let link = (&servers.get(from)?.data_centre, &servers.get(to)?.data_centre);
        let rate = self.admission.pools.link_rate(link.0, link.1);
        Some((link, rate, self.kv_cache_bytes(flow)))
    }

    fn kv_cache_bytes(&self, flow: &Flow) -> u64 {
        let per_token = self
            .config
            .in_force()
            .map_or(0, |configuration| configuration.limits.kv_bytes_per_token.0);
        flow.model_request
            .as_ref()
            .map_or(0, |model_request| model_request.prompt_tokens.0 * per_token)
    }

    fn is_local(&self, server: &ServerId) -> bool {
        let server_config =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        server_config.is_some_and(|server_config| {
            server_config.data_centre == *self.members.own_data_centre()
        })
    }

    /// A hash that differs between instances, to break ties and to spread retry delays.
    pub(super) fn instance_hash(&self) -> u64 {
        stable_hash(self.members.own_holder().instance.as_str())
    }

    /// Expected duration of a prefill at an engine that this instance owns.
    pub(super) fn slot_prefill_ms(&self, server: &ServerId, kv_pieces: KvPieces) -> Millis {
        let per_piece =
            self.config.in_force().map_or(0, |configuration| configuration.limits.tokens_per_piece);
        self.admission.estimates.prefill_ms(server, Tokens(kv_pieces.0 * per_piece))
    }

    /// Prompt tokens queued at an owned engine. For a prefill engine they follow from its slot
    /// queue, since its report lags behind what was granted; for others they are the reported ones.
    pub(super) fn queued_prompt_tokens(&self, server: &ServerId, reported: Tokens) -> Tokens {
        if !self.admission.mechanisms.has_slots || !self.is_prefill_engine(server) {
            return reported;
        }
        let queue = self.admission.queues.get(server);
        let backlog_ms =
            queue.map_or(Millis::ZERO, |queue| queue.backlog_ms(self.now.monotonic_ms));
        let per_thousand_ms = self.admission.estimates.prefill_ms(server, Tokens(1_000)).0.max(1);
        Tokens(backlog_ms.0 * 1_000 / per_thousand_ms)
    }

    pub(super) fn is_prefill_engine(&self, server: &ServerId) -> bool {
        let server_config =
            self.config.in_force().and_then(|configuration| configuration.servers.get(server));
        server_config.is_some_and(|server_config| {
            server_config.role_at(self.now.wall_ms) == ServerRole::Prefill
        })
    }
}
