//! Final answers as HTTP responses.

use tide::{Body, Response};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Millis;
use turmericrail_wire::caller::ErrorBody;

/// The body of a final answer.
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

/// The response of a final answer.
pub fn error(request: RequestId, kind: ErrorKind, retry_after_ms: Option<Millis>) -> tide::Result {
    let body = error_body(request, kind, retry_after_ms);
    let mut response = Response::new(kind.answer().status);
    if let Some(wait) = retry_after_ms {
        response.insert_header("retry-after", wait.0.div_ceil(1_000).max(1).to_string());
    }
    response.set_body(Body::from_json(&body)?);
    Ok(response)
}

/// A JSON response.
pub fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(Body::from_json(value)?).build())
}
