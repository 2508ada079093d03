//! Published items pass between instances unchanged, and long ones take few bytes.

use prost::Message;
use quickcheck::{Arbitrary, Gen};
use turmericrail_core::forward::PublishedItem;
use turmericrail_wire::relay::Item;
use turmericrail_wire::relayed_item::{decode_item, deflate_value, encode_item};

/// Number of cases of the randomised test.
const CASE_COUNT: usize = 200;
/// Routes of a large deployment after its configuration has grown several times.
const ROUTES: usize = 4_249;
/// Bytes that one of the slowest links carries in a second.
const LINK_BYTES_PER_S: usize = 10_000_000 / 8;
/// Instances that follow one instance.
const FOLLOWERS: usize = 8;

fn item(value: Option<Vec<u8>>) -> PublishedItem {
    PublishedItem { key: "op/config".to_owned(), revision: 7, value }
}

fn encode(item: &PublishedItem) -> Item {
    encode_item(item.clone(), deflate_value(item))
}

/// A configuration whose names are as long as those of a deployment, and random.
fn configuration() -> Vec<u8> {
    let mut random = Gen::new(0);
    let mut number = || u32::arbitrary(&mut random) % 100_000;
    let mut route = || {
        serde_json::json!({
            "name": format!("r-{:05}{:05}", number(), number()),
            "host": format!("h{:04}.example", number() % 40),
            "pathPrefix": format!("/p{:05}/", number()),
            "service": format!("s{}", number() % 2), "kind": "unsafe", "timeoutMs": 1_500,
            "latencyTargetMs": 300, "priority": number() % 3, "maxAttempts": 2,
        })
    };
    let routes: Vec<_> = (0..ROUTES).map(|_| route()).collect();
    serde_json::json!({"version": 18, "routes": routes}).to_string().into_bytes()
}

#[test]
fn configuration_copies() {
    // Guards against copies of a configuration that fill a slow link for longer than a second, so
    // that whatever else passes it waits.
    let sent = item(Some(configuration()));
    let encoded = encode(&sent);
    let bytes = encoded.encoded_len();
    println!("value_bytes={} copy_bytes={bytes}", sent.value.as_ref().map_or(0, Vec::len));
    assert!(bytes * FOLLOWERS <= LINK_BYTES_PER_S, "{bytes}");
    assert_eq!(decode_item(encoded), Ok(sent));
}

#[test]
fn unchanged_items() {
    let mut random = Gen::new(20_000);
    for _ in 0..CASE_COUNT {
        let sent = item(Option::arbitrary(&mut random));
        assert_eq!(decode_item(encode(&sent)), Ok(sent.clone()));
        assert_eq!(decode_item(encode_item(sent.clone(), None)), Ok(sent));
    }
}

#[test]
fn unreadable_values() {
    // Guards against a relayed value that is taken for a removal, or that exhausts the memory.
    let deflated = |deflated_value| Item { deflated_value, ..encode_item(item(None), None) };
    assert!(decode_item(deflated(Some(vec![0xff; 100]))).is_err());
    let long = item(Some(vec![0; 64 << 20]));
    let bomb = deflate_value(&long);
    assert!(bomb.as_ref().is_some_and(|bytes| bytes.len() < 1 << 20));
    assert!(decode_item(deflated(bomb)).is_err());
}
