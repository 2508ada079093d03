//! Which tenants send far more than they usually do, as seen by one instance.
//!
//! A tenant is in excess if its requests of the last seconds exceed several times what it usually
//! sends and what the other tenants of the service send on average. Usual rates differ widely between
//! tenants and the caps of small ones are many times their rate, so neither equal shares nor caps
//! tell a burst from a large tenant.

use std::collections::BTreeMap;

use crate::decay::{DecayingValue, remaining_fraction};
use crate::ids::TenantId;
use crate::units::Millis;

/// Half-life of the count of recent requests: less than a burst, and several requests of a bursting
/// tenant even at a small instance.
const RECENT_HALF_LIFE_MS: f64 = 3_000.0;
/// Half-life of the usual rate: many times as long as a burst.
const USUAL_HALF_LIFE_MS: f64 = 60_000.0;
/// Multiple of the expected number of requests above which a tenant is in excess.
const EXCESS_FACTOR: f64 = 2.0;
/// Requests beyond that multiple that are chance at an instance with few of them.
const EXCESS_SLACK: f64 = 1.0;
/// Count below which a tenant's rates are dropped.
const FORGOTTEN_COUNT: f64 = 0.01;

#[derive(Clone, Copy, Debug)]
struct TenantRate {
    recent: DecayingValue,
    usual: DecayingValue,
    first_ms: Millis,
}

impl TenantRate {
    fn recent_count(&self, now_ms: Millis) -> f64 {
        self.recent.value(now_ms, RECENT_HALF_LIFE_MS)
    }

    /// The recent count that the usual rate leads to.
    fn usual_count(&self, now_ms: Millis) -> f64 {
        // Part of the full weight of the mean that the time since the first request makes up.
        let elapsed_ms = now_ms.saturating_sub(self.first_ms);
        let weight = 1.0 - remaining_fraction(elapsed_ms, USUAL_HALF_LIFE_MS);
        let recent_weight = 1.0 - remaining_fraction(elapsed_ms, RECENT_HALF_LIFE_MS);
        if weight <= 0.0 {
            return f64::INFINITY;
        }
        let full_count = self.usual.value(now_ms, USUAL_HALF_LIFE_MS) / weight;
        full_count * recent_weight * RECENT_HALF_LIFE_MS / USUAL_HALF_LIFE_MS
    }
}

/// Rates of the tenants of a service.
#[derive(Clone, Debug, Default)]
pub struct TenantRates(BTreeMap<TenantId, TenantRate>);

impl TenantRates {
    /// Counts a request.
    pub fn record(&mut self, now_ms: Millis, tenant: &TenantId) {
        let new = TenantRate {
            recent: DecayingValue::default(),
            usual: DecayingValue::default(),
            first_ms: now_ms,
        };
        let rate = self.0.entry(tenant.clone()).or_insert(new);
        rate.recent.set(now_ms, rate.recent_count(now_ms) + 1.0);
        let usual = rate.usual.value(now_ms, USUAL_HALF_LIFE_MS);
        rate.usual.set(now_ms, usual + 1.0);
    }

    /// Whether a tenant sends far more than usual and than others.
    pub fn is_in_excess(&self, now_ms: Millis, tenant: &TenantId) -> bool {
        let Some(rate) = self.0.get(tenant) else {
            return false;
        };
        let Some(other_tenants) = self.0.len().checked_sub(1).filter(|count| *count > 0) else {
            return false;
        };
        let others = self.0.iter().filter(|(id, _)| *id != tenant);
        let sum: f64 = others.map(|(_, rate)| rate.recent_count(now_ms)).sum();
        let mean = sum / other_tenants as f64;
        let expected = rate.usual_count(now_ms).max(mean);
        rate.recent_count(now_ms) > expected * EXCESS_FACTOR + EXCESS_SLACK
    }

    /// Drops tenants that have sent nothing for long.
    pub fn expire(&mut self, now_ms: Millis) {
        self.0.retain(|_, rate| rate.usual.value(now_ms, USUAL_HALF_LIFE_MS) > FORGOTTEN_COUNT);
    }
}
