//! Model calls: the completion request and the continuation of an answer.

use std::sync::Arc;

use async_channel::Receiver;
use tide::{Request, Response};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Tokens;
use turmericrail_wire::body::{BodyPart, BodyStatus, message_body};
use turmericrail_wire::caller::{CompletionAnswer, CompletionBody, EndEvent, TokenEvent};

use super::body::{BodyPermit, decode_body, receive_body};
use super::connection::Connection;
use super::prefixes::prefix_hashes;
use super::reply::{self, Refusal};
use crate::daemon::Shared;
use crate::daemon::callers::{Sent, ToCaller, completion_fingerprint};

/// Bytes of prompt that count as one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;

pub async fn complete(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request();
    let (body, _permit) = match receive_completion(&mut request).await {
        Ok(received) => received,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let asked = to_request(id, &body);
    let is_streamed = body.stream;
    let sent = to_sent(body.prompt);
    let connection = request.ext::<Connection>().cloned().unwrap_or_default();
    let answers = shared.callers.register(id, sent);
    connection.add(&shared, id);
    shared.tell(Event::ModelRequest(asked));
    match is_streamed {
        true => stream_answer(id, connection, answers).await,
        false => whole_answer(id, connection, answers).await,
    }
}

pub async fn resume(request: Request<Arc<Shared>>) -> tide::Result {
    let id = request.state().next_request();
    start_resumption(id, &request, Sent::default(), None).await
}

pub async fn resume_with_request(mut request: Request<Arc<Shared>>) -> tide::Result {
    let id = request.state().next_request();
    let (body, _permit) = match receive_completion(&mut request).await {
        Ok(received) => received,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let asked = to_request(id, &body);
    start_resumption(id, &request, to_sent(body.prompt), Some(asked)).await
}

async fn start_resumption(
    id: RequestId,
    request: &Request<Arc<Shared>>,
    sent: Sent,
    asked: Option<ModelRequest>,
) -> tide::Result {
    let shared = request.state();
    let Some(cursor) = request.header("last-event-id").map(|values| values.as_str().to_owned())
    else {
        return reply::error(id, ErrorKind::BadCursor, None);
    };
    let connection = request.ext::<Connection>().cloned().unwrap_or_default();
    if connection.has_ended().await {
        return reply::error(id, ErrorKind::CallerGone, None);
    }
    let answers = shared.callers.register(id, sent);
    connection.add(shared, id);
    shared.tell(Event::ResumeRequest { request: id, cursor, asked });
    stream_answer(id, connection, answers).await
}

/// The request and its part of the memory for bodies, kept while the request is answered.
async fn receive_completion(
    request: &mut Request<Arc<Shared>>,
) -> Result<(CompletionBody, BodyPermit), Refusal> {
    let received = receive_body(request).await?;
    let body = decode_body(&received.bytes)?;
    Ok((body, received.permit))
}

/// What the backend edge needs of a model call.
fn to_sent(prompt: String) -> Sent {
    Sent { body: prompt.into_bytes(), ..Sent::default() }
}

fn to_request(request: RequestId, body: &CompletionBody) -> ModelRequest {
    ModelRequest {
        request,
        workspace: body.workspace.clone(),
        caller_kind: body.caller_kind.clone(),
        model: body.model.clone(),
        version: body.version.clone(),
        adapter: body.adapter.clone(),
        prompt_tokens: Tokens((body.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)),
        max_tokens: body.max_tokens,
        prefix_hashes: prefix_hashes(&body.model, body.adapter.as_ref(), &body.prompt),
        fingerprint: completion_fingerprint(body),
    }
}

async fn whole_answer(
    id: RequestId,
    connection: Connection,
    answers: Receiver<ToCaller>,
) -> tide::Result {
    let mut text = String::new();
    while let Ok(answer) = answers.recv().await {
        match answer {
            ToCaller::Token { text: token, .. } => text.push_str(&token),
            ToCaller::End { count } => {
                connection.remove(id);
                let outcome = Outcome::Completed;
                return reply::answer(id, &CompletionAnswer { request: id, outcome, text, count });
            }
            ToCaller::Error { kind, retry_after_ms } => {
                connection.remove(id);
                return reply::error(id, kind, retry_after_ms);
            }
            ToCaller::Tickets(_) | ToCaller::Plain(_) => {}
        }
    }
    reply::error(id, ErrorKind::CallerGone, None)
}

async fn stream_answer(
    id: RequestId,
    connection: Connection,
    answers: Receiver<ToCaller>,
) -> tide::Result {
    let first = match answers.recv().await {
        Ok(ToCaller::Error { kind, retry_after_ms }) => {
            connection.remove(id);
            return reply::error(id, kind, retry_after_ms);
        }
        Ok(first) => first,
        Err(_) => return reply::error(id, ErrorKind::CallerGone, None),
    };
    let first = to_part(id, &connection, Some(first));
    let body = message_body(first, answers, move |answer| to_part(id, &connection, answer));
    Ok(Response::builder(200)
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .header(reply::REQUEST_HEADER, id.to_string())
        .body(body)
        .build())
}

/// The event of an answer; a closed channel cuts the body, so that the caller sees no clean end.
fn to_part(id: RequestId, connection: &Connection, answer: Option<ToCaller>) -> BodyPart {
    let (event, status) = match answer {
        Some(ToCaller::Token { index, text, cursor }) => {
            let data = serde_json::to_string(&TokenEvent { index, text }).unwrap_or_default();
            (format!("id: {cursor}\nevent: token\ndata: {data}\n\n"), BodyStatus::More)
        }
        Some(ToCaller::End { count }) => {
            let end = EndEvent { outcome: Outcome::Completed, count };
            let data = serde_json::to_string(&end).unwrap_or_default();
            (format!("event: end\ndata: {data}\n\n"), BodyStatus::End)
        }
        Some(ToCaller::Error { kind, retry_after_ms }) => {
            let body = reply::error_body(id, kind, retry_after_ms);
            let data = serde_json::to_string(&body).unwrap_or_default();
            (format!("event: error\ndata: {data}\n\n"), BodyStatus::Abort)
        }
        Some(ToCaller::Tickets(_) | ToCaller::Plain(_)) => (String::new(), BodyStatus::More),
        None => (String::new(), BodyStatus::Abort),
    };
    if status != BodyStatus::More {
        connection.remove(id);
    }
    BodyPart { bytes: event.into_bytes(), status }
}
