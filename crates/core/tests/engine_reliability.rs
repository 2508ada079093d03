//! Choice of engines while most of them refuse most of their calls, and the retries are used up.

mod forward_support;

use forward_support::{RETRY_BOUNDS, forwarder, mixed, model_call_size, server_number, service_id};
use turmericrail_core::config::ServerRole::{self, Decode, Prefill};
use turmericrail_core::forward::{
    CallEnd, CallSends, ChosenServer, Forwarder, RetryBounds, VersionNeed,
};
use turmericrail_core::units::Millis;

const ENGINES: u16 = 50;
/// Engines with a number up to this one refuse most calls.
const FAILING_ENGINES: u16 = 30;
const REFUSED_SHARE: f64 = 0.8;
/// Time between two calls of the instance.
const INTERVAL_MS: u64 = 500;
/// Time of a prefill at an engine of average load.
const PREFILL_MS: u64 = 100;

fn is_refused(choice: &ChosenServer, call: u64) -> bool {
    let draw = mixed(call ^ 0xabcd) as f64 / u64::MAX as f64;
    server_number(choice) <= FAILING_ENGINES && draw < REFUSED_SHARE
}

fn engines(role: ServerRole) -> Forwarder {
    let servers: Vec<_> = (0..ENGINES).map(|_| (role, "dc-a")).collect();
    forwarder(&servers)
}

/// Calls engines for some seconds; returns the share of refused calls in the second half.
fn refused_share(
    forwarder: &mut Forwarder,
    choose: impl Fn(&Forwarder, Millis, u64) -> ChosenServer,
) -> f64 {
    const CALLS: u64 = 400;
    let mut refused = 0;
    for call in 0..CALLS {
        let now_ms = Millis(call * INTERVAL_MS);
        let choice = choose(forwarder, now_ms, mixed(call));
        forwarder.record_call_start(&choice);
        let end = if is_refused(&choice, call) { CallEnd::Refused } else { CallEnd::Answered };
        forwarder.record_call_end(now_ms + Millis(PREFILL_MS), &choice, end);
        refused += u64::from(end == CallEnd::Refused && call >= CALLS / 2);
    }
    refused as f64 / (CALLS / 2) as f64
}

#[test]
fn refusing_engines() {
    // Guards against calls that go to engines of which nothing is known while others are known to
    // answer: the share of failing engines would be the share of failed calls.
    let failing = f64::from(FAILING_ENGINES) / f64::from(ENGINES) * REFUSED_SHARE;
    let size = model_call_size(5_200);
    let prefill = |forwarder: &Forwarder, now_ms, random| {
        forwarder.choose_prefill(now_ms, &service_id(), size, &[], random).unwrap()
    };
    let share = refused_share(&mut engines(Prefill), prefill);
    assert!(share < 0.5 * failing, "{share} of the prefills refused, {failing} by chance");
}

#[test]
fn unbacked_prefill() {
    // Guards against a refused prefill that uses up the only call that may be sent: without a retry
    // left, the decode engine reads the prompt.
    let mut forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a")]);
    let size = model_call_size(5_200);
    let plan = |forwarder: &Forwarder| {
        forwarder
            .plan_model(Millis(20_000), &service_id(), size, VersionNeed::Any, Millis(10_000), 7)
            .unwrap()
    };
    let engine = plan(&forwarder).prefill.unwrap();
    forwarder.record_call_start(&engine);
    forwarder.record_call_end(Millis(20_000), &engine, CallEnd::Refused);
    assert!(plan(&forwarder).prefill.is_some(), "a retry is left");
    forwarder.set_retry_bounds(RetryBounds { slack: 1, ..RETRY_BOUNDS });
    let mut sends = CallSends::default();
    for _ in 0..2 {
        assert!(forwarder.permit_send(Millis(20_000), &service_id(), &mut sends).is_some());
    }
    assert!(plan(&forwarder).prefill.is_none(), "no retry is left");
}
