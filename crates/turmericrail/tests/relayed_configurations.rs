//! Large configurations pass between instances in few bytes, also to instances of earlier releases.

mod forward_support;

use forward_support::{ForwardInstance, configuration};
use prost::Message;
use serde_json::Value;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{FollowReply, FollowRequest, KnownSet};
use turmericrail_wire::relayed_item::decode_item;

const ADDED_ROUTES: usize = 1_400;
const KEY: &str = "op/config";

fn large_configuration(version: u64) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    for number in 0..ADDED_ROUTES {
        let mut route = routes[number % 4].clone();
        route["name"] = format!("added-{number}").into();
        route["pathPrefix"] = format!("/added/{number}/").into();
        routes.push(route);
    }
    configuration
}

/// What an instance replies to one that knows the first revision of the configuration.
async fn follow(instance: &ForwardInstance, accepts_deflated: bool) -> FollowReply {
    let address = format!("http://{}", instance.peer_address);
    let mut client = RelayClient::connect(address).await.unwrap();
    let known = KnownSet { prefix: KEY.to_owned(), revision: 1, last_change: 1 };
    let request = FollowRequest { known: vec![known], accepts_deflated, ..Default::default() };
    client.follow(request).await.unwrap().into_inner()
}

/// The configuration in a reply.
fn configuration_of(reply: FollowReply) -> Value {
    let item = reply.newer.into_iter().flat_map(|set| set.items).next().unwrap();
    serde_json::from_slice(&decode_item(item).unwrap().value.unwrap()).unwrap()
}

#[async_std::test]
async fn compressed_copies() {
    // Guards against whole copies of a large configuration that fill the link of the instance that
    // others follow, so that its callers' packets wait behind them.
    let instance = ForwardInstance::start("relayed-configurations");
    let sent = large_configuration(2);
    instance.store.publish(&sent);
    instance.wait_for_log("event=config version=2 ");
    let (plain, compressed) = (follow(&instance, false).await, follow(&instance, true).await);
    let (plain_bytes, compressed_bytes) = (plain.encoded_len(), compressed.encoded_len());
    println!("plain_bytes={plain_bytes} compressed_bytes={compressed_bytes}");
    assert!(compressed_bytes * 5 < plain_bytes, "{compressed_bytes} of {plain_bytes}");
    assert_eq!(configuration_of(plain), sent);
    assert_eq!(configuration_of(compressed), sent);
}
