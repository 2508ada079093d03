//! The sending side: one lazy channel for each peer.
//!
//! Messages can be lost; nothing is sent again here. A connection on which a delivery timed out
//! is given up, so that the next message opens a new one. Idle connections cost nothing: they are
//! probed only while a delivery is under way, and closed when unused for long.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use http_types::StatusCode;
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
/// Time between keepalive probes while a delivery is under way.
const KEEPALIVE: Duration = Duration::from_millis(1_000);
/// Time after which an unused connection is closed.
const IDLE_LIMIT: Duration = Duration::from_secs(60);

struct Connection {
    address: SocketAddr,
    channel: Channel,
    used: Instant,
}

/// Channels to peers.
#[derive(Default)]
pub struct Peers {
    connections: Mutex<BTreeMap<InstanceId, Connection>>,
}

impl Peers {
    fn client(&self, peer: &InstanceId, address: SocketAddr) -> Option<PeerClient<Channel>> {
        let used = Instant::now();
        let mut connections = self.connections.lock().unwrap_or_else(|_| std::process::abort());
        let known = connections.get_mut(peer).filter(|known| known.address == address);
        if let Some(known) = known {
            known.used = used;
            return Some(sized_client(known.channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE)
            .keep_alive_timeout(KEEPALIVE)
            .connect_lazy();
        connections.retain(|_, known| used - known.used < IDLE_LIMIT);
        connections.insert(peer.clone(), Connection { address, channel: channel.clone(), used });
        Some(sized_client(channel))
    }

    /// Gives up the connection to a peer.
    fn close(&self, peer: &InstanceId) {
        self.connections.lock().unwrap_or_else(|_| std::process::abort()).remove(peer);
    }
}

fn sized_client(channel: Channel) -> PeerClient<Channel> {
    let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    client.max_encoding_message_size(MAX_MESSAGE_BYTES)
}

fn message_type(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Heartbeat(_) => "heartbeat",
        PeerMessage::Keepalive => "keepalive",
        PeerMessage::MembersRequest(_) => "members_request",
        PeerMessage::Members(_) => "members",
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
    let shared = Arc::clone(shared);
    task::spawn(async move {
        let request = tonic::Request::new(encoded);
        let delivery = async_std::future::timeout(DELIVER_TIMEOUT, client.deliver(request));
        if delivery.await.is_err() {
            shared.peers.close(&to);
        }
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

fn is_status(status: u32) -> bool {
    u16::try_from(status).is_ok_and(|status| StatusCode::try_from(status).is_ok())
}

fn to_result(reply: ForwardReply) -> ForwardResult {
    let is_answer = reply.error_kind.is_empty() && is_status(reply.status);
    if is_answer {
        return ForwardResult::Answered(PlainAnswer {
            status: reply.status as u16,
            content_type: reply.content_type,
            body: reply.body,
        });
    }
    let kind = ErrorKind::ALL.iter().find(|kind| kind.answer().text == reply.error_kind);
    kind.map_or(ForwardResult::Lost, |kind| ForwardResult::Failed(*kind))
}
