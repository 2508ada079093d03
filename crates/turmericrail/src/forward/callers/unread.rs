//! Why no request was read from a caller's connection.

use turmericrail_core::caller_account::Shortage;
use turmericrail_core::error_kind::ErrorKind;

use super::connection_end::ConnectionEnd;

/// Why no request was read.
pub enum Unread {
    /// A request that can't be served, with its id if that is known.
    Refused { kind: ErrorKind, request_id: Option<String>, is_head_call: bool },
    /// The connection ended or is to be closed, and no complete request was read.
    Ended(ConnectionEnd),
}

impl Unread {
    /// A refusal before the id and the method of the request are known.
    pub fn refused(kind: ErrorKind) -> Self {
        Self::Refused { kind, request_id: None, is_head_call: false }
    }
}

impl From<ConnectionEnd> for Unread {
    fn from(end: ConnectionEnd) -> Self {
        match end {
            ConnectionEnd::NoRoom => Self::refused(ErrorKind::Overloaded),
            end => Self::Ended(end),
        }
    }
}

impl From<Shortage> for Unread {
    fn from(_: Shortage) -> Self {
        Self::refused(ErrorKind::Overloaded)
    }
}
