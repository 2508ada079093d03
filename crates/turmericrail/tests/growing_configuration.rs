//! A configuration that grows by 1,400 routes and comes in quick succession.

mod forward_support;

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use forward_support::{ForwardInstance, configuration};
use serde_json::{Value, json};

const ADDED_ROUTES: usize = 1_400;
const TENANTS: usize = 16;
const CHANGES: u64 = 20;
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest delay of a call while the configuration changes; the decoding of a version takes about
/// 25 ms in a debug build.
const MAX_DELAY: Duration = Duration::from_millis(500);
const MAX_MEMORY_KIB: u64 = 40 * 1024;

/// The usual routes, all public, and many more.
fn large_configuration(version: u64) -> Value {
    let mut configuration = configuration(version);
    let routes = configuration["routes"].as_array_mut().unwrap();
    routes.iter_mut().for_each(|route| route["public"] = true.into());
    for number in 0..ADDED_ROUTES {
        let mut route = routes[number % 4].clone();
        route["name"] = format!("added-{number}").into();
        route["pathPrefix"] = format!("/added/{number}/").into();
        routes.push(route);
    }
    let tenant = |number| json!({"name": format!("t{number}"), "apiKeys": [format!("k{number}")]});
    configuration["tenants"] = (0..TENANTS).map(tenant).collect::<Vec<_>>().into();
    configuration
}

#[test]
fn quick_succession() {
    // Guards against calls that wait while configurations are decoded and put in force, and against
    // memory that grows with each of them.
    let instance = ForwardInstance::start("growing-configuration");
    let server = instance.start_plain_server("s1");
    let is_done = AtomicBool::new(false);
    thread::scope(|scope| {
        let (instance, is_done) = (&instance, &is_done);
        let calling = scope.spawn(move || {
            let mut longest = Duration::ZERO;
            for number in 0.. {
                let called_at = Instant::now();
                assert_eq!(instance.send_request("read", &format!("r{number}")).status(), 200);
                longest = longest.max(called_at.elapsed());
                if is_done.load(Ordering::SeqCst) {
                    return longest;
                }
            }
            unreachable!("the loop has no end")
        });
        for version in 2..2 + CHANGES {
            instance.store.publish(&large_configuration(version));
            thread::sleep(CHANGE_INTERVAL);
        }
        instance.wait_for_log(&format!("event=config version={} ", 1 + CHANGES));
        is_done.store(true, Ordering::SeqCst);
        let longest = calling.join().unwrap();
        assert!(longest < MAX_DELAY, "{longest:?}");
        println!("longest={longest:?} memory_kib={}", instance.peak_memory_kib());
    });
    let added =
        instance.send("GET /added/1396/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r\r\n\r\n");
    assert_eq!(added.unwrap().status(), 200);
    assert!(!server.executed_calls().is_empty());
    assert!(instance.peak_memory_kib() < MAX_MEMORY_KIB, "{}", instance.peak_memory_kib());
}
