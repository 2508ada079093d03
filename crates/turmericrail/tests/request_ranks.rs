//! Ranks of requests, as backend servers are told them.

mod forward_support;

use forward_support::{ForwardInstance, configuration};
use serde_json::{Value, json};
use turmericrail_fakes::registered::{FakeStore, RegisteredServer};

/// Starts an instance with a configuration whose routes have these priorities, by name.
fn start(name: &str, priorities: &[(&str, u8)], tenants: Option<Value>) -> ForwardInstance {
    let mut configuration = configuration(1);
    for route in configuration["routes"].as_array_mut().unwrap() {
        let name = route["name"].as_str().unwrap();
        let priority = priorities.iter().find(|(named, _)| *named == name);
        if let Some((_, priority)) = priority {
            route["priority"] = json!(priority);
        }
        route["public"] = json!(true);
    }
    if let Some(tenants) = tenants {
        configuration["tenants"] = tenants;
    }
    let store = FakeStore::start().unwrap();
    store.publish(&configuration);
    ForwardInstance::start_with_store(name, store)
}

fn told_priorities(server: &RegisteredServer) -> Vec<Option<String>> {
    let calls = server.executed_calls();
    let priority = |head: &turmericrail_wire::http1::RequestHead| {
        head.headers.text("X-Request-Priority").map(str::to_owned)
    };
    calls.iter().map(|call| priority(&call.head)).collect()
}

/// Guards against engines that aren't told which requests are urgent, in any of the calls.
#[test]
fn told_ranks() {
    let instance = start("told-ranks", &[("stream", 0), ("resumable", 2)], None);
    let prefill = instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    let plain = instance.start_plain_server("s1");
    for (number, route) in ["stream", "resumable", "read"].iter().enumerate() {
        assert_eq!(instance.send_request(route, &format!("r{number}")).status(), 200);
    }
    let expected = [Some("0".to_owned()), Some("1".to_owned())];
    assert_eq!(told_priorities(&prefill), expected);
    assert_eq!(told_priorities(&decode), expected);
    assert_eq!(told_priorities(&plain), [None], "all requests to this service have one rank");
}

/// Guards against a header that changes how engines serve requests that all have one rank.
#[test]
fn single_rank() {
    let instance = start("single-rank", &[], None);
    let engines = [instance.start_engine("p1", "prefill"), instance.start_engine("d1", "decode")];
    assert_eq!(instance.send_request("stream", "r1").status(), 200);
    for engine in &engines {
        assert_eq!(told_priorities(engine), [None]);
    }
}

/// Guards against a rank beyond the priorities that engines know.
#[test]
fn far_ranks() {
    let mut tenants = vec![json!({"name": "clinics", "priority": 40})];
    tenants.extend((0..12).map(|number| json!({"name": format!("t{number}"), "priority": number})));
    let tenants = json!(tenants);
    let instance = start("far-ranks", &[("stream", 12)], Some(tenants));
    instance.start_engine("p1", "prefill");
    let decode = instance.start_engine("d1", "decode");
    assert_eq!(instance.send_request("stream", "r1").status(), 200);
    assert_eq!(told_priorities(&decode), [Some("9".to_owned())]);
}
