//! HTTP responses with final answers.

use tide::{Body, Response, StatusCode};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Millis;
use turmericrail_wire::caller::ErrorBody;

/// Carries the request id, the argument of `turmericctl explain`.
pub const REQUEST_HEADER: &str = "x-request-id";

/// `retry-after` for callers that are refused before the coordinator sees the request.
const EDGE_RETRY_AFTER_MS: Millis = Millis(1_000);

/// Refusal of a request before the coordinator sees it.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub kind: ErrorKind,
    /// What is wrong and what to change, for the caller.
    pub detail: String,
}

/// The JSON body of an error answer, with the kind's meaning as its message.
pub fn error_body(
    request: RequestId,
    kind: ErrorKind,
    retry_after_ms: Option<Millis>,
) -> ErrorBody {
    let answer = kind.answer();
    ErrorBody {
        request,
        error: kind,
        outcome: answer.outcome,
        message: answer.meaning.to_owned(),
        retry_after_ms: retry_after_ms.map(|wait| wait.0),
    }
}

/// An HTTP answer with the status, JSON body and `retry-after` of an error kind.
pub fn error(request: RequestId, kind: ErrorKind, retry_after_ms: Option<Millis>) -> tide::Result {
    error_response(&error_body(request, kind, retry_after_ms), kind, retry_after_ms)
}

fn error_response(
    body: &ErrorBody,
    kind: ErrorKind,
    retry_after_ms: Option<Millis>,
) -> tide::Result {
    let mut response = Response::new(kind.answer().status);
    response.insert_header(REQUEST_HEADER, body.request.to_string());
    if let Some(wait) = retry_after_ms {
        response.insert_header("retry-after", wait.0.div_ceil(1_000).max(1).to_string());
    }
    response.set_body(Body::from_json(body)?);
    Ok(response)
}

/// Builds the answer to a refused request, with the detail appended to the message.
pub fn refusal(request: RequestId, refusal: &Refusal) -> tide::Result {
    let has_retry_after = refusal.kind.answer().has_retry_after;
    let retry_after_ms = has_retry_after.then_some(EDGE_RETRY_AFTER_MS);
    let mut body = error_body(request, refusal.kind, retry_after_ms);
    body.message = format!("{} {}", body.message, refusal.detail);
    error_response(&body, refusal.kind, retry_after_ms)
}

/// Builds the error answer of a plain call.
///
/// A ticket whose call was not run can't be used again, which the message says.
pub fn plain_error(
    request: RequestId,
    kind: ErrorKind,
    retry_after_ms: Option<Millis>,
    is_ticketed: bool,
) -> tide::Result {
    let is_not_run = kind.answer().outcome == Outcome::NotRun;
    if !is_ticketed || !is_not_run {
        return error(request, kind, retry_after_ms);
    }
    let mut body = error_body(request, kind, retry_after_ms);
    body.message = format!("{} The ticket is closed: take a new one to send again.", body.message);
    error_response(&body, kind, retry_after_ms)
}

/// Builds a whole HTTP response for errors that occur before the HTTP library has a request.
pub fn raw_error(request: RequestId, kind: ErrorKind, detail: &str) -> Vec<u8> {
    let retry_after_ms = kind.answer().has_retry_after.then_some(EDGE_RETRY_AFTER_MS);
    let mut body = error_body(request, kind, retry_after_ms);
    body.message = format!("{} {detail}", body.message).trim_end().to_owned();
    let body = serde_json::to_string(&body).unwrap_or_default();
    let status = StatusCode::try_from(kind.answer().status);
    let status = status.unwrap_or(StatusCode::BadRequest);
    let retry_after = match retry_after_ms {
        Some(wait) => format!("retry-after: {}\r\n", wait.0.div_ceil(1_000)),
        None => String::new(),
    };
    let length = body.len();
    format!(
        "HTTP/1.1 {} {}\r\n{REQUEST_HEADER}: {request}\r\n{retry_after}content-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{body}",
        status as u16,
        status.canonical_reason()
    )
    .into_bytes()
}

/// Builds the answer of a completed request.
pub fn answer(request: RequestId, value: &impl serde::Serialize) -> tide::Result {
    let mut response = json(value)?;
    response.insert_header(REQUEST_HEADER, request.to_string());
    Ok(response)
}

/// A JSON answer with status 200 and without a request id.
pub fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(Body::from_json(value)?).build())
}
