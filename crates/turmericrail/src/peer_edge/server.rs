//! Receives messages and forwarded calls from peers.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_std::task;
use tonic::transport::Server;
use tonic::{Request, Response, Status};
use turmericrail_core::event::{Event, PlainRequest};
use turmericrail_wire::convert;
use turmericrail_wire::peer::peer_server::{Peer, PeerServer};
use turmericrail_wire::peer::{Delivered, Envelope, ForwardReply, ForwardRequest};

use super::MAX_MESSAGE_BYTES;
use crate::daemon::Shared;
use crate::daemon::callers::{CallerMessage, ReceivedRequest, call_fingerprint};
use crate::error::StartError;

struct PeerEdge {
    shared: Arc<Shared>,
    /// Monotonic time in whole seconds, plus one, at which a refusal was last logged; zero if none
    /// was.
    last_logged_second: AtomicU64,
}

impl PeerEdge {
    /// Counts a refused message; at most one is logged per second.
    fn refuse(&self, reason: &str, sender: &str, status: &Status) {
        self.shared.metrics.peer_refusals.with_label_values(&[reason]).inc();
        let second = self.shared.now().monotonic_ms.0 / 1_000 + 1;
        if self.last_logged_second.swap(second, Ordering::Relaxed) != second {
            let problem = status.message();
            spdlog::warn!(
                "event=peer_refused reason={reason} sender={sender:?} problem={problem:?}"
            );
        }
    }

    fn check_deployment(&self, deployment: &str) -> Result<(), Status> {
        if deployment != self.shared.settings.deployment {
            let problem = format!(
                "this instance belongs to deployment {:?}",
                self.shared.settings.deployment
            );
            let status = Status::permission_denied(problem);
            self.refuse("deployment", deployment, &status);
            return Err(status);
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl Peer for PeerEdge {
    async fn deliver(&self, request: Request<Envelope>) -> Result<Response<Delivered>, Status> {
        let envelope = request.into_inner();
        self.check_deployment(&envelope.deployment)?;
        let sender = envelope.from.as_ref().map(|from| from.instance.clone()).unwrap_or_default();
        match convert::decode(envelope) {
            Ok(envelope) => {
                self.shared.send_event(Event::Peer(envelope));
                Ok(Response::new(Delivered {}))
            }
            Err(error) => {
                let status = Status::invalid_argument(error.to_string());
                self.refuse("malformed", &sender, &status);
                Err(status)
            }
        }
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<ForwardReply>, Status> {
        let forwarded = request.into_inner();
        self.check_deployment(&forwarded.deployment)?;
        let request = self.shared.next_request_id();
        let plain_request = PlainRequest {
            request,
            method: forwarded.method.clone(),
            path: forwarded.path.split('?').next().unwrap_or_default().to_owned(),
            ticket: Some(forwarded.ticket.clone()),
            is_forwarded: true,
            fingerprint: call_fingerprint(&forwarded.method, &forwarded.path, &forwarded.body),
        };
        let received = ReceivedRequest {
            method: forwarded.method,
            path: forwarded.path,
            ticket: Some(forwarded.ticket),
            content_type: forwarded.content_type,
            body: forwarded.body,
        };
        let messages = self.shared.callers.register(request, received);
        self.shared.send_event(Event::PlainRequest(plain_request));
        let answer = messages.recv().await.map_err(|_| Status::unavailable("no answer"))?;
        Ok(Response::new(to_reply(answer)))
    }
}

fn to_reply(answer: CallerMessage) -> ForwardReply {
    match answer {
        CallerMessage::Plain(answer) => ForwardReply {
            status: u32::from(answer.status),
            content_type: answer.content_type,
            body: answer.body,
            ..ForwardReply::default()
        },
        CallerMessage::Error { kind, retry_after_ms } => ForwardReply {
            error_kind: kind.to_string(),
            retry_after_ms: retry_after_ms.unwrap_or_default().0,
            ..ForwardReply::default()
        },
        _ => ForwardReply::default(),
    }
}

/// Serves peers on the peer listen address; the process exits if serving fails later.
pub async fn listen(shared: &Arc<Shared>) -> Result<(), StartError> {
    let address = shared.settings.peer_listen_address.unwrap_or(shared.settings.peer_address);
    // `serve` binds the address in a task, so an address that can't be bound is detected here.
    let bound = std::net::TcpListener::bind(address);
    bound.map_err(|source| StartError::Listen { address, source })?;
    let edge = PeerEdge { shared: Arc::clone(shared), last_logged_second: AtomicU64::new(0) };
    let service = PeerServer::new(edge)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    task::spawn(async move {
        let server = Server::builder().add_service(service).serve(address);
        if let Err(error) = server.await {
            spdlog::error!("event=peer_edge_error address={address} error={:?}", error.to_string());
            std::process::exit(1);
        }
    });
    Ok(())
}
