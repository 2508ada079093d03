//! Simulates the links between data centres. The transfers on one link share its rate evenly.

use std::collections::BTreeMap;

use turmericrail_core::action::TransferCall;
use turmericrail_core::ids::StreamId;

/// Remaining bytes below which a transfer counts as finished; absorbs rounding errors.
const FINISHED_BELOW_BYTES: f64 = 1.0;

/// Data centres of the source and the target.
pub type LinkEnds = (usize, usize);

/// A transfer in progress and the instance that requested it.
pub struct Transfer {
    pub instance: usize,
    pub call: TransferCall,
    remaining_bytes: f64,
}

/// One direction between two data centres, or the network within one.
struct Link {
    bytes_per_ms: f64,
    transfers: BTreeMap<StreamId, Transfer>,
    advanced_until_ms: u64,
    forecast_number: u64,
}

#[derive(Default)]
pub struct Links {
    by_ends: BTreeMap<LinkEnds, Link>,
}

impl Links {
    /// Starts a transfer; the first one on a link sets the rate of the link.
    pub fn start(
        &mut self,
        now_ms: u64,
        ends: LinkEnds,
        bytes_per_ms: u64,
        (instance, call, bytes): (usize, TransferCall, u64),
    ) {
        let link = self.by_ends.entry(ends).or_insert(Link {
            bytes_per_ms: bytes_per_ms as f64,
            transfers: BTreeMap::new(),
            advanced_until_ms: now_ms,
            forecast_number: 0,
        });
        link.advance(now_ms);
        let stream = call.stream.clone();
        link.transfers.insert(stream, Transfer { instance, call, remaining_bytes: bytes as f64 });
    }

    /// Removes a transfer before its end.
    pub fn stop(&mut self, now_ms: u64, stream: &StreamId) -> Option<(LinkEnds, Transfer)> {
        for (ends, link) in &mut self.by_ends {
            if !link.transfers.contains_key(stream) {
                continue;
            }
            link.advance(now_ms);
            return link.transfers.remove(stream).map(|transfer| (*ends, transfer));
        }
        None
    }

    /// Returns when the next transfer of a link ends if none starts or stops before, and the number
    /// of this forecast.
    pub fn forecast_next_end(&mut self, now_ms: u64, ends: LinkEnds) -> Option<(u64, u64)> {
        let link = self.by_ends.get_mut(&ends)?;
        link.forecast_number += 1;
        let min_remaining_bytes = link.transfers.values().map(|transfer| transfer.remaining_bytes);
        let min_remaining_bytes = min_remaining_bytes.min_by(f64::total_cmp)?;
        let remaining_ms = min_remaining_bytes * link.transfers.len() as f64 / link.bytes_per_ms;
        Some((now_ms + (remaining_ms.ceil() as u64).max(1), link.forecast_number))
    }

    /// Removes the finished transfers; `None` if a later forecast has replaced this one.
    pub fn remove_finished(
        &mut self,
        now_ms: u64,
        ends: LinkEnds,
        forecast_number: u64,
    ) -> Option<Vec<Transfer>> {
        let link =
            self.by_ends.get_mut(&ends).filter(|link| link.forecast_number == forecast_number)?;
        link.advance(now_ms);
        let finished = link
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.remaining_bytes < FINISHED_BELOW_BYTES);
        let finished: Vec<_> = finished.map(|(stream, _)| stream.clone()).collect();
        Some(finished.iter().filter_map(|stream| link.transfers.remove(stream)).collect())
    }
}

impl Link {
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = (now_ms - self.advanced_until_ms) as f64;
        self.advanced_until_ms = now_ms;
        let share = elapsed_ms * self.bytes_per_ms / self.transfers.len().max(1) as f64;
        for transfer in self.transfers.values_mut() {
            transfer.remaining_bytes -= share;
        }
    }
}
