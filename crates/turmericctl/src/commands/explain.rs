//! `explain`: the decisions of an instance about a request.

use std::net::SocketAddr;
use std::time::Duration;

use turmericrail::daemon::decisions::{RequestDecisions, ShownDecision};
use turmericrail_core::ids::RequestId;
use turmericrail_wire::client::{Call, CallError};

use crate::error::CommandError;
use crate::options::Format;
use crate::output::to_json;

/// Timeout of the call to the instance.
const TIMEOUT: Duration = Duration::from_secs(5);
/// HTTP status if the instance doesn't know the request.
const NOT_FOUND: u16 = 404;

/// Returns the decisions about a request, as text or JSON.
pub async fn explain(
    instance: SocketAddr,
    request: RequestId,
    format: Format,
) -> Result<String, CommandError> {
    let call = Call::get(instance, format!("/decisions/{request}"), TIMEOUT);
    let answer = call.send_json::<RequestDecisions>().await;
    let decisions = answer.map_err(|error| match error {
        CallError::Status { status: NOT_FOUND, .. } => {
            CommandError::UnknownRequest { instance, request }
        }
        error => CommandError::Call(error),
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
        lines.push(decision_line(decision, started_ms));
    }
    if decisions.dropped > 0 {
        lines.push(format!("  {} later decisions were not kept", decisions.dropped));
    }
    lines.join("\n")
}

fn decision_line(decision: &ShownDecision, started_ms: u64) -> String {
    let after_ms = decision.wall_ms.0.saturating_sub(started_ms);
    let fields = decision.fields.iter().map(|(key, value)| format!("{key}={value}"));
    let fields = fields.collect::<Vec<_>>().join(" ");
    format!("  {after_ms:>6} ms  {:<16} {fields}", decision.event)
}
