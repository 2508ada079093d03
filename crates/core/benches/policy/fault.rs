//! What goes wrong in a case.

use crate::workload::{ARRIVALS_MS, WARM_UP_MS};

/// When the fault of a case begins.
pub const FAULT_MS: u64 = WARM_UP_MS + ARRIVALS_MS / 3;
/// How much longer a slow prefill engine takes.
pub const SLOW_PREFILL: f64 = 3.0;
/// How much longer a slow decode engine takes.
pub const SLOW_DECODE: f64 = 2.5;
/// Rate of narrow links as a share of the usual one.
pub const NARROW_SHARE: f64 = 0.35;
/// Share of messages between instances that are lost.
pub const LOST_PERCENT: u64 = 5;

/// What goes wrong in a case.
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
    /// Links have a part of their usual rate, from the start.
    NarrowLinks,
    /// An instance dies; its callers come to others.
    DeadInstance,
    /// Messages between instances are lost.
    LostMessages,
    /// A prefill engine reports well and fails all calls.
    FailingPrefill,
    /// A decode engine reports well and fails all calls.
    FailingDecode,
}

impl Fault {
    /// The name in the results.
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

    /// Prefill and decode engines that do no work while it lasts; a slow one counts in part.
    pub fn lost_engines(self) -> (f64, f64) {
        match self {
            Self::DeadPrefill | Self::FailingPrefill => (1.0, 0.0),
            Self::DeadDecode | Self::FailingDecode => (0.0, 1.0),
            Self::SlowPrefill => (1.0 - 1.0 / SLOW_PREFILL, 0.0),
            Self::SlowDecode => (0.0, 1.0 - 1.0 / SLOW_DECODE),
            _ => (0.0, 0.0),
        }
    }
}
