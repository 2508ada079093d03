//! Tickets and calls to plain services.

use std::sync::Arc;
use std::time::Duration;

use async_std::io::ReadExt;
use tide::{Request, Response};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, PlainRequest};
use turmericrail_wire::caller::TicketAnswer;

use super::reply;
use crate::daemon::Shared;
use crate::daemon::callers::{Sent, ToCaller};

/// Header that carries a ticket.
const TICKET_HEADER: &str = "idempotency-key";

/// Receives a body within the limits.
pub async fn receive_body(request: &mut Request<Arc<Shared>>) -> Result<Vec<u8>, ErrorKind> {
    let limits = request.state().settings.limits.clone();
    let limit = limits.max_body_bytes.0;
    if request.len().is_some_and(|length| length as u64 > limit) {
        return Err(ErrorKind::TooLarge);
    }
    let timeout = Duration::from_millis(limits.receive_timeout_ms.0);
    let mut body = Vec::new();
    let mut limited = request.take(limit + 1);
    let reading = async_std::io::timeout(timeout, limited.read_to_end(&mut body)).await;
    reading.map_err(|_| ErrorKind::BadRequest)?;
    if body.len() as u64 > limit {
        return Err(ErrorKind::TooLarge);
    }
    Ok(body)
}

pub async fn issue_ticket(request: Request<Arc<Shared>>) -> tide::Result {
    let shared = request.state();
    let id = shared.next_request();
    let answers = shared.callers.register(id, Sent::default());
    shared.tell(Event::TicketRequest(id));
    match answers.recv().await {
        Ok(ToCaller::Ticket(ticket)) => reply::json(&TicketAnswer { ticket }),
        Ok(ToCaller::Error { kind, retry_after_ms }) => reply::error(id, kind, retry_after_ms),
        _ => reply::error(id, ErrorKind::NotReady, None),
    }
}

pub async fn call(mut request: Request<Arc<Shared>>) -> tide::Result {
    let shared = Arc::clone(request.state());
    let id = shared.next_request();
    let body = match receive_body(&mut request).await {
        Ok(body) => body,
        Err(kind) => return reply::error(id, kind, None),
    };
    let ticket = request.header(TICKET_HEADER).map(|values| values.as_str().to_owned());
    let url = request.url();
    let path = url.path().to_owned();
    let full_path = url.query().map_or_else(|| path.clone(), |query| format!("{path}?{query}"));
    let method = request.method().to_string();
    let content_type = request.content_type().map(|mime| mime.to_string()).unwrap_or_default();
    let sent = Sent {
        method: method.clone(),
        path: full_path,
        ticket: ticket.clone(),
        content_type,
        body,
    };
    let answers = shared.callers.register(id, sent);
    shared.tell(Event::PlainRequest(PlainRequest {
        request: id,
        method,
        path,
        ticket,
        is_forwarded: false,
    }));
    match answers.recv().await {
        Ok(ToCaller::Plain(answer)) => {
            let mut response = Response::new(answer.status);
            response.insert_header("x-request-id", id.to_string());
            response.set_body(answer.body);
            if !answer.content_type.is_empty() {
                response.insert_header("content-type", answer.content_type);
            }
            Ok(response)
        }
        Ok(ToCaller::Error { kind, retry_after_ms }) => reply::error(id, kind, retry_after_ms),
        _ => reply::error(id, ErrorKind::ServerLost, None),
    }
}
