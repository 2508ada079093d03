//! Callers who were refused and come back are told from new ones by how long they still wait.

use turmericrail_core::forward::CallerRetryDetector;
use turmericrail_core::units::Millis;

#[test]
fn refused_in_burst() {
    // Callers wait 12 to 14 s. Those refused in a burst come back 4 s later and wait for the rest.
    let mut patience = CallerRetryDetector::default();
    for index in 0..200u64 {
        let now_ms = Millis(index * 50);
        let fresh_ms = Millis(11_900 + index * 37 % 2_100);
        assert!(!patience.is_likely_retry(now_ms, fresh_ms), "{fresh_ms}");
        let returning_ms = Millis(6_000 + index * 37 % 1_500);
        assert!(patience.is_likely_retry(now_ms, returning_ms), "{returning_ms}");
    }
}

#[test]
fn shorter_patience() {
    // All callers wait for less from now on: within 15 s they count as new again.
    let mut patience = CallerRetryDetector::default();
    assert!(!patience.is_likely_retry(Millis(0), Millis(14_000)));
    assert!(patience.is_likely_retry(Millis(1_000), Millis(7_500)));
    assert!(!patience.is_likely_retry(Millis(16_000), Millis(7_500)));
}

#[test]
fn first_caller() {
    assert!(!CallerRetryDetector::default().is_likely_retry(Millis(0), Millis(100)));
}
