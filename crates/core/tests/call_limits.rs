//! Limits that servers name for the calls of all instances together, under the load of a whole
//! fleet.

mod forward_support;

use forward_support::{
    forwarder, mixed, server_entry, server_number, server_update, service_id, started_forwarder,
};
use turmericrail_core::config::ServerRole::Plain;
use turmericrail_core::forward::{Forwarder, LimitStatement, ServerRun};
use turmericrail_core::units::{CallRate, Millis, WallMillis};

const COUNT_WINDOW_MS: u64 = 4_000;
/// Time after the first statement of a limit from which it must hold.
const CONTACT_MS: u64 = 3_000;
const STEP_MS: u64 = 50;

fn limited_run() -> ServerRun {
    ServerRun { server: "s1".parse().unwrap(), started_ms: WallMillis(1) }
}

fn statement(calls_per_second: Option<f64>, age_ms: u64) -> LimitStatement {
    let rate = calls_per_second.map(|rate| CallRate::new(rate).unwrap());
    LimitStatement { run: limited_run(), rate, age_ms: Millis(age_ms) }
}

/// Instances that all know a server and each other.
fn fleet(instance_count: usize) -> Vec<Forwarder> {
    let start = |_| {
        let mut forwarder = started_forwarder(Millis(0), 10);
        let entry = server_entry(1, Plain, "dc-a");
        forwarder.apply_server_update(Millis(0), server_update(1, 1, Some(entry)));
        forwarder.set_instance_count(Millis(0), instance_count);
        forwarder
    };
    (0..instance_count).map(start).collect()
}

/// Each instance tries to call the server in every step, from `from_ms` to `to_ms`; an answer tells
/// it the limit. Returns the times of the calls.
fn call_all(
    fleet: &mut [Forwarder],
    times_ms: std::ops::Range<u64>,
    limit_at: impl Fn(u64) -> Option<f64>,
    seed: u64,
) -> Vec<u64> {
    let mut call_times_ms = Vec::new();
    for now_ms in times_ms.step_by(STEP_MS as usize) {
        for (number, forwarder) in fleet.iter_mut().enumerate() {
            if !forwarder.try_take_call(Millis(now_ms), &limited_run()) {
                continue;
            }
            call_times_ms.push(now_ms);
            let random = mixed(seed ^ (number as u64) << 32 ^ now_ms);
            forwarder.record_limit(Millis(now_ms + 1), &statement(limit_at(now_ms), 0), random);
        }
    }
    call_times_ms
}

fn assert_within_limit(call_times_ms: &[u64], from_ms: u64, limit_per_s: f64, what: &str) {
    let allowed = 1.5 * limit_per_s * COUNT_WINDOW_MS as f64 / 1_000.0 + 5.0;
    let counted: Vec<_> = call_times_ms.iter().filter(|at_ms| **at_ms >= from_ms).collect();
    for (index, start_ms) in counted.iter().enumerate() {
        let is_in_window = |at_ms: &&&u64| ***at_ms < **start_ms + COUNT_WINDOW_MS;
        let count = counted[index..].iter().take_while(is_in_window).count();
        assert!(
            count as f64 <= allowed,
            "{what}: {count} calls from {start_ms} ms, {allowed} allowed"
        );
    }
}

#[test]
fn whole_fleets() {
    // Guards against a limit below the number of instances, where a first call of each is too much.
    for instance_count in [1, 3, 8, 69, 295] {
        for limit_per_s in [0.5, 1.8, 7.0, 60.0] {
            let mut fleet = fleet(instance_count);
            let calls = call_all(&mut fleet, 0..24_000, |_| Some(limit_per_s), 7);
            let what = format!("{instance_count} instances, {limit_per_s} a second");
            assert_within_limit(&calls, CONTACT_MS, limit_per_s, &what);
            let late = calls.iter().filter(|at_ms| **at_ms >= CONTACT_MS).count() as f64;
            let expected = limit_per_s * 21.0;
            assert!(late > 0.3 * expected - 5.0, "{what}: {late} calls of {expected}");
        }
    }
}

#[test]
fn idle_fleet() {
    // Guards against unused slots that are all used at once when the callers come back.
    let mut fleet = fleet(69);
    call_all(&mut fleet, 0..2_000, |_| Some(1.8), 3);
    let calls = call_all(&mut fleet, 60_000..70_000, |_| Some(1.8), 3);
    assert_within_limit(&calls, 60_000, 1.8, "after a pause");
}

#[test]
fn changing_limit() {
    // Guards against slots of a higher limit that are left when it falls.
    let limit_at = |now_ms: u64| Some(if now_ms < 10_000 { 40.0 } else { 2.0 });
    let mut fleet = fleet(20);
    let calls = call_all(&mut fleet, 0..30_000, limit_at, 5);
    assert_within_limit(&calls, 10_000 + CONTACT_MS, 2.0, "after the fall");
    let calls = call_all(&mut fleet, 30_000..60_000, |_| Some(40.0), 5);
    let last_second = calls.iter().filter(|at_ms| **at_ms >= 58_000).count();
    assert!(last_second > 30, "the higher limit is hardly used: {last_second} calls in 2 s");
}

#[test]
fn ended_limit() {
    // An instance that hears that the limit is over calls the server freely, and another one tells
    // it; an older statement doesn't bring the limit back.
    let mut forwarder = forwarder(&[(Plain, "dc-a")]);
    forwarder.set_instance_count(Millis(0), 100);
    assert!(forwarder.record_limit(Millis(1_000), &statement(Some(1.0), 0), u64::MAX));
    assert!(!forwarder.try_take_call(Millis(1_000), &limited_run()));
    assert!(!forwarder.record_limit(Millis(1_200), &statement(None, 300), 0), "sent before");
    assert!(forwarder.record_limit(Millis(1_500), &statement(None, 100), 0));
    assert!(!forwarder.record_limit(Millis(1_600), &statement(Some(1.0), 400), 0), "an old one");
    for _ in 0..50 {
        assert!(forwarder.try_take_call(Millis(1_600), &limited_run()));
    }
    assert_eq!(forwarder.call_limits().statements(Millis(2_000)), [statement(None, 600)]);
}

#[test]
fn other_servers() {
    // Calls go to the servers that name no limit, and to none if all of them do.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    forwarder.set_instance_count(Millis(0), 100);
    forwarder.record_limit(Millis(0), &statement(Some(1.0), 0), u64::MAX);
    let choose = |forwarder: &Forwarder| {
        let choose =
            |random| forwarder.choose_plain(Millis(10), &service_id(), true, &[], mixed(random));
        (0..32).filter_map(choose).map(|choice| server_number(&choice)).collect::<Vec<_>>()
    };
    assert_eq!(choose(&forwarder), [2; 32]);
    let mut other = statement(Some(2.0), 0);
    other.run.server = "s2".parse().unwrap();
    forwarder.record_limit(Millis(0), &other, u64::MAX);
    assert!(choose(&forwarder).is_empty());
    let wait_ms = forwarder.reopens_in_ms(Millis(10), &service_id()).unwrap();
    assert!(wait_ms > Millis::ZERO, "{wait_ms}");
}

#[test]
fn many_seeds() {
    // Guards against slots of many instances that fall together.
    for seed in 0..150 {
        let draw = mixed(seed);
        let instance_count = 1 + draw as usize % 300;
        let limit_per_s = 0.3 + (draw >> 32) as f64 % 200.0 / 10.0;
        let mut fleet = fleet(instance_count);
        let calls = call_all(&mut fleet, 0..12_000, |_| Some(limit_per_s), draw);
        let what = format!("seed {seed}: {instance_count} instances, {limit_per_s} a second");
        assert_within_limit(&calls, CONTACT_MS, limit_per_s, &what);
    }
}
