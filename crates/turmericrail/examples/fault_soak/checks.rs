//! Checks the router's guarantees against what callers and servers saw.

use std::collections::BTreeMap;

use turmericrail_fakes::registered::Reply;

use crate::callers::RequestRecord;

/// Statuses that guarantee that the request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Routes whose requests run at most once.
const AT_MOST_ONCE_ROUTES: [&str; 2] = ["order", "stream"];

/// Number of executions at the servers by request id.
pub type Executions = BTreeMap<String, usize>;

/// Returns the violation of a guarantee that a request shows, if any.
pub fn check(record: &RequestRecord, executions: &Executions) -> Option<String> {
    let run_count = executions.get(&record.id).copied().unwrap_or_default();
    let runs_at_most_once = AT_MOST_ONCE_ROUTES.contains(&record.route);
    if runs_at_most_once && run_count > 1 {
        return Some(format!(
            "ran_twice request={} route={} runs={run_count}",
            record.id, record.route
        ));
    }
    let answer = match &record.answer {
        Ok(answer) => answer.as_ref()?,
        Err(error) => return Some(format!("malformed request={} {error:?}", record.id)),
    };
    if runs_at_most_once && run_count > 0 && NOT_RUN_STATUSES.contains(&answer.status()) {
        return Some(format!("ran_all_the_same request={} status={}", record.id, answer.status()));
    }
    if answer.status() == 200 && !belongs_to(record, answer) {
        return Some(format!("mixed request={} body={:?}", record.id, answer.body));
    }
    if answer.status() == 200 && answer.is_complete && run_count == 0 {
        return Some(format!("answered_without_run request={}", record.id));
    }
    if (400..500).contains(&answer.status()) && !NOT_RUN_STATUSES.contains(&answer.status()) {
        return Some(format!("denied request={} status={}", record.id, answer.status()));
    }
    None
}

/// Whether an answer belongs to the request: complete, or visibly cut.
fn belongs_to(record: &RequestRecord, answer: &Reply) -> bool {
    if answer.request_id() != Some(record.id.as_str()) {
        return false;
    }
    let is_stream = !matches!(record.route, "read" | "order");
    if !is_stream {
        return !answer.is_complete || answer.body.starts_with("answer of ");
    }
    let full_body: String =
        (1..=5).map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect();
    if answer.is_complete { answer.body == full_body } else { full_body.starts_with(&answer.body) }
}
