//! Serialises answers to callers as HTTP/1.1.

use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::units::Millis;
use turmericrail_platform::answer;
use turmericrail_wire::http1::{Header, Headers, ResponseHead};

/// `Retry-After` if the refusal names none: about the time of one answer.
const DEFAULT_RETRY_AFTER_MS: Millis = Millis(300);

/// An error answer of the router itself. That to a HEAD request has no body, and names the length
/// of the one that a GET would return.
pub fn error_answer(
    kind: ErrorKind,
    retry_after_ms: Option<Millis>,
    request_id: Option<&str>,
    is_head_call: bool,
    is_kept_alive: bool,
) -> Vec<u8> {
    let row = kind.answer();
    let body = serde_json::json!({
        "error": row.text,
        "outcome": row.outcome.as_str(),
        "message": row.meaning,
    })
    .to_string();
    let mut fields = vec![Header::new("Content-Type", "application/json")];
    fields.extend(request_id.map(answer::request_id_header));
    if row.has_retry_after {
        let wait_ms = retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        fields.push(Header::new("Retry-After", format!("{:.3}", wait_ms.0 as f64 / 1_000.0)));
    }
    let reason = reason_phrase(row.status);
    let mut bytes = body_head(row.status, reason, fields, body.len(), is_kept_alive);
    if !is_head_call {
        bytes.extend_from_slice(body.as_bytes());
    }
    bytes
}

/// The head of a whole answer of a backend server, and how much of the body is to follow it.
pub fn server_answer_head(
    head: &ResponseHead,
    body: &[u8],
    is_head_call: bool,
    is_kept_alive: bool,
) -> (Vec<u8>, usize) {
    let mut fields = answer::client_headers(head);
    if is_head_call {
        // A HEAD answer names the length of the body that a GET would return.
        fields.extend(
            head.headers.0.iter().filter(|field| field.has_name("content-length")).cloned(),
        );
        return (answer_head(head.status, &head.reason, fields, is_kept_alive), 0);
    }
    let bytes = body_head(head.status, &head.reason, fields, body.len(), is_kept_alive);
    (bytes, body.len())
}

/// The head of a streamed answer. The body is sent in chunks, or up to the end of the connection if
/// the caller speaks HTTP/1.0.
pub fn stream_head(head: &ResponseHead, is_chunked: bool, is_kept_alive: bool) -> Vec<u8> {
    let mut fields = answer::client_headers(head);
    if is_chunked {
        fields.push(Header::new("Transfer-Encoding", "chunked"));
    }
    answer_head(head.status, &head.reason, fields, is_kept_alive)
}

/// An answer without a body of its own, for another instance.
pub fn bare_answer(
    status: u16,
    fields: &[(&str, &str)],
    request_id: Option<&str>,
    is_kept_alive: bool,
) -> Vec<u8> {
    let mut headers: Vec<_> =
        fields.iter().map(|(name, value)| Header::new(*name, *value)).collect();
    headers.extend(request_id.map(answer::request_id_header));
    body_head(status, reason_phrase(status), headers, 0, is_kept_alive)
}

/// The head of an answer whose body has this length.
fn body_head(
    status: u16,
    reason: &str,
    mut fields: Vec<Header>,
    body_bytes: usize,
    is_kept_alive: bool,
) -> Vec<u8> {
    let has_body = status >= 200 && status != 204 && status != 304;
    if has_body {
        fields.push(Header::new("Content-Length", body_bytes.to_string()));
    }
    answer_head(status, reason, fields, is_kept_alive)
}

fn answer_head(status: u16, reason: &str, mut fields: Vec<Header>, is_kept_alive: bool) -> Vec<u8> {
    if !is_kept_alive {
        fields.push(Header::new("Connection", "close"));
    }
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    Headers(fields).write_to(&mut bytes);
    bytes
}

fn reason_phrase(status: u16) -> &'static str {
    http_types::StatusCode::try_from(status).map_or("", |status| status.canonical_reason())
}
