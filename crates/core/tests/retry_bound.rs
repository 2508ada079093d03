//! The limit on retries holds in every window for the sum over all instances.

mod forward_support;

use forward_support::{RETRY_BOUNDS, forwarder, service_id, started_forwarder};
use turmericrail_core::forward::{CallSends, RetryBounds, RetryWindow};
use turmericrail_core::units::Millis;

#[test]
fn full_outage() {
    // Every call fails and asks for a retry: ten instances with 100 calls per second each for 30 s.
    let mut windows = vec![RetryWindow::default(); 10];
    let mut retry_times_ms: Vec<u64> = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        for window in &mut windows {
            window.record_call(Millis(now_ms), &RETRY_BOUNDS);
            if window.try_record_retry(Millis(now_ms), &RETRY_BOUNDS, 10) {
                retry_times_ms.push(now_ms);
            }
        }
    }
    for start_ms in (0..20_000).step_by(250) {
        let in_window = |at_ms: &&u64| (start_ms..start_ms + 10_000).contains(*at_ms);
        let retried = retry_times_ms.iter().filter(in_window).count() as f64;
        let called = 10.0 * 1_000.0;
        assert!(
            retried <= RETRY_BOUNDS.ratio * called + RETRY_BOUNDS.slack as f64,
            "from {start_ms} ms"
        );
    }
    assert!(
        retry_times_ms.len() > 5_000,
        "the limit is hardly used: {} retries",
        retry_times_ms.len()
    );
}

#[test]
fn few_calls() {
    let mut window = RetryWindow::default();
    let allowed = (0..100).filter(|_| window.try_record_retry(Millis(5), &RETRY_BOUNDS, 8)).count();
    assert_eq!(allowed, 7);
    assert!(!window.try_record_retry(Millis(9_000), &RETRY_BOUNDS, 8));
    assert!(window.try_record_retry(Millis(11_000), &RETRY_BOUNDS, 8));
}

#[test]
fn refused_prefills() {
    // Guards against prefills that are sent again beside the limit: a refused one counts, and so
    // does whatever follows it; one that an engine completed is free.
    let bounds = RetryBounds { ratio: 0.0, slack: 3, window_ms: Millis(10_000) };
    let mut forwarder = forwarder(&[]);
    forwarder.set_retry_bounds(bounds);
    let mut send = |sends: &mut CallSends| {
        forwarder.permit_send(Millis(10_020), &service_id(), sends).is_some()
    };
    let mut refused = CallSends::default();
    let mut done = CallSends::default();
    assert!(send(&mut refused), "the first prefill is free");
    assert!(send(&mut refused), "the second one takes a retry");
    assert!(send(&mut refused), "the run takes another one");
    assert!(send(&mut done));
    done.record_done_prefill();
    assert!(send(&mut done), "the run after a prefill is the first call");
    assert!(send(&mut done), "the last retry");
    assert!(!send(&mut done));
    assert!(!send(&mut refused));
    done.record_not_sent();
    assert!(send(&mut done), "a retry whose server wasn't reached is left");
}

#[test]
fn denied_once() {
    // Guards against calls that are counted as denied once for their prefill and once for their run.
    let mut sends = CallSends::default();
    assert!(sends.record_denied_retry());
    assert!(!sends.record_denied_retry());
}

#[test]
fn restarted_instances() {
    // Guards against instances that take a full share of the slack again when they start again, a
    // share of a fleet that they don't know yet.
    const INSTANCES: usize = 60;
    const RESTARTED: usize = 40;
    const RESTART_MS: u64 = 14_000;
    const EXCHANGE_MS: u64 = 600;
    let mut fleet: Vec<_> = (0..INSTANCES).map(|_| started_forwarder(Millis(0), 10)).collect();
    let service = service_id();
    let mut retry_times_ms: Vec<u64> = Vec::new();
    for now_ms in (0..30_000).step_by(100) {
        if now_ms == RESTART_MS {
            fleet.truncate(INSTANCES - RESTARTED);
            fleet.extend((0..RESTARTED).map(|_| started_forwarder(Millis(now_ms), 10)));
        }
        for (number, forwarder) in fleet.iter_mut().enumerate() {
            let is_unknown = number >= INSTANCES - RESTARTED
                && (RESTART_MS..RESTART_MS + EXCHANGE_MS).contains(&now_ms);
            if !is_unknown {
                forwarder.set_instance_count(Millis(now_ms), INSTANCES);
            }
            forwarder.record_call(Millis(now_ms), &service);
            let mut sends = CallSends::default();
            for send in 0..3 {
                let permit = forwarder.permit_send(Millis(now_ms), &service, &mut sends);
                if send > 0 && permit.is_some() {
                    retry_times_ms.push(now_ms);
                }
            }
        }
    }
    let called = (INSTANCES * 100) as f64;
    let allowed = RETRY_BOUNDS.ratio * called + RETRY_BOUNDS.slack as f64;
    for start_ms in (0..20_000).step_by(100) {
        let in_window = |at_ms: &&u64| (start_ms..start_ms + 10_000).contains(*at_ms);
        let retried = retry_times_ms.iter().filter(in_window).count() as f64;
        assert!(retried <= allowed, "from {start_ms} ms: {retried}, allowed {allowed}");
    }
}
