//! The sending side: one lazy channel for each peer.
//!
//! Messages can be lost; nothing is sent again here. A connection that goes silent is closed by
//! HTTP/2 keepalive and the next message opens a new one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use prost::Message;
use tonic::transport::{Channel, Endpoint};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, ForwardResult, PlainAnswer};
use turmericrail_core::ids::{InstanceId, RequestId};
use turmericrail_core::message::{Envelope, PeerMessage};
use turmericrail_core::report::Holder;
use turmericrail_core::units::Millis;
use turmericrail_wire::convert;
use turmericrail_wire::peer::peer_client::PeerClient;
use turmericrail_wire::peer::{ForwardReply, ForwardRequest};

use super::MAX_MESSAGE_BYTES;
use crate::daemon::Shared;
use crate::daemon::callers::Sent;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait for the delivery of a message.
const DELIVER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time between keepalive probes.
const KEEPALIVE: Duration = Duration::from_millis(1_000);

/// Channels to peers.
#[derive(Default)]
pub struct Peers {
    channels: Mutex<BTreeMap<InstanceId, (SocketAddr, Channel)>>,
}

impl Peers {
    fn client(&self, peer: &InstanceId, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(|_| std::process::abort());
        let known = channels.get(peer).filter(|(known, _)| *known == address);
        if let Some((_, channel)) = known {
            return Some(sized_client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE)
            .keep_alive_timeout(KEEPALIVE)
            .keep_alive_while_idle(true)
            .connect_lazy();
        channels.insert(peer.clone(), (address, channel.clone()));
        Some(sized_client(channel))
    }
}

fn sized_client(channel: Channel) -> PeerClient<Channel> {
    let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    client.max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn message_type(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::SeatRequest(_) => "seat_request",
        PeerMessage::SeatReply(_) => "seat_reply",
        PeerMessage::Release(_) => "release",
        PeerMessage::Claim(_) => "claim",
        PeerMessage::LeaseCheck(_) => "lease_check",
        PeerMessage::ChangesRequest(_) => "changes_request",
        PeerMessage::Changes(_) => "changes",
        PeerMessage::Document(..) => "document",
    }
}

/// Sends a message.
pub fn send(shared: &Arc<Shared>, to: InstanceId, address: SocketAddr, envelope: &Envelope) {
    let Some(mut client) = shared.peers.client(&to, address) else {
        return;
    };
    let encoded = convert::encode(&shared.settings.deployment, envelope);
    let label = [message_type(&envelope.message)];
    shared.metrics.peer_messages.with_label_values(&label).inc();
    shared.metrics.peer_bytes.with_label_values(&label).inc_by(encoded.encoded_len() as u64);
    task::spawn(async move {
        let mut request = tonic::Request::new(encoded);
        request.set_timeout(DELIVER_TIMEOUT);
        let _ = async_std::future::timeout(DELIVER_TIMEOUT, client.deliver(request)).await;
    });
}

/// Runs a plain call at the instance that issued its ticket.
pub async fn forward(
    shared: Arc<Shared>,
    request: RequestId,
    home: Holder,
    address: SocketAddr,
    timeout_ms: Millis,
) {
    let Some(sent) = shared.callers.sent(request) else {
        return;
    };
    let reply = call_home(&shared, &home, &sent, address, timeout_ms).await;
    let result = reply.map_or(ForwardResult::Lost, to_result);
    shared.tell(Event::ForwardResult(request, result));
}

async fn call_home(
    shared: &Shared,
    home: &Holder,
    sent: &Sent,
    address: SocketAddr,
    timeout_ms: Millis,
) -> Result<ForwardReply, String> {
    let client = shared.peers.client(&home.instance, address);
    let mut client = client.ok_or_else(|| "bad peer address".to_owned())?;
    let request = ForwardRequest {
        deployment: shared.settings.deployment.clone(),
        home: Some(convert::encode_holder(home)),
        method: sent.method.clone(),
        path: sent.path.clone(),
        ticket: sent.ticket.clone().unwrap_or_default(),
        content_type: sent.content_type.clone(),
        body: sent.body.clone(),
    };
    let timeout = CONNECT_TIMEOUT + Duration::from_millis(timeout_ms.0);
    let calling = async_std::future::timeout(timeout, client.forward(request)).await;
    let reply = calling.map_err(|error| error.to_string())?;
    reply.map(tonic::Response::into_inner).map_err(|status| status.message().to_owned())
}

fn to_result(reply: ForwardReply) -> ForwardResult {
    if reply.error_kind.is_empty() {
        return ForwardResult::Answered(PlainAnswer {
            status: reply.status as u16,
            content_type: reply.content_type,
            body: reply.body,
        });
    }
    let kind = ErrorKind::ALL.iter().find(|kind| kind.answer().text == reply.error_kind);
    kind.map_or(ForwardResult::Lost, |kind| ForwardResult::Failed(*kind))
}
