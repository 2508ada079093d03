//! Metrics of what callers make the process hold.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of what callers make the process hold.
#[derive(Clone, Debug)]
pub struct AccountMetrics {
    /// Memory of all connections.
    pub held_bytes: IntGauge,
    /// Open connections.
    pub connections: IntGauge,
    /// Connections that gave way, and what was refused, by event.
    pub shortages: IntCounterVec,
}

impl Default for AccountMetrics {
    fn default() -> Self {
        let gauge =
            |name: &str, help: &str| IntGauge::new(name, help).expect("the names are valid");
        let options = Opts::new(
            "turmericrail_caller_shortages_total",
            "Callers' connections that gave way or were refused for want of room.",
        );
        let shortages = IntCounterVec::new(options, &["event"]).expect("the names are valid");
        Self {
            held_bytes: gauge("turmericrail_caller_held_bytes", "Memory held for callers."),
            connections: gauge("turmericrail_caller_connections", "Callers' open connections."),
            shortages,
        }
    }
}

impl AccountMetrics {
    /// Metrics in a registry.
    pub fn register(registry: &Registry) -> Self {
        let metrics = Self::default();
        let collectors: [Box<dyn Collector>; 3] = [
            Box::new(metrics.held_bytes.clone()),
            Box::new(metrics.connections.clone()),
            Box::new(metrics.shortages.clone()),
        ];
        for collector in collectors {
            registry.register(collector).expect("each name is registered once");
        }
        metrics
    }
}
