//! Time estimates for engines and links, learned from the requests of this instance.

use std::collections::BTreeMap;

use crate::estimate::BoundedMean;
use crate::ids::{DataCentreId, ServerId};
use crate::units::{BytesPerSecond, Millis, Streams, Tokens};

/// Prefill rate assumed until one was measured.
const PRIOR_PREFILL_TOKENS_PER_MS: f64 = 4.0;
/// Time between two tokens on an otherwise idle engine, assumed until one was measured.
const PRIOR_TOKEN_INTERVAL_MS: f64 = 10.0;
/// Rate assumed for a link that the configuration does not name.
const DEFAULT_LINK_BYTES_PER_SECOND: BytesPerSecond = BytesPerSecond(1_000_000_000);
/// Number of streams at which the token interval is twice that of an empty batch.
const BATCH_DOUBLING_STREAMS: f64 = 10.0;

/// Estimates of prefill times, token intervals and transfer times. An engine without measurements
/// is estimated by the average of all engines.
#[derive(Clone, Debug)]
pub struct Estimates {
    prefill_ms_per_token: BTreeMap<ServerId, BoundedMean>,
    average_prefill_ms_per_token: BoundedMean,
    /// Time between two tokens, scaled down to an empty batch.
    token_interval_ms: BTreeMap<ServerId, BoundedMean>,
    average_token_interval_ms: BoundedMean,
    /// Measured transfer time relative to that at the configured rate, by sender and receiver.
    transfer_factor: BTreeMap<DataCentreId, BTreeMap<DataCentreId, BoundedMean>>,
}

impl Default for Estimates {
    fn default() -> Self {
        Self {
            prefill_ms_per_token: BTreeMap::new(),
            average_prefill_ms_per_token: BoundedMean::new(1.0 / PRIOR_PREFILL_TOKENS_PER_MS),
            token_interval_ms: BTreeMap::new(),
            average_token_interval_ms: BoundedMean::new(PRIOR_TOKEN_INTERVAL_MS),
            transfer_factor: BTreeMap::new(),
        }
    }
}

impl Estimates {
    /// Time that an engine takes to process uncached prompt tokens.
    pub fn prefill_ms(&self, server: &ServerId, tokens: Tokens) -> Millis {
        let measured = self.prefill_ms_per_token.get(server);
        let per_token = measured.unwrap_or(&self.average_prefill_ms_per_token).value();
        Millis((tokens.0 as f64 * per_token).ceil() as u64)
    }

    /// Time that an average engine takes to process uncached prompt tokens.
    pub fn average_prefill_ms(&self, tokens: Tokens) -> Millis {
        Millis((tokens.0 as f64 * self.average_prefill_ms_per_token.value()).ceil() as u64)
    }

    /// Records the duration of a prefill without its wait in the queue of the engine.
    pub fn record_prefill(&mut self, server: &ServerId, tokens: Tokens, elapsed_ms: Millis) {
        let sample = elapsed_ms.0.max(1) as f64 / tokens.0.max(1) as f64;
        let prior = self.average_prefill_ms_per_token;
        self.prefill_ms_per_token.entry(server.clone()).or_insert(prior).add(sample);
        self.average_prefill_ms_per_token.add(sample);
    }

    /// Expected time between two tokens of a stream on an engine that holds `batch_streams`
    /// streams.
    pub fn token_interval_ms(&self, server: &ServerId, batch_streams: Streams) -> f64 {
        self.token_interval_ms.get(server).unwrap_or(&self.average_token_interval_ms).value()
            * batch_factor(batch_streams)
    }

    /// Expected time between two tokens of a stream on an average engine that holds `batch_streams`
    /// streams.
    pub fn average_token_interval_ms(&self, batch_streams: Streams) -> f64 {
        self.average_token_interval_ms.value() * batch_factor(batch_streams)
    }

    /// Records the mean time between tokens of a finished answer on an engine that held
    /// `batch_streams` streams.
    pub fn record_token_interval(
        &mut self,
        server: &ServerId,
        batch_streams: Streams,
        token_interval_ms: f64,
    ) {
        let sample = token_interval_ms / batch_factor(batch_streams);
        let prior = self.average_token_interval_ms;
        self.token_interval_ms.entry(server.clone()).or_insert(prior).add(sample);
        self.average_token_interval_ms.add(sample);
    }

    /// Expected duration of a transfer over a link. `rate` is the configured rate of the link, if
    /// there is one.
    pub fn transfer_ms(
        &self,
        (from, to): (&DataCentreId, &DataCentreId),
        rate: Option<BytesPerSecond>,
        bytes: u64,
    ) -> Millis {
        let measured = self.transfer_factor.get(from).and_then(|links| links.get(to));
        let factor = measured.map_or(1.0, BoundedMean::value);
        Millis((nominal_transfer_ms(rate, bytes) * factor).ceil() as u64)
    }

    /// Records the duration of a finished transfer.
    pub fn record_transfer(
        &mut self,
        (from, to): (&DataCentreId, &DataCentreId),
        rate: Option<BytesPerSecond>,
        bytes: u64,
        elapsed_ms: Millis,
    ) {
        let sample = elapsed_ms.0.max(1) as f64 / nominal_transfer_ms(rate, bytes).max(1.0);
        let links = self.transfer_factor.entry(from.clone()).or_default();
        links.entry(to.clone()).or_insert(BoundedMean::new(1.0)).add(sample);
    }
}

fn batch_factor(batch_streams: Streams) -> f64 {
    1.0 + batch_streams.0 as f64 / BATCH_DOUBLING_STREAMS
}

/// Duration of a transfer that has its link for itself, at the configured rate.
pub fn uncontended_transfer_ms(rate: Option<BytesPerSecond>, bytes: u64) -> Millis {
    Millis(nominal_transfer_ms(rate, bytes).ceil() as u64)
}

fn nominal_transfer_ms(rate: Option<BytesPerSecond>, bytes: u64) -> f64 {
    let rate = rate.unwrap_or(DEFAULT_LINK_BYTES_PER_SECOND);
    bytes as f64 * 1_000.0 / rate.0.max(1) as f64
}
