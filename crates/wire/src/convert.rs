//! Conversion between the messages of `turmericrail-core` and the types that are generated from
//! `peer.proto`.
//!
//! A message with a missing field or a malformed id is refused as a whole.

use std::str::FromStr;

use thiserror::Error;
use turmericrail_core::config::Change;
use turmericrail_core::ids::{ConfigVersion, Incarnation, RequestId};
use turmericrail_core::message::{Envelope, PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Millis};
use turmericrail_core::weights::Weights;

use crate::convert_members::{
    decode_heartbeat, decode_members, decode_members_request, encode_heartbeat, encode_members,
    encode_members_request,
};
use crate::peer;
use crate::peer::envelope::Message;

/// Why a message was refused.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConvertError {
    /// Name of a missing field.
    #[error("the message lacks {0}")]
    Missing(&'static str),
    /// Name of a field that can't be parsed, and the reason.
    #[error("bad {0} in a message: {1}")]
    Malformed(&'static str, String),
}

pub(crate) fn parse<T>(field: &'static str, text: &str) -> Result<T, ConvertError>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse().map_err(|error: T::Err| ConvertError::Malformed(field, error.to_string()))
}

fn parse_json(field: &'static str, text: &str) -> Result<serde_json::Value, ConvertError> {
    serde_json::from_str(text).map_err(|error| ConvertError::Malformed(field, error.to_string()))
}

/// Converts an envelope into its generated type.
pub fn encode(deployment: &str, envelope: &Envelope) -> peer::Envelope {
    peer::Envelope {
        deployment: deployment.to_owned(),
        from: Some(encode_holder(&envelope.from)),
        config_version: envelope.config_version.0,
        message: Some(encode_message(&envelope.message)),
    }
}

/// Converts an envelope from its generated type.
pub fn decode(envelope: peer::Envelope) -> Result<Envelope, ConvertError> {
    let from = decode_holder(envelope.from)?;
    let config_version = ConfigVersion(envelope.config_version);
    let message = envelope.message.ok_or(ConvertError::Missing("message"))?;
    let message = decode_message(message, &from)?;
    Ok(Envelope { from, config_version, message })
}

/// Converts a holder into its generated type.
pub fn encode_holder(holder: &Holder) -> peer::Holder {
    peer::Holder { instance: holder.instance.to_string(), incarnation: holder.incarnation.0 }
}

/// Converts a holder from its generated type; an absent one is an error.
pub fn decode_holder(holder: Option<peer::Holder>) -> Result<Holder, ConvertError> {
    let holder = holder.ok_or(ConvertError::Missing("holder"))?;
    let instance = parse("instance", &holder.instance)?;
    Ok(Holder { instance, incarnation: Incarnation(holder.incarnation) })
}

fn encode_message(message: &PeerMessage) -> Message {
    match message {
        PeerMessage::Heartbeat(heartbeat) => Message::Heartbeat(encode_heartbeat(heartbeat)),
        PeerMessage::Keepalive => Message::Keepalive(peer::Keepalive {}),
        PeerMessage::MembersRequest(request) => {
            Message::MembersRequest(encode_members_request(request))
        }
        PeerMessage::Members(members) => Message::Members(encode_members(members)),
        PeerMessage::SeatRequest(request) => Message::SeatRequest(peer::SeatRequest {
            request: request.request.0,
            seat: Some(encode_seat(&request.seat)),
            kv_pieces: request.kv_pieces.0,
            latest_in_ms: request.latest_in_ms.0,
            cost: request.cost,
            weights: request.weights.as_ref().map(encode_weights),
        }),
        PeerMessage::SeatReply(reply) => Message::SeatReply(peer::SeatReply {
            request: reply.request.0,
            seat: Some(encode_seat(&reply.seat)),
            is_granted: reply.is_granted,
            wait_ms: reply.wait_ms.0,
            is_queued: reply.is_queued,
            is_lacking: reply.is_lacking,
        }),
        PeerMessage::Release(seat) => Message::Release(encode_seat(seat)),
        PeerMessage::Claim(seat) => Message::Claim(encode_seat(seat)),
        PeerMessage::LeaseCheck(seats) => {
            Message::LeaseCheck(peer::LeaseCheck { seats: seats.iter().map(encode_seat).collect() })
        }
        PeerMessage::ChangesRequest(after) => {
            Message::ChangesRequest(peer::ChangesRequest { after: after.0 })
        }
        PeerMessage::Changes(changes) => {
            Message::Changes(peer::Changes { changes: changes.iter().map(encode_change).collect() })
        }
        PeerMessage::Document(version, document) => {
            Message::Document(peer::Document { version: version.0, document: document.to_string() })
        }
    }
}

fn decode_message(message: Message, from: &Holder) -> Result<PeerMessage, ConvertError> {
    let message = match message {
        Message::Heartbeat(heartbeat) => {
            PeerMessage::Heartbeat(Box::new(decode_heartbeat(heartbeat, from)?))
        }
        Message::Keepalive(_) => PeerMessage::Keepalive,
        Message::MembersRequest(request) => {
            PeerMessage::MembersRequest(decode_members_request(request)?)
        }
        Message::Members(members) => PeerMessage::Members(decode_members(members, from)?),
        Message::SeatRequest(request) => PeerMessage::SeatRequest(SeatRequest {
            request: RequestId(request.request),
            seat: decode_seat(request.seat)?,
            kv_pieces: KvPieces(request.kv_pieces),
            latest_in_ms: Millis(request.latest_in_ms),
            cost: request.cost,
            weights: request.weights.map(decode_weights).transpose()?,
        }),
        Message::SeatReply(reply) => PeerMessage::SeatReply(SeatReply {
            request: RequestId(reply.request),
            seat: decode_seat(reply.seat)?,
            is_granted: reply.is_granted,
            wait_ms: Millis(reply.wait_ms),
            is_queued: reply.is_queued,
            is_lacking: reply.is_lacking,
        }),
        Message::Release(seat) => PeerMessage::Release(decode_seat(Some(seat))?),
        Message::Claim(seat) => PeerMessage::Claim(decode_seat(Some(seat))?),
        Message::LeaseCheck(check) => {
            let seats = check.seats.into_iter().map(|seat| decode_seat(Some(seat)));
            PeerMessage::LeaseCheck(seats.collect::<Result<_, _>>()?)
        }
        Message::ChangesRequest(request) => {
            PeerMessage::ChangesRequest(ConfigVersion(request.after))
        }
        Message::Changes(changes) => {
            let changes = changes.changes.into_iter().map(decode_change);
            PeerMessage::Changes(changes.collect::<Result<_, _>>()?)
        }
        Message::Document(document) => PeerMessage::Document(
            ConfigVersion(document.version),
            parse_json("document", &document.document)?,
        ),
    };
    Ok(message)
}

fn encode_seat(seat: &StreamOnServer) -> peer::StreamOnServer {
    peer::StreamOnServer { server: seat.server.to_string(), stream: seat.stream.to_string() }
}

fn decode_seat(seat: Option<peer::StreamOnServer>) -> Result<StreamOnServer, ConvertError> {
    let seat = seat.ok_or(ConvertError::Missing("seat"))?;
    let server = parse("server", &seat.server)?;
    let stream = parse("stream", &seat.stream)?;
    Ok(StreamOnServer { server, stream })
}

fn encode_weights(weights: &Weights) -> peer::Weights {
    peer::Weights {
        model: weights.model.to_string(),
        version: weights.version.to_string(),
        adapter: weights.adapter.as_ref().map(ToString::to_string).unwrap_or_default(),
    }
}

fn decode_weights(weights: peer::Weights) -> Result<Weights, ConvertError> {
    let model = parse("model", &weights.model)?;
    let version = parse("version", &weights.version)?;
    let adapter = match weights.adapter.as_str() {
        "" => None,
        adapter => Some(parse("adapter", adapter)?),
    };
    Ok(Weights { model, version, adapter })
}

fn encode_change(change: &Change) -> peer::Change {
    peer::Change { version: change.version.0, patch: change.patch.to_string() }
}

fn decode_change(change: peer::Change) -> Result<Change, ConvertError> {
    let patch = parse_json("patch", &change.patch)?;
    Ok(Change { version: ConfigVersion(change.version), patch })
}
