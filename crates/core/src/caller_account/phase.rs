//! What a caller's connection is doing.

/// What a caller's connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// Nothing of a first request has arrived.
    Silent,
    /// It waits for the next request.
    Idle,
    /// A request is arriving.
    Reading,
    /// A request that has arrived is being served.
    Serving,
    /// The caller doesn't read its answer.
    Unread,
    /// A request was refused, and the connection waits for the caller to close it.
    Closing,
}

impl ConnectionPhase {
    /// Whether the connection gives way to others.
    pub fn gives_way(self) -> bool {
        self != Self::Serving
    }

    /// Order in which connections give way to new ones, the first being zero; `None` for those that
    /// hold a part of a request.
    pub(super) fn idle_rank(self) -> Option<u8> {
        match self {
            Self::Closing => Some(0),
            Self::Silent => Some(1),
            Self::Idle => Some(2),
            Self::Reading | Self::Serving | Self::Unread => None,
        }
    }
}
