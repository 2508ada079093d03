//! What servers say about themselves in any answer: that they are leaving, or want no calls for a
//! while.

use turmericrail_core::forward::ServerRun;
use turmericrail_platform::answer::AnswerMetadata;

use super::clock;
use super::shared::Shared;

/// Records the notices in an answer of a server.
pub fn record(shared: &Shared, run: &ServerRun, metadata: &AnswerMetadata) {
    let server = &run.server;
    for header in &metadata.malformed_headers {
        shared.metrics.malformed_headers.inc();
        spdlog::warn!("event=header_malformed server={server} header={header}");
    }
    if metadata.is_leaving && shared.forwarder().record_leaving(clock::now_ms(), run) {
        log_leaving(run, "answer");
    }
    if let Some(closed_ms) = metadata.closed_ms {
        shared.forwarder().record_closed(clock::now_ms(), run, closed_ms);
        spdlog::info!("event=server_closed server={server} closed_ms={}", closed_ms.0);
    }
}

/// Records that a server is leaving, as another instance says.
pub fn record_told_leaving(shared: &Shared, run: &ServerRun) {
    if shared.forwarder().record_told_leaving(clock::now_ms(), run) {
        log_leaving(run, "peer");
    }
}

fn log_leaving(run: &ServerRun, source: &str) {
    spdlog::info!(
        "event=server_leaving server={} started_ms={} source={source}",
        run.server,
        run.started_ms.0
    );
}
