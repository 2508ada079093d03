//! What servers say about themselves in any answer: that they are leaving, want no calls for a
//! while, take only so many calls a second, or their load and speed.

use turmericrail_core::forward::{LimitStatement, ServerRun};
use turmericrail_core::units::Millis;
use turmericrail_platform::answer::AnswerMetadata;

use crate::forward::clock;
use crate::forward::shared::Shared;

/// Records the notices in an answer of a server to a call that was sent at `sent_ms`.
pub fn record(shared: &Shared, run: &ServerRun, metadata: &AnswerMetadata, sent_ms: Millis) {
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
    if let Some(statement) = limit_statement(run, metadata, sent_ms) {
        record_limit(shared, &statement, "answer");
    }
}

/// Records the load in an answer of a server, unless another server sent it.
pub fn record_load(shared: &Shared, run: &ServerRun, metadata: &AnswerMetadata) {
    let Some(mut load) = metadata.load.filter(|_| !metadata.is_misdirected) else {
        return;
    };
    if !shared.settings().uses_stated_speeds {
        load.work_time = None;
    }
    let mut forwarder = shared.forwarder();
    let is_known = forwarder.server_speed(run).is_some_and(|speed| speed.momentary().is_some());
    forwarder.record_reported_load(clock::now_ms(), run, load);
    drop(forwarder);
    if let Some(work_time) = load.work_time.filter(|_| !is_known) {
        spdlog::info!("event=server_speed server={} work_time={work_time}", run.server);
    }
}

/// What an answer says of the server's limit. Only a signed answer tells that there is none, as of
/// the time of the call: an older answer may arrive late.
fn limit_statement(
    run: &ServerRun,
    metadata: &AnswerMetadata,
    sent_ms: Millis,
) -> Option<LimitStatement> {
    let is_clear = metadata.is_signed && !metadata.has_malformed_notice();
    let age_ms = match metadata.limit {
        Some(_) => Millis::ZERO,
        None if is_clear => clock::now_ms().saturating_sub(sent_ms),
        None => return None,
    };
    Some(LimitStatement { run: run.clone(), rate: metadata.limit, age_ms })
}

/// Records what a server says of its limit, in an answer or to another instance.
pub fn record_limit(shared: &Shared, statement: &LimitStatement, source: &str) {
    let random = fastrand::u64(..);
    if shared.forwarder().record_limit(clock::now_ms(), statement, random) {
        let rate = statement.rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string());
        let server = &statement.run.server;
        spdlog::info!(
            "event=server_limit server={server} limit={rate} age_ms={} source={source}",
            statement.age_ms.0
        );
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
