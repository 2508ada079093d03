//! Tickets: keys for calls that are not idempotent, issued by the instance that alone may spend
//! them.
//!
//! A ticket carries all that its home needs to know about it while it is unspent, so that issued
//! tickets take no memory there.

use std::fmt;

use crate::at_most_once::seal::SealKey;
use crate::ids::{DataCentreId, Incarnation, InstanceId};
use crate::report::Holder;
use crate::units::Millis;

/// Purpose that separates seals of tickets from those of cursors.
const SEAL_PURPOSE: &str = "ticket";

/// A ticket: its home run and a serial number within that run.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket {
    /// The run that issued it and alone may spend it.
    pub home: Holder,
    /// The home's data centre.
    pub data_centre: DataCentreId,
    /// Random number of the run, which holds where a clock gave two runs one incarnation.
    pub run_nonce: u64,
    /// Number within the run.
    pub serial: u64,
    /// When it was issued, on the monotonic clock of the run.
    pub issued_ms: Millis,
}

impl Ticket {
    /// The text handed to the caller.
    pub fn seal(&self, seal_key: &SealKey) -> String {
        seal_key.seal(SEAL_PURPOSE, &self.to_string())
    }

    /// The ticket in a text, or nothing where it was altered or issued elsewhere.
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
