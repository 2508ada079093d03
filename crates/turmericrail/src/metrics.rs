//! Metrics for `/metrics`.

use prometheus::{Encoder, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Every metric of the process.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Final answers by kind; `completed` where the request completed.
    pub answers: IntCounterVec,
    /// Logged decisions by event.
    pub decisions: IntCounterVec,
    /// Messages to peers by type.
    pub peer_messages: IntCounterVec,
    /// Bytes of messages to peers by type.
    pub peer_bytes: IntCounterVec,
    /// Messages of peers refused by reason.
    pub peer_refusals: IntCounterVec,
    /// Calls of the platform's services by service.
    pub platform_calls: IntCounterVec,
    /// Callers connected.
    pub connections: IntGauge,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Newest configuration version that failed its checks, zero where none did.
    pub config_rejected: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), &[label]).expect("the names are valid");
    registry.register(Box::new(counter.clone())).expect("each name is registered once");
    counter
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the names are valid");
    registry.register(Box::new(gauge.clone())).expect("each name is registered once");
    gauge
}

impl Default for Metrics {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            answers: counter(&registry, "turmericrail_answers_total", "Final answers.", "kind"),
            decisions: counter(&registry, "turmericrail_decisions_total", "Decisions.", "event"),
            peer_messages: counter(
                &registry,
                "turmericrail_peer_messages_total",
                "Messages to peers.",
                "type",
            ),
            peer_bytes: counter(
                &registry,
                "turmericrail_peer_bytes_total",
                "Bytes to peers.",
                "type",
            ),
            peer_refusals: counter(
                &registry,
                "turmericrail_peer_refusals_total",
                "Messages of peers refused.",
                "reason",
            ),
            platform_calls: counter(
                &registry,
                "turmericrail_platform_calls_total",
                "Calls of the platform's services.",
                "service",
            ),
            connections: gauge(&registry, "turmericrail_connections", "Callers connected."),
            config_version: gauge(
                &registry,
                "turmericrail_config_version",
                "Configuration version in force.",
            ),
            config_rejected: gauge(
                &registry,
                "turmericrail_config_rejected_version",
                "Newest configuration version that failed its checks.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// The text form for a scrape.
    pub fn render(&self) -> Vec<u8> {
        render(&self.registry)
    }
}

/// Metrics of an instance that forwards calls.
pub struct ForwardMetrics {
    registry: Registry,
    /// Final answers by outcome.
    pub answers: IntCounterVec,
    /// Calls to backend servers by their end.
    pub server_calls: IntCounterVec,
    /// Calls of the store by kind.
    pub store_calls: IntCounterVec,
    /// Configuration version in force.
    pub config_version: IntGauge,
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            answers: counter(&registry, "turmericrail_answers_total", "Final answers.", "outcome"),
            server_calls: counter(
                &registry,
                "turmericrail_server_calls_total",
                "Calls to backend servers.",
                "end",
            ),
            store_calls: counter(
                &registry,
                "turmericrail_store_calls_total",
                "Calls of the store.",
                "call",
            ),
            config_version: gauge(
                &registry,
                "turmericrail_config_version",
                "Configuration version in force.",
            ),
            registry,
        }
    }
}

impl ForwardMetrics {
    /// The text form for a scrape.
    pub fn render(&self) -> Vec<u8> {
        render(&self.registry)
    }
}

fn render(registry: &Registry) -> Vec<u8> {
    let mut text = Vec::new();
    let encoded = TextEncoder::new().encode(&registry.gather(), &mut text);
    encoded.expect("writing to memory does not fail");
    text
}
