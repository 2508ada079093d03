//! Calls that are retries by their caller are distinguished from new ones by their shorter timeouts.

use turmericrail_core::forward::CallerRetryDetector;
use turmericrail_core::units::Millis;

#[test]
fn shorter_timeouts_in_burst_are_retries() {
    // Callers time out after 12 to 14 s. Those refused in a burst retry with the 6 to 7.5 s that are
    // left.
    let mut detector = CallerRetryDetector::default();
    for index in 0..200u64 {
        let now_ms = Millis(index * 50);
        let new_timeout_ms = Millis(11_900 + index * 37 % 2_100);
        assert!(!detector.is_likely_retry(now_ms, new_timeout_ms), "{new_timeout_ms}");
        let retry_timeout_ms = Millis(6_000 + index * 37 % 1_500);
        assert!(detector.is_likely_retry(now_ms, retry_timeout_ms), "{retry_timeout_ms}");
    }
}

#[test]
fn lasting_shorter_timeouts_are_new_calls() {
    // All callers use a shorter timeout from now on: 15 s later they count as new again.
    let mut detector = CallerRetryDetector::default();
    assert!(!detector.is_likely_retry(Millis(0), Millis(14_000)));
    assert!(detector.is_likely_retry(Millis(1_000), Millis(7_500)));
    assert!(!detector.is_likely_retry(Millis(16_000), Millis(7_500)));
}

#[test]
fn first_call_is_no_retry() {
    assert!(!CallerRetryDetector::default().is_likely_retry(Millis(0), Millis(100)));
}
