//! Exchanges between instances: members that both know are told by their ages alone, so that the
//! messages of a large fleet stay small.

mod forward_support;

use forward_support::ForwardInstance;
use prost::Message;
use turmericrail_core::forward::{Member, MemberList};
use turmericrail_core::units::Millis;
use turmericrail_fakes::registered::FakeStore;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{self as wire, ExchangeReply, ExchangeRequest};

const FLEET: u8 = 3;

/// Starts instances that all know each other; returns them and their members.
fn start_fleet(name: &str) -> (Vec<ForwardInstance>, MemberList) {
    let mut fleet = vec![ForwardInstance::start(&format!("{name}-1"))];
    for number in 2..=FLEET {
        let (store, address) = (FakeStore::start().unwrap(), fleet[0].store.address());
        let peer =
            fleet[0].start_numbered_peer(&format!("{name}-{number}"), number, store, address);
        fleet.push(peer);
    }
    for instance in &fleet {
        instance.wait_for_log(&format!("event=members_changed count={FLEET} "));
    }
    let member = |(index, instance): (usize, &ForwardInstance)| Member {
        instance: format!("{name}-{}", index + 1).parse().unwrap(),
        data_centre: "dc-a".parse().unwrap(),
        address: instance.peer_address,
        age_ms: Millis(0),
    };
    let members = fleet.iter().enumerate().map(member).collect();
    (fleet, MemberList::new(members))
}

async fn exchange(instance: &ForwardInstance, request: ExchangeRequest) -> ExchangeReply {
    let address = format!("http://{}", instance.peer_address);
    let mut client = RelayClient::connect(address).await.unwrap();
    client.exchange(request).await.unwrap().into_inner()
}

#[async_std::test]
async fn same_members() {
    let (fleet, members) = start_fleet("same-members");
    let hash = members.identity_hash();
    let reply =
        exchange(&fleet[0], ExchangeRequest { members_hash: hash, ..Default::default() }).await;
    assert!(reply.members.is_empty());
    assert_eq!(reply.ages_ms.len(), usize::from(FLEET));
}

#[async_std::test]
async fn other_members() {
    // Whoever knows others gets the whole list, as does an instance of an earlier release, which
    // states no hash.
    let (fleet, members) = start_fleet("other-members");
    let other_hash = members.identity_hash() ^ 1;
    for members_hash in [other_hash, 0] {
        let reply =
            exchange(&fleet[0], ExchangeRequest { members_hash, ..Default::default() }).await;
        assert_eq!(reply.members.len(), usize::from(FLEET));
        assert!(reply.ages_ms.is_empty());
    }
    let stranger = wire::Member {
        instance: "stranger".to_owned(),
        peer_address: "127.0.0.9:9".to_owned(),
        ..Default::default()
    };
    let request =
        ExchangeRequest { members: vec![stranger], members_hash: other_hash, ..Default::default() };
    let reply = exchange(&fleet[0], request).await;
    assert!(reply.members.is_empty(), "the list was told before");
    fleet[0].wait_for_log(&format!("event=members_changed count={} ", FLEET + 1));
}

#[test]
fn large_fleet() {
    // Guards against messages that grow past what an instance may send: a request and a reply on
    // each side in 3 s.
    const MEMBERS: usize = 320;
    const MAX_BYTES_PER_S: usize = 5_000;
    const INTERVAL_S: usize = 3;
    let ages_ms = vec![40_000; MEMBERS];
    let request =
        ExchangeRequest { ages_ms: ages_ms.clone(), members_hash: u64::MAX, ..Default::default() };
    let reply = ExchangeReply { ages_ms, ..Default::default() };
    let bytes = 2 * (request.encoded_len() + reply.encoded_len());
    assert!(bytes <= MAX_BYTES_PER_S * INTERVAL_S, "{bytes}");
}
