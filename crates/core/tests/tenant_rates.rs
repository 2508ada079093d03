//! Tenants that send far more than usual.

use turmericrail_core::forward::TenantRates;
use turmericrail_core::ids::TenantId;
use turmericrail_core::units::Millis;

fn tenant(name: &str) -> TenantId {
    name.parse().unwrap()
}

/// Records one request of a tenant in each interval of a time.
fn send(rates: &mut TenantRates, name: &str, from_ms: u64, to_ms: u64, interval_ms: usize) {
    for now_ms in (from_ms..to_ms).step_by(interval_ms) {
        rates.record(Millis(now_ms), &tenant(name));
    }
}

/// Guards against a large tenant that is taken for one in excess, also soon after the start.
#[test]
fn large_tenant() {
    let mut rates = TenantRates::default();
    send(&mut rates, "large", 0, 30_000, 200);
    send(&mut rates, "small", 0, 30_000, 2_000);
    for now_ms in [2_000, 5_000, 10_000, 30_000] {
        assert!(!rates.is_in_excess(Millis(now_ms), &tenant("large")), "at {now_ms} ms");
        assert!(!rates.is_in_excess(Millis(now_ms), &tenant("small")), "at {now_ms} ms");
    }
}

/// Guards against a burst that is not noticed, or that is held against the tenant for long.
#[test]
fn tenant_burst() {
    let mut rates = TenantRates::default();
    for name in ["a", "b", "c"] {
        send(&mut rates, name, 0, 30_000, 2_000);
    }
    send(&mut rates, "a", 30_000, 36_500, 267);
    for name in ["b", "c"] {
        send(&mut rates, name, 30_000, 36_500, 2_000);
    }
    assert!(rates.is_in_excess(Millis(36_500), &tenant("a")));
    assert!(!rates.is_in_excess(Millis(36_500), &tenant("b")));
    for name in ["a", "b", "c"] {
        send(&mut rates, name, 38_000, 46_500, 2_000);
    }
    assert!(!rates.is_in_excess(Millis(46_500), &tenant("a")), "ten seconds later");
}

/// Guards against a tenant that is held back although nobody else wants the room.
#[test]
fn only_tenant() {
    let mut rates = TenantRates::default();
    send(&mut rates, "a", 0, 30_000, 2_000);
    send(&mut rates, "a", 30_000, 36_000, 100);
    assert!(!rates.is_in_excess(Millis(36_000), &tenant("a")));
    assert!(!rates.is_in_excess(Millis(36_000), &tenant("unknown")));
}
