//! Model calls: the completion request and the continuation of an answer.

use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use tide::{Request, Response};
use turmericrail_core::error_kind::{ErrorKind, Outcome};
use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_core::membership::rendezvous::stable_hash;
use turmericrail_core::units::Tokens;
use turmericrail_wire::body::{Piece, channel_body};
use turmericrail_wire::caller::{CompletionAnswer, CompletionBody, EndEvent, TokenEvent};

use super::connection::Connection;
use super::plain::{decode_body, receive_body};
use super::reply;
use crate::daemon::Shared;
use crate::daemon::callers::{Sent, ToCaller};

/// Bytes of prompt that count as one token in estimates.
const BYTES_PER_TOKEN: u64 = 4;
/// Bytes of prompt between two prefix hashes.
const PREFIX_BLOCK_BYTES: usize = 1_024;
/// Most prefix hashes of one prompt.
const MAX_PREFIX_HASHES: usize = 64;

pub async fn complete(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request();
    let body = match receive_body(&mut request).await {
        Ok(body) => body,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let body: CompletionBody = match decode_body(&body) {
        Ok(body) => body,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let asked = to_request(id, &body);
    let sent = Sent { body: body.prompt.into_bytes(), ..Sent::default() };
    let connection = request.ext::<Connection>().cloned().unwrap_or_default();
    let answers = shared.callers.register(id, sent);
    connection.add(&shared, id);
    shared.tell(Event::ModelRequest(asked));
    match body.stream {
        true => stream_answer(&shared, id, connection, answers).await,
        false => whole_answer(id, connection, answers).await,
    }
}

pub async fn resume(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request();
    let Some(cursor) = request.header("last-event-id").map(|values| values.as_str().to_owned())
    else {
        return reply::error(id, ErrorKind::BadCursor, None);
    };
    let connection = request.ext::<Connection>().cloned().unwrap_or_default();
    if connection.has_ended().await {
        return reply::error(id, ErrorKind::CallerGone, None);
    }
    let answers = shared.callers.register(id, Sent::default());
    connection.add(&shared, id);
    shared.tell(Event::ResumeRequest { request: id, cursor });
    stream_answer(&shared, id, connection, answers).await
}

fn to_request(request: RequestId, body: &CompletionBody) -> ModelRequest {
    let prompt = body.prompt.as_bytes();
    let ends = (1..=MAX_PREFIX_HASHES).map(|block| block * PREFIX_BLOCK_BYTES);
    let prefixes = ends.take_while(|end| *end <= prompt.len()).map(|end| &prompt[..end]);
    ModelRequest {
        request,
        workspace: body.workspace.clone(),
        caller_kind: body.caller_kind.clone(),
        model: body.model.clone(),
        version: body.version.clone(),
        prompt_tokens: Tokens((prompt.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1)),
        max_tokens: body.max_tokens,
        prefix_hashes: prefixes
            .map(|prefix| stable_hash(&String::from_utf8_lossy(prefix)))
            .collect(),
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
                return reply::json(&CompletionAnswer { request: id, outcome, text, count });
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
    shared: &Arc<Shared>,
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
    let (sender, receiver) = async_channel::bounded(1);
    let stall = Duration::from_millis(shared.settings.limits.stall_timeout_ms.0);
    task::spawn(async move {
        let mut next = Some(first);
        while let Some(answer) = next {
            let is_last = matches!(answer, ToCaller::End { .. } | ToCaller::Error { .. });
            if is_last {
                connection.remove(id);
            }
            let is_sent = send_event(&sender, id, answer, stall).await;
            if !is_sent || is_last {
                return;
            }
            next = answers.recv().await.ok();
        }
        let _ = sender.send(Err(std::io::Error::other("the answer was cut off"))).await;
    });
    let body = channel_body(receiver);
    Ok(Response::builder(200)
        .content_type("text/event-stream")
        .header("cache-control", "no-cache")
        .header("x-request-id", id.to_string())
        .body(body)
        .build())
}

async fn send_event(
    sender: &Sender<Piece>,
    id: RequestId,
    answer: ToCaller,
    stall: Duration,
) -> bool {
    let (event, is_cut) = match answer {
        ToCaller::Token { index, text, cursor } => {
            let data = serde_json::to_string(&TokenEvent { index, text });
            (format!("id: {cursor}\nevent: token\ndata: {}\n\n", data.unwrap_or_default()), false)
        }
        ToCaller::End { count } => {
            let data = serde_json::to_string(&EndEvent { outcome: Outcome::Completed, count });
            (format!("event: end\ndata: {}\n\n", data.unwrap_or_default()), false)
        }
        ToCaller::Error { kind, retry_after_ms } => {
            let data = serde_json::to_string(&reply::error_body(id, kind, retry_after_ms));
            (format!("event: error\ndata: {}\n\n", data.unwrap_or_default()), true)
        }
        ToCaller::Tickets(_) | ToCaller::Plain(_) => return true,
    };
    let sending = sender.send(Ok(event.into_bytes()));
    let is_sent = matches!(async_std::future::timeout(stall, sending).await, Ok(Ok(())));
    if is_cut && is_sent {
        let _ = sender.send(Err(std::io::Error::other("the answer was cut off"))).await;
    }
    is_sent
}
