//! Tickets: idempotency keys for calls that are not idempotent. Only the run of an instance that
//! issued a ticket may spend it.
//!
//! A ticket carries all that its issuer needs to know about it until it is spent, so that unspent
//! tickets take no memory.

use std::fmt;

use crate::at_most_once::seal::SealKey;
use crate::ids::{DataCentreId, Incarnation, InstanceId};
use crate::report::Holder;
use crate::units::Millis;

/// Separates seals of tickets from those of cursors.
const SEAL_PURPOSE: &str = "ticket";

/// A ticket: the run that issued it and a serial number within that run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// The run that issued it; only this run may spend it.
    pub home: Holder,
    /// Data centre of `home`.
    pub data_centre: DataCentreId,
    /// Random number of the run. It distinguishes two runs to which a clock gave the same
    /// incarnation.
    pub run_nonce: u64,
    /// Number within the run, in order of issue.
    pub serial: u64,
    /// When it was issued, on the monotonic clock of the run.
    pub issued_ms: Millis,
}

impl Ticket {
    /// The text that is given to the caller.
    pub fn seal(&self, seal_key: &SealKey) -> String {
        seal_key.seal(SEAL_PURPOSE, &self.to_string())
    }

    /// Parses a sealed ticket; `None` if it was altered or sealed with another key.
    pub fn unseal(text: &str, seal_key: &SealKey) -> Option<Self> {
        let body = seal_key.unseal(SEAL_PURPOSE, text)?;
        let mut parts = body.split('/');
        let ticket = Ticket {
            data_centre: parts.next()?.parse().ok()?,
            home: Holder {
                instance: parts.next()?.parse::<InstanceId>().ok()?,
                incarnation: parts.next()?.parse::<Incarnation>().ok()?,
            },
            run_nonce: parts.next()?.parse().ok()?,
            serial: parts.next()?.parse().ok()?,
            issued_ms: Millis(parts.next()?.parse().ok()?),
        };
        parts.next().is_none().then_some(ticket)
    }
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Holder { instance, incarnation } = &self.home;
        let (nonce, serial, issued_ms) = (self.run_nonce, self.serial, self.issued_ms.0);
        write!(f, "{}/{instance}/{incarnation}/{nonce}/{serial}/{issued_ms}", self.data_centre)
    }
}
