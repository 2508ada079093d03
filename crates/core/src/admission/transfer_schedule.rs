//! Running and planned KV transfers on the links between data centres, and how long another one
//! would wait.
//!
//! Transfers share the rate of their link, so the last of the running ones ends when the bytes of
//! all have been sent, in whichever order. A booking expires after its predicted end, so a lost
//! message can't occupy a link for good.

use std::collections::BTreeMap;

use crate::ids::{DataCentreId, StreamId};
use crate::units::Millis;

/// Time after its predicted end at which a booking expires.
const EXPIRY_GRACE_MS: Millis = Millis(1_000);

/// A transfer booked on a link: when it can start, and its duration on an idle link.
#[derive(Clone, Debug, PartialEq)]
struct Booking {
    from: DataCentreId,
    to: DataCentreId,
    ready_ms: Millis,
    duration_ms: Millis,
}

/// The booked transfers by stream.
#[derive(Clone, Debug, Default)]
pub struct TransferSchedule {
    bookings: BTreeMap<StreamId, Booking>,
}

impl TransferSchedule {
    /// Books a transfer that can start at `ready_ms` and lasts `duration_ms` on an idle link.
    pub fn book(
        &mut self,
        stream: &StreamId,
        (from, to): (&DataCentreId, &DataCentreId),
        ready_ms: Millis,
        duration_ms: Millis,
    ) {
        let booking = Booking { from: from.clone(), to: to.clone(), ready_ms, duration_ms };
        self.bookings.insert(stream.clone(), booking);
    }

    /// Removes a booking.
    pub fn end(&mut self, stream: &StreamId) {
        self.bookings.remove(stream);
    }

    /// How long booked transfers that are ready by `ready_ms` occupy the link after that time.
    pub fn wait_ms(&self, (from, to): (&DataCentreId, &DataCentreId), ready_ms: Millis) -> Millis {
        let mut ahead: Vec<_> = Vec::new();
        for booking in self.bookings.values() {
            if booking.from != *from || booking.to != *to || booking.ready_ms > ready_ms {
                continue;
            }
            ahead.push((booking.ready_ms, booking.duration_ms));
        }
        ahead.sort_unstable();
        let mut free_ms = Millis::ZERO;
        for (ready_ms, duration_ms) in ahead {
            free_ms = free_ms.max(ready_ms) + duration_ms;
        }
        free_ms - ready_ms
    }

    /// Removes expired bookings.
    pub fn expire(&mut self, now_ms: Millis) {
        self.bookings
            .retain(|_, booking| booking.ready_ms + booking.duration_ms + EXPIRY_GRACE_MS > now_ms);
    }
}
