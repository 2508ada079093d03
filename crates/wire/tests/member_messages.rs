//! Membership messages are unchanged by encoding and decoding.

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

/// Number of cases of each randomised test.
const CASE_COUNT: u64 = 500;
/// Size of random values, as quickcheck defines it.
const GEN_SIZE: usize = 32;

fn random_digest(random: &mut Gen, holder: &Holder) -> MemberDigest {
    MemberDigest {
        instance: holder.instance.clone(),
        incarnation: holder.incarnation,
        revision: u64::arbitrary(random),
        beat: u64::arbitrary(random),
        is_leaving: bool::arbitrary(random),
        is_cut_off: bool::arbitrary(random),
        peer_address: "10.0.0.1:7000".parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
    }
}

fn random_key(random: &mut Gen) -> MemberKey {
    MemberKey(u64::from(u32::arbitrary(random)))
}

fn random_keys(random: &mut Gen) -> Vec<MemberKey> {
    Vec::<u32>::arbitrary(random).into_iter().map(|key| MemberKey(u64::from(key))).collect()
}

fn random_summary(random: &mut Gen) -> Summary {
    let members = random_keys(random);
    Summary { data_centre: "dc-b".parse().unwrap(), clock: u64::arbitrary(random), members }
}

fn random_heartbeat(random: &mut Gen, sender: &Holder) -> Heartbeat {
    let other = Holder { instance: "dc-a-2".parse().unwrap(), incarnation: Incarnation(9) };
    let load = ServerLoad {
        free_streams: Streams(u64::arbitrary(random)),
        free_pieces: KvPieces(u64::arbitrary(random)),
        queued_tokens: Tokens(u64::arbitrary(random)),
    };
    let age_ms = Millis(u64::arbitrary(random));
    let server = || "decode-1".parse().unwrap();
    Heartbeat {
        own: random_digest(random, sender),
        records: vec![random_digest(random, &other)],
        beats: vec![MemberBeat { key: random_key(random), beat: u64::arbitrary(random) }],
        heads: vec![SummaryHead {
            data_centre: "dc-b".parse().unwrap(),
            clock: u64::arbitrary(random),
            hash: u64::from(u32::arbitrary(random)),
        }],
        summary: bool::arbitrary(random).then(|| random_summary(random)),
        loads: vec![LoadDigest { server: server(), load, age_ms }],
        list_age_ms: Option::<u64>::arbitrary(random).map(Millis),
        leaving_servers: vec![LeavingDigest { server: server(), age_ms }],
    }
}

fn random_message(random: &mut Gen, sender: &Holder) -> PeerMessage {
    match u64::arbitrary(random) % 4 {
        0 => PeerMessage::Heartbeat(Box::new(random_heartbeat(random, sender))),
        1 => PeerMessage::Keepalive,
        2 => PeerMessage::MembersRequest(MembersRequest {
            keys: random_keys(random),
            data_centres: vec!["dc-b".parse().unwrap()],
        }),
        _ => PeerMessage::Members(Members {
            records: vec![random_digest(random, sender)],
            summaries: vec![random_summary(random)],
        }),
    }
}

#[test]
fn round_trip() {
    for seed in 0..CASE_COUNT {
        let mut random = Gen::from_size_and_seed(GEN_SIZE, seed);
        let from = Holder { instance: "dc-a-1".parse().unwrap(), incarnation: Incarnation(seed) };
        let message = random_message(&mut random, &from);
        let envelope = Envelope { from, config_version: ConfigVersion(seed), message };
        let bytes = encode("test", &envelope).encode_to_vec();
        let decoded = decode(peer::Envelope::decode(bytes.as_slice()).unwrap()).unwrap();
        assert_eq!(decoded, envelope, "seed {seed}");
    }
}

#[test]
fn missing_beat() {
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
