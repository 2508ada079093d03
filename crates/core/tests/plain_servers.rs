//! Ejection of failing plain servers, their readmission, and the retry budget.

use turmericrail_core::request::RetryBudget;
use turmericrail_core::route::{HealthChange, ServerHealth};
use turmericrail_core::units::Millis;

/// A time at which the ejection and the probation of a server that failed at 0 are over.
const MUCH_LATER_MS: Millis = Millis(100_000);

fn record_failures(health: &mut ServerHealth, now_ms: Millis, count: usize) {
    for _ in 0..count {
        health.record_call_start();
        health.record_call_end(now_ms, false);
    }
}

#[test]
fn third_failure_ejects_server() {
    let mut health = ServerHealth::default();
    record_failures(&mut health, Millis(0), 2);
    assert!(health.is_usable(Millis(0), true));
    record_failures(&mut health, Millis(0), 1);
    assert!(!health.is_usable(Millis(0), true));
}

#[test]
fn success_readmits_ejected_server() {
    let mut health = ServerHealth::default();
    record_failures(&mut health, Millis(0), 3);
    assert!(health.is_usable(MUCH_LATER_MS, true));
    health.record_call_start();
    assert!(
        !health.is_usable(MUCH_LATER_MS, true),
        "a server on probation gets one call at a time"
    );
    assert!(health.is_ejected());
    assert_eq!(health.record_call_end(MUCH_LATER_MS, true), HealthChange::Readmitted);
    assert!(!health.is_ejected());
    health.record_call_start();
    assert!(health.is_usable(MUCH_LATER_MS, true));
}

#[test]
fn server_on_probation_gets_only_idempotent_calls() {
    let mut health = ServerHealth::default();
    record_failures(&mut health, Millis(0), 3);
    let readmission_ms = (0..).map(Millis).find(|now_ms| health.is_usable(*now_ms, true)).unwrap();
    assert!(!health.is_usable(readmission_ms, false));
    assert!(health.is_usable(MUCH_LATER_MS, false));
}

#[test]
fn failed_server_is_suspect_for_a_while() {
    let mut health = ServerHealth::default();
    assert!(!health.is_suspect(Millis(0)));
    record_failures(&mut health, Millis(0), 1);
    assert!(health.is_suspect(Millis(0)));
    assert!(!health.is_suspect(MUCH_LATER_MS));
}

#[test]
fn retries_keep_to_percentage() {
    let mut budget = RetryBudget::default();
    while budget.try_spend() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt(20);
        if budget.try_spend() {
            retries += 1;
        }
    }
    assert_eq!(retries, 200);
}
