//! The promises, checked from what callers and servers saw.

use std::collections::BTreeMap;

use turmericrail_fakes::registered::Reply;

use crate::callers::Record;

/// Statuses that promise that the request did not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Routes whose requests run once at the most.
const ONCE: [&str; 2] = ["order", "stream"];

/// Executions of each request at the servers.
pub type Executions = BTreeMap<String, usize>;

/// What is wrong with a request, if anything is.
pub fn check(record: &Record, executions: &Executions) -> Option<String> {
    let ran = executions.get(&record.id).copied().unwrap_or_default();
    let is_once = ONCE.contains(&record.route);
    if is_once && ran > 1 {
        return Some(format!("ran_twice request={} route={} runs={ran}", record.id, record.route));
    }
    let answer = match &record.answer {
        Ok(answer) => answer.as_ref()?,
        Err(problem) => return Some(format!("malformed request={} {problem:?}", record.id)),
    };
    if is_once && ran > 0 && PROMISES.contains(&answer.status()) {
        return Some(format!("ran_all_the_same request={} status={}", record.id, answer.status()));
    }
    if answer.status() == 200 && !is_own(record, answer) {
        return Some(format!("mixed request={} body={:?}", record.id, answer.body));
    }
    if answer.status() == 200 && answer.is_complete && ran == 0 {
        return Some(format!("answered_without_run request={}", record.id));
    }
    if (400..500).contains(&answer.status()) && !PROMISES.contains(&answer.status()) {
        return Some(format!("denied request={} status={}", record.id, answer.status()));
    }
    None
}

/// Whether an answer is the request's own: whole, or cut in a way that shows.
fn is_own(record: &Record, answer: &Reply) -> bool {
    if answer.request_id() != Some(record.id.as_str()) {
        return false;
    }
    let is_stream = !matches!(record.route, "read" | "order");
    if !is_stream {
        return !answer.is_complete || answer.body.starts_with("answer of ");
    }
    let whole: String =
        (1..=5).map(|number| format!("id: {number}\ndata: token {number}\n\n")).collect();
    if answer.is_complete { answer.body == whole } else { whole.starts_with(&answer.body) }
}
