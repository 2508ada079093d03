//! Switches that turn off single decision mechanisms, for measurements of what each contributes.

/// The mechanisms that are turned on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mechanisms {
    /// Orders waiting requests by slack and rejects at once those that can't meet their target.
    pub has_plan: bool,
    /// Lets owners of prefill engines grant the engines' time in slots.
    pub has_slots: bool,
    /// If a decode engine is lost, tries another one with the computed KV cache before the prefill
    /// is repeated.
    pub has_reseat: bool,
    /// Expects less work at engines that probably have a prefix of the prompt cached.
    pub has_affinity: bool,
    /// Loads a decode engine only as far as its learned token rate allows.
    pub has_token_limit: bool,
    /// Adds the wait for booked transfers to the predicted time of the next one.
    pub has_transfer_schedule: bool,
    /// Plans the requests that wait for a decode seat too.
    pub has_seat_plan: bool,
    /// Ejects failing servers for a while.
    pub has_ejection: bool,
    /// Rejects requests first from a workspace that uses more than its share.
    pub has_isolation: bool,
}

impl Mechanisms {
    /// All mechanisms on.
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

    /// All mechanisms off: picks the most free seats and the shortest reported queue, and rejects
    /// no request early.
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
