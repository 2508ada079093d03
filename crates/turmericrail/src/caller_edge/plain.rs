//! Handlers of ticket requests and of calls to plain services.

use std::sync::Arc;

use tide::{Request, Response};
use turmericrail_core::at_most_once::{TICKET_LIFETIME_MS, Ticket};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, PlainRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_wire::caller::{MAX_TICKETS, TicketAnswer, TicketBody};

use super::body::{ReceivedBody, decode_body, receive_body};
use super::connection::CallerConnection;
use super::held_body::held_body;
use super::reply::{self, Refusal};
use crate::daemon::Shared;
use crate::daemon::callers::{CallerMessage, ReceivedRequest, call_fingerprint};

const TICKET_HEADER: &str = "idempotency-key";

pub async fn issue_tickets(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request_id();
    let body = receive_body(&mut request).await.and_then(|body| decode_ticket_body(&body.bytes));
    let count = match body {
        Ok(body) => body.count,
        Err(refusal) => return reply::refusal(id, &refusal),
    };
    let messages = shared.callers.register(id, ReceivedRequest::default());
    shared.send_event(Event::TicketRequest { request: id, count });
    match messages.recv().await {
        Ok(CallerMessage::Tickets(tickets)) => {
            let ticket = tickets.first().cloned().unwrap_or_default();
            reply::answer(id, &TicketAnswer { ticket, tickets, valid_ms: TICKET_LIFETIME_MS.0 })
        }
        Ok(CallerMessage::Error { kind, retry_after_ms }) => reply::error(id, kind, retry_after_ms),
        _ => reply::error(id, ErrorKind::NotReady, None),
    }
}

fn decode_ticket_body(body: &[u8]) -> Result<TicketBody, Refusal> {
    if body.is_empty() {
        return Ok(TicketBody::default());
    }
    let body: TicketBody = decode_body(body)?;
    if !(1..=MAX_TICKETS).contains(&body.count) {
        let detail = format!("Ask for 1 to {MAX_TICKETS} tickets in count.");
        return Err(Refusal { kind: ErrorKind::BadRequest, detail });
    }
    Ok(body)
}

pub async fn call(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request_id();
    let ticket = request.header(TICKET_HEADER).map(|values| values.as_str().to_owned());
    let body = match receive_body(&mut request).await {
        Ok(body) => body,
        Err(refusal) => return refuse_unread(id, refusal, ticket.is_some()),
    };
    let ReceivedBody { bytes, held: _held } = body;
    let (received, path) = to_received_request(&request, ticket, bytes);
    let plain_request = PlainRequest {
        request: id,
        method: received.method.clone(),
        path,
        ticket: received.ticket.clone(),
        is_forwarded: false,
        fingerprint: call_fingerprint(&received.method, &received.path, &received.body),
    };
    let connection = request.ext::<CallerConnection>().cloned().unwrap_or_default();
    let ticket = received.ticket.as_ref().and_then(|text| Ticket::unseal(text, &shared.seal_key));
    let is_ticketed = ticket.is_some();
    let messages = shared.callers.register(id, received);
    if !is_ticketed {
        connection.add_request(&shared, id);
    }
    shared.send_event(Event::PlainRequest(plain_request));
    let answer = messages.recv().await;
    connection.remove_request(id);
    match answer {
        Ok(CallerMessage::Plain(answer)) => {
            let mut response = Response::new(answer.status);
            response.insert_header(reply::REQUEST_HEADER, id.to_string());
            response.set_body(held_body(answer.body, &connection));
            if !answer.content_type.is_empty() {
                response.insert_header("content-type", answer.content_type);
            }
            Ok(response)
        }
        Ok(CallerMessage::Error { kind, retry_after_ms }) => {
            reply::plain_error(id, kind, retry_after_ms, is_ticketed)
        }
        _ => reply::error(id, ErrorKind::CallerGone, None),
    }
}

/// Answers that a call's body can't be received.
///
/// With a ticket the outcome is unknown, since an earlier copy of the call may have run.
fn refuse_unread(id: RequestId, refusal: Refusal, is_ticketed: bool) -> tide::Result {
    if !is_ticketed {
        return reply::refusal(id, &refusal);
    }
    let meaning = refusal.kind.answer().meaning;
    let detail = format!("{meaning} {}", refusal.detail);
    reply::refusal(id, &Refusal { kind: ErrorKind::CopyRefused, detail })
}

/// Converts a request; also returns its path without the query.
fn to_received_request(
    request: &Request<Arc<Shared>>,
    ticket: Option<String>,
    body: Vec<u8>,
) -> (ReceivedRequest, String) {
    let url = request.url();
    let path = url.path().to_owned();
    let path_and_query =
        url.query().map_or_else(|| path.clone(), |query| format!("{path}?{query}"));
    let content_type = request.content_type().map(|mime| mime.to_string()).unwrap_or_default();
    let method = request.method().to_string();
    (ReceivedRequest { method, path: path_and_query, ticket, content_type, body }, path)
}
