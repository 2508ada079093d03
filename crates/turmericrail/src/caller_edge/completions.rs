//! Handlers of model calls: completion requests and resumption of an interrupted answer.

use std::sync::Arc;

use async_channel::Receiver;
use tide::{Request, Response};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Tokens;
use turmericrail_wire::body::{BodyPart, BodyStatus, message_body};
use turmericrail_wire::caller::{CompletionAnswer, CompletionBody, EndEvent, TokenEvent};

use super::body::{decode_body, receive_body};
use super::connection::CallerConnection;
use super::prefixes::prefix_hashes;
use super::reply::{self, Refusal};
use crate::caller_memory::HeldBytes;
use crate::daemon::Shared;
use crate::daemon::callers::{CallerMessage, ReceivedRequest, completion_fingerprint};

/// Estimate of the prompt bytes per token.
const BYTES_PER_TOKEN: u64 = 4;

pub async fn complete(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request_id();
    let (body, _held) = match receive_completion(&mut request).await {
        Ok(body_and_held) => body_and_held,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let model_request = to_model_request(id, &body);
    let wants_stream = body.stream;
    let received = to_received_request(body.prompt);
    let connection = request.ext::<CallerConnection>().cloned().unwrap_or_default();
    let messages = shared.callers.register(id, received);
    connection.add_request(&shared, id);
    shared.send_event(Event::ModelRequest(model_request));
    match wants_stream {
        true => stream_answer(id, connection, messages).await,
        false => send_whole_answer(id, connection, messages).await,
    }
}

pub async fn resume(request: Request<Arc<Shared>>) -> tide::Result {
    let id = request.state().next_request_id();
    start_resumption(id, &request, ReceivedRequest::default(), None).await
}

pub async fn resume_with_request(mut request: Request<Arc<Shared>>) -> tide::Result {
    let id = request.state().next_request_id();
    let (body, _held) = match receive_completion(&mut request).await {
        Ok(body_and_held) => body_and_held,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let model_request = to_model_request(id, &body);
    start_resumption(id, &request, to_received_request(body.prompt), Some(model_request)).await
}

async fn start_resumption(
    id: RequestId,
    request: &Request<Arc<Shared>>,
    received: ReceivedRequest,
    model_request: Option<ModelRequest>,
) -> tide::Result {
    let shared = request.state();
    let Some(cursor) = request.header("last-event-id").map(|values| values.as_str().to_owned())
    else {
        return reply::error(id, ErrorKind::BadCursor, None);
    };
    let connection = request.ext::<CallerConnection>().cloned().unwrap_or_default();
    if connection.is_closed_by_caller().await {
        return reply::error(id, ErrorKind::CallerGone, None);
    }
    let messages = shared.callers.register(id, received);
    connection.add_request(shared, id);
    shared.send_event(Event::ResumeRequest { request: id, cursor, model_request });
    stream_answer(id, connection, messages).await
}

/// Receives and decodes the body; its memory is to be held until the request is answered.
async fn receive_completion(
    request: &mut Request<Arc<Shared>>,
) -> Result<(CompletionBody, HeldBytes), Refusal> {
    let received_body = receive_body(request).await?;
    let body = decode_body(&received_body.bytes)?;
    Ok((body, received_body.held))
}

/// Stores the prompt for the backend edge.
fn to_received_request(prompt: String) -> ReceivedRequest {
    ReceivedRequest { body: prompt.into_bytes(), ..ReceivedRequest::default() }
}

fn to_model_request(request: RequestId, body: &CompletionBody) -> ModelRequest {
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

async fn send_whole_answer(
    id: RequestId,
    connection: CallerConnection,
    messages: Receiver<CallerMessage>,
) -> tide::Result {
    let mut text = String::new();
    while let Ok(answer) = messages.recv().await {
        match answer {
            CallerMessage::Token { text: token, .. } => text.push_str(&token),
            CallerMessage::End { count } => {
                connection.remove_request(id);
                let outcome = Outcome::Completed;
                return reply::answer(id, &CompletionAnswer { request: id, outcome, text, count });
            }
            CallerMessage::Error { kind, retry_after_ms } => {
                connection.remove_request(id);
                return reply::error(id, kind, retry_after_ms);
            }
            CallerMessage::Tickets(_) | CallerMessage::Plain(_) => {}
        }
    }
    reply::error(id, ErrorKind::CallerGone, None)
}

async fn stream_answer(
    id: RequestId,
    connection: CallerConnection,
    messages: Receiver<CallerMessage>,
) -> tide::Result {
    let first = match messages.recv().await {
        Ok(CallerMessage::Error { kind, retry_after_ms }) => {
            connection.remove_request(id);
            return reply::error(id, kind, retry_after_ms);
        }
        Ok(first) => first,
        Err(_) => return reply::error(id, ErrorKind::CallerGone, None),
    };
    let first = to_body_part(id, &connection, Some(first));
    let body = message_body(first, messages, move |answer| to_body_part(id, &connection, answer));
    Ok(Response::builder(200)
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .header(reply::REQUEST_HEADER, id.to_string())
        .body(body)
        .build())
}

/// Encodes a message as a server-sent event.
///
/// A closed channel cuts the connection, so that the caller can't take the answer for complete.
fn to_body_part(
    id: RequestId,
    connection: &CallerConnection,
    answer: Option<CallerMessage>,
) -> BodyPart {
    let (event, status) = match answer {
        Some(CallerMessage::Token { index, text, cursor }) => {
            let data = serde_json::to_string(&TokenEvent { index, text }).unwrap_or_default();
            (format!("id: {cursor}\nevent: token\ndata: {data}\n\n"), BodyStatus::More)
        }
        Some(CallerMessage::End { count }) => {
            let end = EndEvent { outcome: Outcome::Completed, count };
            let data = serde_json::to_string(&end).unwrap_or_default();
            (format!("event: end\ndata: {data}\n\n"), BodyStatus::End)
        }
        Some(CallerMessage::Error { kind, retry_after_ms }) => {
            let body = reply::error_body(id, kind, retry_after_ms);
            let data = serde_json::to_string(&body).unwrap_or_default();
            (format!("event: error\ndata: {data}\n\n"), BodyStatus::Abort)
        }
        Some(CallerMessage::Tickets(_) | CallerMessage::Plain(_)) => {
            (String::new(), BodyStatus::More)
        }
        None => (String::new(), BodyStatus::Abort),
    };
    if status != BodyStatus::More {
        connection.remove_request(id);
    }
    BodyPart { bytes: event.into_bytes(), status }
}
