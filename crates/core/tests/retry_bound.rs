//! The limit on retries holds in every window for the sum over all instances.

mod forward_support;

use forward_support::RETRY_BOUNDS;
use turmericrail_core::forward::{RetryBounds, RetryWindow};
use turmericrail_core::units::Millis;

#[test]
fn retries_stay_within_bound_in_outage() {
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
fn retry_slack_applies_to_few_calls() {
    let mut window = RetryWindow::default();
    let allowed = (0..100).filter(|_| window.try_record_retry(Millis(5), &RETRY_BOUNDS, 8)).count();
    assert_eq!(allowed, 7);
    assert!(!window.try_record_retry(Millis(9_000), &RETRY_BOUNDS, 8));
    assert!(window.try_record_retry(Millis(11_000), &RETRY_BOUNDS, 8));
}

#[test]
fn unchecked_retries_are_counted() {
    // Calls that a server refused are sent again without a check of the limit, and count as well.
    let bounds = RetryBounds { ratio: 0.0, slack: 3, window_ms: Millis(10_000) };
    let mut window = RetryWindow::default();
    window.record_retry(Millis(0), &bounds);
    window.record_retry(Millis(10), &bounds);
    assert!(window.try_record_retry(Millis(20), &bounds, 1));
    assert!(!window.try_record_retry(Millis(30), &bounds, 1));
}
