//! Messages between instances are unchanged by encoding and decoding; malformed bytes are refused
//! and unknown fields ignored.

use prost::Message;
use quickcheck::{Arbitrary, Gen};
use serde_json::json;
use turmericrail_core::config::Change;
use turmericrail_core::ids::{ConfigVersion, Incarnation, RequestId};
use turmericrail_core::message::{Envelope, PeerMessage, SeatReply, SeatRequest, StreamOnServer};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Millis};
use turmericrail_core::weights::Weights;
use turmericrail_wire::convert::{decode, encode};
use turmericrail_wire::peer;

/// Number of cases of each randomised test.
const CASE_COUNT: u64 = 2_000;
/// Size of random values, as quickcheck defines it.
const GEN_SIZE: usize = 64;

fn seat() -> StreamOnServer {
    StreamOnServer { server: "decode-1".parse().unwrap(), stream: "a_1_2_3".parse().unwrap() }
}

fn random_weights(random: &mut Gen) -> Option<Weights> {
    let base = Weights::of_version("quote".parse().unwrap(), "v1".parse().unwrap());
    let adapter = bool::arbitrary(random).then(|| "kaolack".parse().unwrap());
    bool::arbitrary(random).then_some(Weights { adapter, ..base })
}

fn random_message(random: &mut Gen) -> PeerMessage {
    let number = u64::arbitrary(random);
    let request = RequestId(number);
    match number % 8 {
        0 => PeerMessage::SeatRequest(SeatRequest {
            request,
            seat: seat(),
            kv_pieces: KvPieces(number),
            latest_in_ms: Millis(number),
            cost: number,
            weights: random_weights(random),
        }),
        1 => PeerMessage::SeatReply(SeatReply {
            request,
            seat: seat(),
            is_granted: bool::arbitrary(random),
            wait_ms: Millis(number),
            is_queued: bool::arbitrary(random),
            is_lacking: bool::arbitrary(random),
        }),
        2 => PeerMessage::Release(seat()),
        3 => PeerMessage::ChangesRequest(ConfigVersion(number)),
        4 => PeerMessage::Changes(vec![Change {
            version: ConfigVersion(number),
            patch: json!({"routes": {String::arbitrary(random): number}}),
        }]),
        5 => PeerMessage::Claim(seat()),
        6 => PeerMessage::LeaseCheck(vec![seat(); number as usize % 3]),
        _ => PeerMessage::Document(ConfigVersion(number), json!([String::arbitrary(random)])),
    }
}

#[test]
fn round_trip() {
    for seed in 0..CASE_COUNT {
        let mut random = Gen::from_size_and_seed(GEN_SIZE, seed);
        let envelope = Envelope {
            from: Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(seed) },
            config_version: ConfigVersion(u64::arbitrary(&mut random)),
            message: random_message(&mut random),
        };
        let bytes = encode("test", &envelope).encode_to_vec();
        let decoded = decode(peer::Envelope::decode(bytes.as_slice()).unwrap()).unwrap();
        assert_eq!(decoded, envelope, "seed {seed}");
    }
}

#[test]
fn random_bytes() {
    for seed in 0..CASE_COUNT {
        let mut random = Gen::from_size_and_seed(GEN_SIZE, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let Ok(envelope) = peer::Envelope::decode(bytes.as_slice()) else {
            continue;
        };
        assert!(decode(envelope).is_err(), "seed {seed}: bytes without a sender were accepted");
    }
}

#[test]
fn corrupted_byte() {
    let envelope = Envelope {
        from: Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(7) },
        config_version: ConfigVersion(9),
        message: PeerMessage::Release(seat()),
    };
    let bytes = encode("test", &envelope).encode_to_vec();
    for seed in 0..CASE_COUNT {
        let mut random = Gen::from_size_and_seed(GEN_SIZE, seed);
        let mut corrupted = bytes.clone();
        let position = usize::arbitrary(&mut random) % corrupted.len();
        corrupted[position] ^= u8::arbitrary(&mut random);
        let _ = peer::Envelope::decode(corrupted.as_slice()).map(decode);
    }
}

#[test]
fn unknown_fields() {
    let envelope = Envelope {
        from: Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(7) },
        config_version: ConfigVersion(9),
        message: PeerMessage::Release(seat()),
    };
    let mut bytes = encode("test", &envelope).encode_to_vec();
    let newer_field = [0xfa, 0x3e, 0x03, b'n', b'e', b'w'];
    bytes.extend_from_slice(&newer_field);
    let decoded = decode(peer::Envelope::decode(bytes.as_slice()).unwrap()).unwrap();
    assert_eq!(decoded, envelope);
}
