//! Switches of the decisions, so that a measurement can take each one away.

/// Which mechanisms are at work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Waiting requests are planned by slack, and those out of reach are given up at once.
    pub has_plan: bool,
    /// Owners of prefill engines grant their time.
    pub has_slots: bool,
    /// A lost decode engine is replaced before anything is prefilled again.
    pub has_reseat: bool,
    /// Engines that are believed to hold a prefix count as faster for it.
    pub has_affinity: bool,
    /// Decode engines are loaded only as far as their learned token rate allows.
    pub has_token_limit: bool,
    /// Transfers under way and lined up count in the time of the next one.
    pub has_transfer_schedule: bool,
    /// Requests that wait for a decode seat are planned too.
    pub has_seat_plan: bool,
    /// Servers that fail are ejected for a while.
    pub has_ejection: bool,
    /// A workspace with more than its share is the first to be given up.
    pub has_isolation: bool,
}

impl Mechanisms {
    /// All of them.
    pub const ALL: Self = Self {
        has_plan: true,
        has_slots: true,
        has_reseat: true,
        has_affinity: true,
        has_token_limit: true,
        has_transfer_schedule: true,
        has_seat_plan: true,
        has_ejection: true,
        has_isolation: true,
    };

    /// None of them: most free seats, shortest reported queue, no early give-up.
    pub const NONE: Self = Self {
        has_plan: false,
        has_slots: false,
        has_reseat: false,
        has_affinity: false,
        has_token_limit: false,
        has_transfer_schedule: false,
        has_seat_plan: false,
        has_ejection: false,
        has_isolation: false,
    };
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self::ALL
    }
}
