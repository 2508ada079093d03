//! Transfers that are under way or lined up on links, and how long another one would wait.
//!
//! Transfers share the rate of their link, so the last of those under way ends when the bytes of
//! all have passed, in whichever order. A booking is over by itself at its predicted end, so that a
//! lost message takes no link time for good.

use std::collections::BTreeMap;

use crate::ids::{DataCentreId, StreamId};
use crate::units::Millis;

/// Time after its predicted end for which a booking still counts.
const OVERDUE_MS: Millis = Millis(1_000);

/// A transfer on a link.
#[derive(Clone, Debug, PartialEq)]
struct Booking {
    from: DataCentreId,
    to: DataCentreId,
    ready_ms: Millis,
    takes_ms: Millis,
}

/// The transfers that are known of.
#[derive(Clone, Debug, Default)]
pub struct TransferSchedule {
    bookings: BTreeMap<StreamId, Booking>,
}

impl TransferSchedule {
    /// Books a transfer that begins at `ready_ms` and would take `takes_ms` alone.
    pub fn book(
        &mut self,
        stream: &StreamId,
        (from, to): (&DataCentreId, &DataCentreId),
        ready_ms: Millis,
        takes_ms: Millis,
    ) {
        let booking = Booking { from: from.clone(), to: to.clone(), ready_ms, takes_ms };
        self.bookings.insert(stream.clone(), booking);
    }

    /// Ends a booking.
    pub fn end(&mut self, stream: &StreamId) {
        self.bookings.remove(stream);
    }

    /// Time that the transfers ahead keep a link busy beyond `ready_ms`.
    pub fn wait_ms(&self, (from, to): (&DataCentreId, &DataCentreId), ready_ms: Millis) -> Millis {
        let mut ahead: Vec<_> = Vec::new();
        for booking in self.bookings.values() {
            if booking.from != *from || booking.to != *to || booking.ready_ms > ready_ms {
                continue;
            }
            ahead.push((booking.ready_ms, booking.takes_ms));
        }
        ahead.sort_unstable();
        let mut free_ms = Millis::ZERO;
        for (ready_ms, takes_ms) in ahead {
            free_ms = free_ms.max(ready_ms) + takes_ms;
        }
        free_ms - ready_ms
    }

    /// Forgets bookings whose end is long past.
    pub fn expire(&mut self, now_ms: Millis) {
        self.bookings
            .retain(|_, booking| booking.ready_ms + booking.takes_ms + OVERDUE_MS > now_ms);
    }
}
