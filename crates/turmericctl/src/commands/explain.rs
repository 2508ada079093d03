//! `explain`: the decisions that an instance took for a request.

use std::net::SocketAddr;
use std::time::Duration;

use turmericrail::daemon::decisions::{RequestDecisions, ShownDecision};
use turmericrail_core::ids::RequestId;
use turmericrail_wire::client::{Call, CallError};

use crate::error::ControlError;
use crate::options::Format;
use crate::output::to_json;

/// Longest wait for the instance.
const TIMEOUT: Duration = Duration::from_secs(5);
/// HTTP status where the request is not known.
const NOT_FOUND: u16 = 404;

/// Shows the decisions of a request.
pub async fn explain(
    instance: SocketAddr,
    request: RequestId,
    format: Format,
) -> Result<String, ControlError> {
    let call = Call::get(instance, format!("/decisions/{request}"), TIMEOUT);
    let answer = call.send_json::<RequestDecisions>().await;
    let decisions = answer.map_err(|error| match error {
        CallError::Status { status: NOT_FOUND, .. } => ControlError::NotKnown { instance, request },
        error => ControlError::Call(error),
    })?;
    Ok(match format {
        Format::Json => to_json(&decisions),
        Format::Text => to_text(&decisions),
    })
}

fn to_text(decisions: &RequestDecisions) -> String {
    let started_ms = decisions.decisions.first().map_or(0, |first| first.wall_ms.0);
    let mut lines = vec![format!("request {}", decisions.request)];
    for decision in &decisions.decisions {
        lines.push(line(decision, started_ms));
    }
    if decisions.dropped > 0 {
        lines.push(format!("  {} later decisions were not kept", decisions.dropped));
    }
    lines.join("\n")
}

fn line(decision: &ShownDecision, started_ms: u64) -> String {
    let after_ms = decision.wall_ms.0.saturating_sub(started_ms);
    let fields = decision.fields.iter().map(|(key, value)| format!("{key}={value}"));
    let fields = fields.collect::<Vec<_>>().join(" ");
    format!("  {after_ms:>6} ms  {:<16} {fields}", decision.event)
}
