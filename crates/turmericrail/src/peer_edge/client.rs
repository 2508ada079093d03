//! Sends messages to peers, over one channel per peer that connects on first use.
//!
//! Messages can be lost and are not sent again here. When a delivery is slow, the next messages go
//! over a new connection, while the delivery may still end on the old one. Idle channels cause no
//! traffic, since keepalive probes are sent only during a delivery. Channels that were unused for
//! long are dropped when a new one is opened.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use futures_lite::FutureExt;
use futures_lite::future;
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
use crate::daemon::callers::ReceivedRequest;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const DELIVER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time after which a delivery is slow: some round trips between data centres, and as long as a
/// caller's request waits for the owner of an engine.
const SLOW_DELIVERY: Duration = Duration::from_millis(300);
/// Time between keepalive probes during a delivery, and longest wait for their answers.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Channels unused for longer are dropped when a new one is opened.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

struct PeerChannel {
    /// Tells the channel from later ones to the same peer.
    number: u64,
    address: SocketAddr,
    channel: Channel,
    last_used: Instant,
}

/// Channels to peers, by instance.
#[derive(Default)]
pub struct PeerChannels {
    channels: Mutex<BTreeMap<InstanceId, PeerChannel>>,
    opened_count: AtomicU64,
}

impl PeerChannels {
    /// Returns a client for a peer with the number of its channel; opens a channel if there is none
    /// to this address. `None` if the address can't be used in a URL.
    fn client(&self, peer: &InstanceId, address: SocketAddr) -> Option<(u64, PeerClient<Channel>)> {
        let now = Instant::now();
        let mut channels = self.channels.lock().unwrap_or_else(|_| std::process::abort());
        let known = channels.get_mut(peer).filter(|known| known.address == address);
        if let Some(known) = known {
            known.last_used = now;
            return Some((known.number, client_with_limits(known.channel.clone())));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEPALIVE_INTERVAL)
            .keep_alive_timeout(KEEPALIVE_INTERVAL)
            .connect_lazy();
        channels.retain(|_, known| now - known.last_used < IDLE_TIMEOUT);
        let number = self.opened_count.fetch_add(1, Ordering::Relaxed);
        let opened = PeerChannel { number, address, channel: channel.clone(), last_used: now };
        channels.insert(peer.clone(), opened);
        Some((number, client_with_limits(channel)))
    }

    /// Drops this channel to a peer, unless a later one has taken its place.
    fn drop_channel(&self, peer: &InstanceId, number: u64) {
        let mut channels = self.channels.lock().unwrap_or_else(|_| std::process::abort());
        if channels.get(peer).is_some_and(|known| known.number == number) {
            channels.remove(peer);
        }
    }
}

/// Creates a client with the message size limits of the peer edge.
fn client_with_limits(channel: Channel) -> PeerClient<Channel> {
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

/// Sends a message without waiting for its delivery; failures are not reported.
pub fn send(shared: &Arc<Shared>, to: InstanceId, address: SocketAddr, envelope: &Envelope) {
    let Some((number, mut client)) = shared.peer_channels.client(&to, address) else {
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
        let replacement = async {
            task::sleep(SLOW_DELIVERY).await;
            spdlog::debug!("event=peer_channel_slow peer={to}");
            shared.peer_channels.drop_channel(&to, number);
            future::pending().await
        };
        let _ = delivery.or(replacement).await;
    });
}

/// Forwards a plain call to the instance that issued its ticket and reports the result.
pub async fn forward_call(
    shared: Arc<Shared>,
    request: RequestId,
    home: Holder,
    address: SocketAddr,
    timeout_ms: Millis,
) {
    let Some(received) = shared.callers.received_request(request) else {
        return;
    };
    let reply = call_home_instance(&shared, &home, &received, address, timeout_ms).await;
    let result = reply.map_or(ForwardResult::Lost, to_forward_result);
    shared.send_event(Event::ForwardResult(request, result));
}

async fn call_home_instance(
    shared: &Shared,
    home: &Holder,
    received: &ReceivedRequest,
    address: SocketAddr,
    timeout_ms: Millis,
) -> Result<ForwardReply, String> {
    let client = shared.peer_channels.client(&home.instance, address);
    let (_, mut client) = client.ok_or_else(|| "bad peer address".to_owned())?;
    let request = ForwardRequest {
        deployment: shared.settings.deployment.clone(),
        home: Some(convert::encode_holder(home)),
        method: received.method.clone(),
        path: received.path.clone(),
        ticket: received.ticket.clone().unwrap_or_default(),
        content_type: received.content_type.clone(),
        body: received.body.clone(),
    };
    let timeout = CONNECT_TIMEOUT + Duration::from_millis(timeout_ms.0);
    let response = async_std::future::timeout(timeout, client.forward(request)).await;
    let reply = response.map_err(|error| error.to_string())?;
    reply.map(tonic::Response::into_inner).map_err(|status| status.message().to_owned())
}

fn is_http_status(status: u32) -> bool {
    u16::try_from(status).is_ok_and(|status| StatusCode::try_from(status).is_ok())
}

/// Converts a reply; one that is neither an answer nor a known error counts as lost.
fn to_forward_result(reply: ForwardReply) -> ForwardResult {
    let is_answer = reply.error_kind.is_empty() && is_http_status(reply.status);
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
