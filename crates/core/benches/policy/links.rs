//! Links between data centres: the transfers on one link share its rate evenly.

use std::collections::BTreeMap;

use turmericrail_core::action::TransferCall;
use turmericrail_core::ids::StreamId;

/// Bytes below which a transfer counts as done.
const REST_BYTES: f64 = 1.0;

/// Data centres of source and target.
pub type Places = (usize, usize);

/// A transfer on its way, and the instance that asked for it.
pub struct Transfer {
    pub instance: usize,
    pub call: TransferCall,
    left_bytes: f64,
}

/// One direction between two data centres, or the inside of one.
struct Link {
    bytes_per_ms: f64,
    transfers: BTreeMap<StreamId, Transfer>,
    advanced_ms: u64,
    turn: u64,
}

/// All links in use.
#[derive(Default)]
pub struct Links {
    by_places: BTreeMap<Places, Link>,
}

impl Links {
    /// Starts a transfer on a link of this rate.
    pub fn start(
        &mut self,
        now_ms: u64,
        places: Places,
        bytes_per_ms: u64,
        (instance, call, bytes): (usize, TransferCall, u64),
    ) {
        let link = self.by_places.entry(places).or_insert(Link {
            bytes_per_ms: bytes_per_ms as f64,
            transfers: BTreeMap::new(),
            advanced_ms: now_ms,
            turn: 0,
        });
        link.advance(now_ms);
        let stream = call.stream.clone();
        link.transfers.insert(stream, Transfer { instance, call, left_bytes: bytes as f64 });
    }

    /// Takes a transfer off its link before its end.
    pub fn stop(&mut self, now_ms: u64, stream: &StreamId) -> Option<(Places, Transfer)> {
        for (places, link) in &mut self.by_places {
            if !link.transfers.contains_key(stream) {
                continue;
            }
            link.advance(now_ms);
            return link.transfers.remove(stream).map(|transfer| (*places, transfer));
        }
        None
    }

    /// When the next transfer of a link ends unless another begins or stops, and the number of
    /// that forecast.
    pub fn next_end(&mut self, now_ms: u64, places: Places) -> Option<(u64, u64)> {
        let link = self.by_places.get_mut(&places)?;
        link.turn += 1;
        let least = link.transfers.values().map(|transfer| transfer.left_bytes);
        let least = least.min_by(f64::total_cmp)?;
        let takes_ms = least * link.transfers.len() as f64 / link.bytes_per_ms;
        Some((now_ms + (takes_ms.ceil() as u64).max(1), link.turn))
    }

    /// Takes off the transfers that have ended, if the forecast still stands.
    pub fn take_ended(&mut self, now_ms: u64, places: Places, turn: u64) -> Option<Vec<Transfer>> {
        let link = self.by_places.get_mut(&places).filter(|link| link.turn == turn)?;
        link.advance(now_ms);
        let ended = link.transfers.iter().filter(|(_, transfer)| transfer.left_bytes < REST_BYTES);
        let ended: Vec<_> = ended.map(|(stream, _)| stream.clone()).collect();
        Some(ended.iter().filter_map(|stream| link.transfers.remove(stream)).collect())
    }
}

impl Link {
    fn advance(&mut self, now_ms: u64) {
        let passed_ms = (now_ms - self.advanced_ms) as f64;
        self.advanced_ms = now_ms;
        let share = passed_ms * self.bytes_per_ms / self.transfers.len().max(1) as f64;
        for transfer in self.transfers.values_mut() {
            transfer.left_bytes -= share;
        }
    }
}
