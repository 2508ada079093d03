//! A store that comes back from an older copy: it raises its era, has lost changes that it
//! acknowledged, and gives their revisions out again.

mod forward_support;

use std::time::Duration;

use forward_support::{ForwardInstance, configuration, wait_for};
use serde_json::json;

/// A configuration in which the route `read` has another path.
fn moved_configuration(version: u64, path: &str) -> serde_json::Value {
    let mut configuration = configuration(version);
    configuration["routes"][0]["pathPrefix"] = json!(path);
    configuration
}

#[test]
fn reused_revisions() {
    // The revisions of lost changes are given out again. A watch that stayed open goes on after the
    // lost one and returns only the last of the new changes, in the new era.
    let instance = ForwardInstance::start("reused-revisions");
    let server = instance.start_plain_server("s1");
    let copy = instance.store.copy();
    instance.store.publish(&moved_configuration(5, "/second/"));
    instance.wait_for_log("event=config version=5 ");
    instance.store.restore(copy);
    instance.store.publish(&moved_configuration(6, "/other/"));
    instance.store.publish(&moved_configuration(7, "/third/"));
    wait_for("the new configuration", || instance.send_request("third", "r1").status() == 200);
    instance.wait_for_log("event=store_restored prefix=op/config era=1 ");
    server.register(&instance.store, "draining");
    instance.wait_for_log("state=draining source=store is_new=true");
}

#[test]
fn lost_configuration() {
    // A configuration that was in force stays so while the operator has not written it again.
    let instance = ForwardInstance::start("lost-configuration");
    instance.start_plain_server("s1");
    let copy = instance.store.copy();
    instance.store.publish(&moved_configuration(5, "/second/"));
    instance.wait_for_log("event=config version=5 ");
    instance.store.restore(copy);
    instance.store.put("servers/other", &json!({}));
    instance.wait_for_log("event=store_listed prefix=servers/ revision=1099511627779 ");
    instance.store.close_watches();
    instance
        .wait_for_log("version=1 revision=1099511627777 routes=4 source=store outcome=not_newer");
    assert_eq!(instance.send_request("second", "r1").status(), 200);
    assert_eq!(instance.send_request("read", "r2").status(), 404);
}

#[test]
fn servers_that_left() {
    // Servers that were seen leaving or gone are not used again because an older copy calls them
    // ready; one that is missing from the copy stays in use until it writes its entry again.
    let instance = ForwardInstance::start("servers-that-left");
    let draining = instance.start_plain_server("s1");
    let gone = instance.start_plain_server("s2");
    let copy = instance.store.copy();
    draining.register(&instance.store, "draining");
    instance.wait_for_log("server=s1 revision=4 state=draining");
    gone.unregister(&instance.store);
    instance.wait_for_log("server=s2 revision=5 state=gone");
    let missing = instance.start_plain_server("s3");
    instance.store.restore(copy);
    instance.store.close_watches();
    instance.wait_for_log("event=era_changed prefix=servers/ ");
    for id in 0..20 {
        assert_eq!(instance.send_request("read", &format!("r{id}")).body, "answer of s3");
    }
    missing.register(&instance.store, "ready");
    std::thread::sleep(Duration::from_millis(1_600));
    assert_eq!(instance.send_request("read", "r30").body, "answer of s3");
    assert_eq!((draining.call_count(), gone.call_count()), (0, 0));
}

#[test]
fn relayed_restore() {
    // An instance that is cut off from the store hears of the new era from its peer.
    let instance = ForwardInstance::start("relayed-restore");
    instance.start_plain_server("s1");
    let unreachable = "127.0.0.1:1".parse().unwrap();
    let store = turmericrail_fakes::registered::FakeStore::start().unwrap();
    let peer = instance.start_peer("relayed-restore-peer", store, unreachable);
    let copy = instance.store.copy();
    instance.store.publish(&moved_configuration(5, "/second/"));
    peer.wait_for_log("event=config version=5 ");
    instance.store.restore(copy);
    instance.store.publish(&moved_configuration(6, "/other/"));
    instance.store.publish(&moved_configuration(7, "/third/"));
    peer.wait_for_log("event=config version=7 ");
    assert_eq!(peer.send_request("third", "r1").status(), 200);
}
