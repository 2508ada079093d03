//! Guards against a peer port that fails on invalid bytes or accepts messages of another
//! deployment.

mod common;

use async_std::io::prelude::*;
use async_std::net::TcpStream;
use common::{complete, completion, start_fleet};
use quickcheck::{Arbitrary, Gen};
use turmericrail_core::ids::{ConfigVersion, Incarnation};
use turmericrail_core::message::{Envelope, PeerMessage};
use turmericrail_core::report::Holder;
use turmericrail_wire::convert::encode;
use turmericrail_wire::peer::peer_client::PeerClient;

/// Number of connections that send random bytes.
const CONNECTION_COUNT: u64 = 50;
/// Upper limit of the random bytes on one connection.
const MAX_JUNK_BYTES: usize = 4_096;

#[async_std::test]
async fn random_bytes() {
    let fleet = start_fleet("junk-bytes").await;
    let instance = &fleet.instances[0];
    for seed in 0..CONNECTION_COUNT {
        let junk = Vec::<u8>::arbitrary(&mut Gen::from_size_and_seed(MAX_JUNK_BYTES, seed));
        let mut stream = TcpStream::connect(instance.peer_address).await.unwrap();
        let _ = stream.write_all(&junk).await;
    }
    let answer = complete(instance.caller_address, &completion("after junk", 3, false)).await;
    assert!(answer.unwrap().0.status().is_success());
}

#[async_std::test]
async fn other_deployment() {
    let fleet = start_fleet("other-deployment").await;
    let instance = &fleet.instances[0];
    let address = format!("http://{}", instance.peer_address);
    let mut client = PeerClient::connect(address).await.unwrap();
    let envelope = Envelope {
        from: Holder { instance: "stranger".parse().unwrap(), incarnation: Incarnation(1) },
        config_version: ConfigVersion(1_000),
        message: PeerMessage::ChangesRequest(ConfigVersion(0)),
    };
    let refusal = client.deliver(encode("elsewhere", &envelope)).await.unwrap_err();
    assert_eq!(refusal.code(), tonic::Code::PermissionDenied);
    assert!(refusal.message().contains("test"), "{refusal}");
    let malformed =
        turmericrail_wire::peer::Envelope { message: None, ..encode("test", &envelope) };
    let refusal = client.deliver(malformed).await.unwrap_err();
    assert_eq!(refusal.code(), tonic::Code::InvalidArgument);
}
