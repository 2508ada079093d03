//! What tells about members survives the way through its encoded form.

use prost::Message;
use quickcheck::{Arbitrary, Gen};
use turmericrail_core::ids::{ConfigVersion, Incarnation, MemberKey};
use turmericrail_core::membership::{
    Heartbeat, LeavingDigest, LoadDigest, MemberBeat, MemberDigest, Members, MembersRequest,
    ServerLoad, Summary, SummaryHead,
};
use turmericrail_core::message::{Envelope, PeerMessage};
use turmericrail_core::report::Holder;
use turmericrail_core::units::{KvPieces, Millis, Streams, Tokens};
use turmericrail_wire::convert::{decode, encode};
use turmericrail_wire::peer;

/// Cases of each randomised test.
const CASES: u64 = 500;
/// Size of generated values.
const SIZE: usize = 32;

fn digest(source: &mut Gen, holder: &Holder) -> MemberDigest {
    MemberDigest {
        instance: holder.instance.clone(),
        incarnation: holder.incarnation,
        revision: u64::arbitrary(source),
        beat: u64::arbitrary(source),
        is_leaving: bool::arbitrary(source),
        is_cut_off: bool::arbitrary(source),
        peer_address: "10.0.0.1:7000".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
    }
}

fn key(source: &mut Gen) -> MemberKey {
    MemberKey(u64::from(u32::arbitrary(source)))
}

fn keys(source: &mut Gen) -> Vec<MemberKey> {
    Vec::<u32>::arbitrary(source).into_iter().map(|key| MemberKey(u64::from(key))).collect()
}

fn summary(source: &mut Gen) -> Summary {
    let members = keys(source);
    Summary { data_centre: "dc-b".parse().unwrap(), clock: u64::arbitrary(source), members }
}

fn heartbeat(source: &mut Gen, sender: &Holder) -> Heartbeat {
    let other = Holder { instance: "dc-a-2".parse().unwrap(), incarnation: Incarnation(9) };
    let load = ServerLoad {
        free_streams: Streams(u64::arbitrary(source)),
        free_pieces: KvPieces(u64::arbitrary(source)),
        queued_tokens: Tokens(u64::arbitrary(source)),
    };
    let age_ms = Millis(u64::arbitrary(source));
    let server = || "decode-1".parse().unwrap();
    Heartbeat {
        own: digest(source, sender),
        records: vec![digest(source, &other)],
        beats: vec![MemberBeat { key: key(source), beat: u64::arbitrary(source) }],
        heads: vec![SummaryHead {
            data_centre: "dc-b".parse().unwrap(),
            clock: u64::arbitrary(source),
            hash: u64::from(u32::arbitrary(source)),
        }],
        summary: bool::arbitrary(source).then(|| summary(source)),
        loads: vec![LoadDigest { server: server(), load, age_ms }],
        list_age_ms: Option::<u64>::arbitrary(source).map(Millis),
        leaving_servers: vec![LeavingDigest { server: server(), age_ms }],
    }
}

fn any_message(source: &mut Gen, sender: &Holder) -> PeerMessage {
    match u64::arbitrary(source) % 4 {
        0 => PeerMessage::Heartbeat(Box::new(heartbeat(source, sender))),
        1 => PeerMessage::Keepalive,
        2 => PeerMessage::MembersRequest(MembersRequest {
            keys: keys(source),
            data_centres: vec!["dc-b".parse().unwrap()],
        }),
        _ => PeerMessage::Members(Members {
            records: vec![digest(source, sender)],
            summaries: vec![summary(source)],
        }),
    }
}

#[test]
fn round_trip() {
    for seed in 0..CASES {
        let mut source = Gen::from_size_and_seed(SIZE, seed);
        let from = Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(seed) };
        let message = any_message(&mut source, &from);
        let envelope = Envelope { from, config_version: ConfigVersion(seed), message };
        let bytes = encode("test", &envelope).encode_to_vec();
        let decoded = decode(peer::Envelope::decode(bytes.as_slice()).unwrap()).unwrap();
        assert_eq!(decoded, envelope, "seed {seed}");
    }
}

#[test]
fn uneven_beats() {
    let heartbeat = peer::Heartbeat {
        own: Some(peer::MemberDigest {
            peer_address: "10.0.0.1:7000".to_owned(),
            data_centre: "dc-a".to_owned(),
            ..peer::MemberDigest::default()
        }),
        beat_keys: vec![1, 2],
        beats: vec![1],
        ..peer::Heartbeat::default()
    };
    let envelope = peer::Envelope {
        from: Some(peer::Holder { instance: "dc-a-1".to_owned(), incarnation: 1 }),
        message: Some(peer::envelope::Message::Heartbeat(heartbeat)),
        ..peer::Envelope::default()
    };
    assert!(decode(envelope).is_err());
}
