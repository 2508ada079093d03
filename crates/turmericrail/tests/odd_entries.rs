//! A running instance while another writer leaves odd entries among those of the servers: it goes
//! on, follows what changes, and calls neither the store nor those entries' addresses for them.

mod forward_support;

use std::time::Duration;

use forward_support::{ForwardInstance, configuration, wait_for};
use serde_json::json;
use turmericrail_fakes::registered::FakeStore;

/// Longest line of a log.
const MAX_LINE_BYTES: usize = 2_000;

/// Odd values of entries.
fn odd_values() -> Vec<Vec<u8>> {
    let entry = |field: &str, value: &str| {
        let mut entry = json!({"service": "desk", "address": "127.0.0.1:1", "zone": "dc-a",
            "version": "v1", "slots": 6, "state": "draining", "born": 1});
        entry[field] = json!("MARK");
        entry.to_string().replace("\"MARK\"", value).into_bytes()
    };
    let nested = |depth| "[".repeat(depth) + &"]".repeat(depth);
    let objects = b"{\"a\":".repeat(100_000);
    let mut values = vec![nested(100_000).into_bytes(), objects, vec![0xff; 9]];
    let nested = nested(2_000);
    for field in ["service", "address", "zone", "slots", "state", "born", "stage"] {
        for value in [&nested, "1e400", "18446744073709551616", "-1", "NaN", "[null]"] {
            values.push(entry(field, value));
        }
    }
    for port in ["0", "65536", "99999", "-1"] {
        values.push(entry("address", &format!("\"127.0.0.1:{port}\"")));
    }
    values.push(entry("state", &format!("\"{}\"", "\\u0001".repeat(100_000))));
    values
}

fn odd_keys() -> [String; 4] {
    let long = "k".repeat(190);
    [String::new(), "a\u{1}\n\"b".to_owned(), long, "\u{7f}\u{2028}".to_owned()]
}

fn put_odd_entries(store: &FakeStore, values: &[Vec<u8>]) {
    for (number, value) in values.iter().enumerate() {
        store.put_bytes(&format!("servers/odd{number}"), value);
    }
    for key in odd_keys() {
        store.put_bytes(&format!("servers/{key}"), b"{}");
    }
}

fn assert_short_lines(instance: &ForwardInstance) {
    let longest = instance.read_log().lines().map(str::len).max();
    assert!(longest.is_some_and(|bytes| bytes < MAX_LINE_BYTES), "{longest:?} bytes in a line");
}

#[test]
fn in_listing_and_watch() {
    // Guards against an odd entry that ends an instance or its following of the store.
    let store = FakeStore::start().unwrap();
    store.publish(&configuration(1));
    let values = odd_values();
    put_odd_entries(&store, &values);
    let mut instance = ForwardInstance::start_with_store("odd-entries", store);
    let (own_store, address) = (FakeStore::start().unwrap(), instance.store.address());
    let mut peer = instance.start_peer("odd-entries-2", own_store, address);
    let server = instance.start_plain_server("s1");
    put_odd_entries(&instance.store, &values);
    instance.store.publish(&configuration(3));
    instance.wait_for_log("event=config version=3 ");
    peer.wait_for_log("event=config version=3 ");
    peer.wait_for_log("event=server_changed server=s1 ");
    for number in 0..20 {
        let reply = peer.send_request("read", &format!("r{number}"));
        assert_eq!(reply.status(), 200, "{}", reply.body);
    }
    assert_eq!(server.executed_calls().len(), 20);
    let _other = instance.start_plain_server("s2");
    peer.wait_for_log("event=server_changed server=s2 ");
    let calls = instance.store.calls();
    std::thread::sleep(Duration::from_millis(1_500));
    let more_calls = instance.store.calls() - calls;
    assert!(more_calls <= 8, "{more_calls} calls to the store after the last change");
    assert!(!instance.read_log().contains("event=store_lost"));
    for instance in [&mut instance, &mut peer] {
        instance.assert_sound("odd entries");
        assert_short_lines(instance);
    }
}

#[test]
fn overwritten() {
    // Guards against a server that stays unused, or counts as leaving, after another writer's odd
    // value stood under its key for a moment.
    let mut instance = ForwardInstance::start("overwritten-entry");
    let server = instance.start_plain_server("s1");
    for (number, value) in odd_values().iter().enumerate() {
        instance.store.put_bytes("servers/s1", value);
        if number % 8 == 0 {
            instance.wait_for_log("event=server_entry_unusable server=s1 ");
            std::thread::sleep(Duration::from_millis(500));
            server.register(&instance.store, "ready");
            wait_for("an answer", || {
                instance.send_request("read", &format!("r{number}")).status() == 200
            });
        }
    }
    assert!(instance.read_log().matches("server=s1 revision=").count() > 4);
    instance.assert_sound("overwritten entry");
    assert_short_lines(&instance);
}
