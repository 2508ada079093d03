//! Prometheus metrics, served at `/metrics`.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

use crate::caller_memory::AccountMetrics;

/// Metrics of an instance that serves the product's own interface.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Final answers by error kind, or `completed`.
    pub answers: IntCounterVec,
    /// Decisions by log event.
    pub decisions: IntCounterVec,
    /// Messages sent to peers, by type.
    pub peer_messages: IntCounterVec,
    /// Bytes of messages sent to peers, by type.
    pub peer_bytes: IntCounterVec,
    /// Refused messages from peers, by reason.
    pub peer_refusals: IntCounterVec,
    /// Calls to the platform's services, by service.
    pub platform_calls: IntCounterVec,
    /// What callers make the process hold.
    pub caller_account: AccountMetrics,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Answers of servers that were refused, by reason.
    pub refused_answers: IntCounterVec,
    /// Newest configuration version that failed its checks; zero if none did.
    pub rejected_config_version: IntGauge,
}

fn counter(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let counter = IntCounterVec::new(Opts::new(name, help), &[label]).expect("the names are valid");
    registry.register(Box::new(counter.clone())).expect("each name is registered once");
    counter
}

fn plain_counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let counter = IntCounter::new(name, help).expect("the names are valid");
    registry.register(Box::new(counter.clone())).expect("each name is registered once");
    counter
}

/// Upper bounds of the buckets, from the time of a plain call to the longest timeout of a caller.
const LATENCY_BUCKETS_SECONDS: [f64; 12] =
    [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 2.0, 5.0, 14.0];

fn histogram(registry: &Registry, name: &str, help: &str, label: &str) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_SECONDS.to_vec());
    let histogram = HistogramVec::new(options, &[label]).expect("the names are valid");
    registry.register(Box::new(histogram.clone())).expect("each name is registered once");
    histogram
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(name, help).expect("the names are valid");
    registry.register(Box::new(gauge.clone())).expect("each name is registered once");
    gauge
}

fn gauges(registry: &Registry, name: &str, help: &str, label: &str) -> IntGaugeVec {
    let gauges = IntGaugeVec::new(Opts::new(name, help), &[label]).expect("the names are valid");
    registry.register(Box::new(gauges.clone())).expect("each name is registered once");
    gauges
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
            caller_account: AccountMetrics::register(&registry),
            refused_answers: counter(
                &registry,
                "turmericrail_refused_answers_total",
                "Answers that were refused.",
                "reason",
            ),
            connections: gauge(&registry, "turmericrail_connections", "Callers connected."),
            config_version: gauge(
                &registry,
                "turmericrail_config_version",
                "Configuration version in force.",
            ),
            rejected_config_version: gauge(
                &registry,
                "turmericrail_config_rejected_version",
                "Newest configuration version that failed its checks.",
            ),
            registry,
        }
    }
}

impl Metrics {
    /// Encodes all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        render(&self.registry)
    }
}

/// Metrics of an instance that forwards calls.
pub struct ForwardMetrics {
    registry: Registry,
    /// What callers make the process hold.
    pub caller_account: AccountMetrics,
    /// Final answers, by outcome.
    pub answers: IntCounterVec,
    /// Callers' connections that ended, by reason and error of the socket.
    pub connection_ends: IntCounterVec,
    /// Calls to backend servers, by how they ended.
    pub server_calls: IntCounterVec,
    /// Calls to the store, by kind.
    pub store_calls: IntCounterVec,
    /// Time from a request's arrival to its answer or first event, by route kind.
    pub answer_seconds: HistogramVec,
    /// Duration of the steps of a request, by step.
    pub step_seconds: HistogramVec,
    /// Calls that found room where ranks differ, by rank and whether they could meet their target.
    pub placements: IntCounterVec,
    /// Calls refused for lack of room where ranks differ, by rank.
    pub overload_refusals: IntCounterVec,
    /// Calls that wait for room where ranks differ, by rank.
    pub waiting_calls: IntGaugeVec,
    /// Retries refused by the retry limit.
    pub retries_refused: IntCounter,
    /// Header fields in servers' and the store's answers that can't be used.
    pub malformed_headers: IntCounter,
    /// Answers of servers, instances and the store that were refused, by reason.
    pub refused_answers: IntCounterVec,
    /// Configuration version in force.
    pub config_version: IntGauge,
    /// Backend servers, by state.
    pub servers: IntGaugeVec,
    /// Known instances, including this one.
    pub instances: IntGauge,
    /// Sets of shared parts whose prompts are quarantined.
    pub quarantined_prompts: IntGauge,
    /// Requests that are quarantined for themselves.
    pub quarantined_requests: IntGauge,
    /// One while the store does not answer, else zero.
    pub store_lost: IntGauge,
    /// Requests refused since their tenant has used up its cap.
    pub usage_refused: IntCounterVec,
    /// Units that tenants may use at once, at their coordinators.
    pub usage_level: IntGaugeVec,
    /// Services of which no server is reached.
    pub services_cut_off: IntGauge,
    /// Requests offered to other instances, by outcome.
    pub handed_over: IntCounterVec,
    /// Requests that other instances offered, by what came of the offer.
    pub taken_over: IntCounterVec,
}

impl Default for ForwardMetrics {
    fn default() -> Self {
        let registry = Registry::new();
        Self {
            caller_account: AccountMetrics::register(&registry),
            answers: counter(&registry, "turmericrail_answers_total", "Final answers.", "outcome"),
            connection_ends: {
                let name = "turmericrail_connection_ends_total";
                let options = Opts::new(name, "Callers' connections that ended.");
                let ends =
                    IntCounterVec::new(options, &["reason", "error"]).expect("the names are valid");
                registry.register(Box::new(ends.clone())).expect("registered once");
                ends
            },
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
            answer_seconds: histogram(
                &registry,
                "turmericrail_answer_seconds",
                "Time from arrival to the answer or its first event.",
                "route_kind",
            ),
            step_seconds: histogram(
                &registry,
                "turmericrail_step_seconds",
                "Time of a step of a request.",
                "step",
            ),
            placements: {
                let options = Opts::new("turmericrail_placements_total", "Calls that found room.");
                let placements = IntCounterVec::new(options, &["rank", "standing"])
                    .expect("the names are valid");
                registry.register(Box::new(placements.clone())).expect("registered once");
                placements
            },
            overload_refusals: counter(
                &registry,
                "turmericrail_overload_refusals_total",
                "Calls refused for lack of room.",
                "rank",
            ),
            waiting_calls: gauges(
                &registry,
                "turmericrail_waiting_calls",
                "Calls that wait for room.",
                "rank",
            ),
            retries_refused: plain_counter(
                &registry,
                "turmericrail_retries_refused_total",
                "Calls with a retry refused by its bound.",
            ),
            malformed_headers: plain_counter(
                &registry,
                "turmericrail_malformed_headers_total",
                "Header fields in answers of servers and the store that can't be used.",
            ),
            refused_answers: counter(
                &registry,
                "turmericrail_refused_answers_total",
                "Answers that were refused.",
                "reason",
            ),
            servers: gauges(
                &registry,
                "turmericrail_servers",
                "Backend servers by state.",
                "state",
            ),
            usage_refused: counter(
                &registry,
                "turmericrail_usage_refused_total",
                "Requests refused by the usage cap of their tenant.",
                "tenant",
            ),
            usage_level: gauges(
                &registry,
                "turmericrail_usage_level",
                "Units that a tenant may use at once, at its coordinator.",
                "tenant",
            ),
            instances: gauge(&registry, "turmericrail_instances", "Instances that are known."),
            services_cut_off: gauge(
                &registry,
                "turmericrail_services_cut_off",
                "Services of which no server is reached.",
            ),
            handed_over: counter(
                &registry,
                "turmericrail_handed_over_total",
                "Requests offered to other instances.",
                "outcome",
            ),
            taken_over: counter(
                &registry,
                "turmericrail_taken_over_total",
                "Requests that other instances offered.",
                "outcome",
            ),
            quarantined_prompts: gauge(
                &registry,
                "turmericrail_quarantined_prompts",
                "Sets of shared parts whose prompts are quarantined.",
            ),
            quarantined_requests: gauge(
                &registry,
                "turmericrail_quarantined_requests",
                "Requests that are quarantined for themselves.",
            ),
            store_lost: gauge(&registry, "turmericrail_store_lost", "Whether the store is lost."),
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
    /// Encodes all metrics in the Prometheus text format.
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
