//! Queues at the servers of a plain service with too little capacity.

mod forward_support;

use forward_support::{forwarder, server_update, service_id};
use turmericrail_core::config::ServerRole::Plain;
use turmericrail_core::forward::{Forwarder, ReportedLoad, ServerRun};
use turmericrail_core::units::{Millis, WallMillis};

fn report(forwarder: &mut Forwarder, server: u16, running_calls: u32, waiting_calls: u32) {
    let server = format!("s{server}").parse().unwrap();
    let run = ServerRun { server, started_ms: WallMillis(1) };
    let load =
        ReportedLoad { running_calls, waiting_calls, max_concurrent_calls: 6, work_time: None };
    forwarder.record_reported_load(Millis(1_000), &run, load);
}

/// Guards against calls that are refused while a server has a free place.
#[test]
fn free_place() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b"), (Plain, "dc-c")]);
    assert_eq!(forwarder.plain_queue_ms(Millis(1_000), &service_id()), Millis::ZERO);
    report(&mut forwarder, 1, 6, 400);
    report(&mut forwarder, 2, 6, 400);
    assert_eq!(forwarder.plain_queue_ms(Millis(1_000), &service_id()), Millis::ZERO);
    report(&mut forwarder, 3, 5, 0);
    assert_eq!(forwarder.plain_queue_ms(Millis(1_000), &service_id()), Millis::ZERO);
}

/// Guards against calls that wait at a server until their deadline has passed.
#[test]
fn full_servers() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b")]);
    report(&mut forwarder, 1, 6, 6);
    report(&mut forwarder, 2, 6, 60);
    let now_ms = Millis(1_000);
    let queue_ms = forwarder.plain_queue_ms(now_ms, &service_id());
    assert!((Millis(50)..Millis(80)).contains(&queue_ms), "{queue_ms}");
    // A server that was lost no longer counts.
    forwarder.apply_server_update(now_ms, server_update(1, 9, None));
    let queue_ms = forwarder.plain_queue_ms(now_ms, &service_id());
    assert!(queue_ms > Millis(400), "{queue_ms}");
}
