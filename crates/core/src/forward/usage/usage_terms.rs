//! The figures of a usage cap that instances tell each other.

use crate::forward::UsageCap;
use crate::ids::ConfigVersion;

/// Part of the burst that is granted beyond it, and once more to small requests; well within the
/// overage of a cap.
const RESERVE_SHARE: f64 = 0.05;

/// Rate and burst of a cap in one configuration version.
#[derive(Clone, Copy, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct UsageTerms {
    pub rate_per_s: f64,
    pub burst: f64,
    pub version: ConfigVersion,
}

impl UsageTerms {
    /// The terms of a cap. Where it names no burst, a second's worth of the rate may be used at
    /// once.
    pub fn new(cap: &UsageCap, version: ConfigVersion) -> Self {
        let burst = if cap.burst > 0.0 { cap.burst } else { cap.rate_per_s };
        Self { rate_per_s: cap.rate_per_s, burst, version }
    }

    /// Level that a request of `cost` units needs. Requests are refused only once the tenant is
    /// beyond its cap in whatever order their messages are counted, and small requests still find
    /// room where large ones don't.
    pub fn needed_level(&self, cost: f64) -> f64 {
        let reserve = RESERVE_SHARE * self.burst;
        cost.min(reserve) - 2.0 * reserve
    }

    /// Level above which a tenant counts as far below its cap.
    pub fn ample_level(&self) -> f64 {
        self.burst / 2.0
    }
}
