//! The fault of a case.

use crate::workload::{ARRIVAL_PERIOD_MS, WARM_UP_MS};

pub const FAULT_MS: u64 = WARM_UP_MS + ARRIVAL_PERIOD_MS / 3;
pub const SLOW_PREFILL_FACTOR: f64 = 3.0;
pub const SLOW_DECODE_FACTOR: f64 = 2.5;
/// Rate of narrow links relative to the normal rate.
pub const NARROW_LINK_RATE_RATIO: f64 = 0.35;
/// Loss of messages between instances.
pub const LOST_PERCENT: u64 = 5;

/// The fault of a case. The engines that die, slow down or fail are the first of their role in data
/// centre 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    None,
    DeadPrefill,
    DeadDecode,
    SlowDecode,
    SlowPrefill,
    LateReports,
    CutOff,
    Flood,
    /// Links have a reduced rate from the start.
    NarrowLinks,
    /// An instance dies; its callers use other instances.
    DeadInstance,
    /// Some messages between instances are lost.
    LostMessages,
    /// A prefill engine reports normally and fails all calls.
    FailingPrefill,
    /// A decode engine reports normally and fails all calls.
    FailingDecode,
}

impl Fault {
    pub fn name(self) -> &'static str {
        match self {
            Self::None => "none",
            Self::DeadPrefill => "dead_prefill",
            Self::DeadDecode => "dead_decode",
            Self::SlowPrefill => "slow_prefill",
            Self::SlowDecode => "slow_decode",
            Self::LateReports => "late_reports",
            Self::CutOff => "cut_off",
            Self::Flood => "flood",
            Self::NarrowLinks => "narrow_links",
            Self::DeadInstance => "dead_instance",
            Self::LostMessages => "lost_messages",
            Self::FailingPrefill => "failing_prefill",
            Self::FailingDecode => "failing_decode",
        }
    }

    /// Returns the prefill and decode engines lost to the fault; a slow one counts as a fraction.
    pub fn lost_engines(self) -> (f64, f64) {
        match self {
            Self::DeadPrefill | Self::FailingPrefill => (1.0, 0.0),
            Self::DeadDecode | Self::FailingDecode => (0.0, 1.0),
            Self::SlowPrefill => (1.0 - 1.0 / SLOW_PREFILL_FACTOR, 0.0),
            Self::SlowDecode => (0.0, 1.0 - 1.0 / SLOW_DECODE_FACTOR),
            _ => (0.0, 0.0),
        }
    }
}
