//! Selection of servers for forwarded calls under different load patterns.

mod forward_support;

use std::collections::BTreeMap;

use forward_support::{
    forwarder, model_call_size, server_entry, server_number, server_update, service_id,
};
use turmericrail_core::config::ServerRole::{Decode, Plain, Prefill};
use turmericrail_core::forward::{
    CallEnd, Forwarder, KvOrigin, PlanRefusal, ServerState, VersionNeed,
};
use turmericrail_core::units::Millis;

/// Starts plain calls that do not end; returns how many went to each server.
fn start_plain_calls(forwarder: &mut Forwarder, now_ms: u64, calls: u64) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for random in 0..calls {
        let choice =
            forwarder.choose_plain(Millis(now_ms), &service_id(), true, &[], random).unwrap();
        forwarder.record_call_start(&choice);
        *counts.entry(server_number(&choice)).or_default() += 1;
    }
    counts
}

#[test]
fn burst_is_balanced() {
    // The calls arrive before any ends, so that no latency is known: each server must get about
    // its share.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b"), (Plain, "dc-c")]);
    let counts = start_plain_calls(&mut forwarder, 0, 18);
    assert!(counts.values().all(|count| (5..=7).contains(count)), "{counts:?}");
}

#[test]
fn failing_server() {
    // A server that fails a call is avoided for a while, although its registration says that it is
    // ready, and tried again later.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b")]);
    let service = service_id();
    let times_chosen_at = |forwarder: &Forwarder, now_ms| {
        let choose = |random| forwarder.choose_plain(Millis(now_ms), &service, true, &[], random);
        (0..32).filter(|random| server_number(&choose(*random).unwrap()) == 1).count()
    };
    let choose = |random| forwarder.choose_plain(Millis(0), &service, true, &[], random);
    let choice = (0..32).filter_map(choose).find(|choice| server_number(choice) == 1).unwrap();
    forwarder.record_call_start(&choice);
    forwarder.record_call_end(Millis(0), &choice, CallEnd::Failed);
    assert_eq!(times_chosen_at(&forwarder, 100), 0);
    assert!(times_chosen_at(&forwarder, 40_000) > 0);
}

#[test]
fn leaving_server() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b")]);
    let mut leaving = server_entry(1, Plain, "dc-a");
    leaving.state = ServerState::Draining;
    forwarder.apply_server_update(Millis(0), server_update(1, 50, Some(leaving)));
    let counts = start_plain_calls(&mut forwarder, 0, 20);
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn restarted_server() {
    // A server that registers the same id with another start time is a new run: failures of the
    // earlier run must not count for it.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    let choice = forwarder.choose_plain(Millis(0), &service_id(), true, &[], 1).unwrap();
    for _ in 0..8 {
        forwarder.record_call_start(&choice);
        forwarder.record_call_end(Millis(0), &choice, CallEnd::TimedOut);
    }
    let first_number = server_number(&choice);
    let is_chosen_again = |forwarder: &Forwarder| {
        let choose = |random| forwarder.choose_plain(Millis(10), &service_id(), true, &[], random);
        (0..32).any(|random| server_number(&choose(random).unwrap()) == first_number)
    };
    assert!(!is_chosen_again(&forwarder));
    let mut restarted = server_entry(first_number, Plain, "dc-a");
    restarted.started_ms.0 += 1;
    forwarder.apply_server_update(Millis(5), server_update(first_number, 60, Some(restarted)));
    assert!(is_chosen_again(&forwarder));
}

#[test]
fn local_decode() {
    // Without load, the KV cache stays in the data centre in which it was computed.
    let forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a"), (Decode, "dc-b")]);
    for random in 0..32 {
        let plan = forwarder
            .plan_model(
                Millis(0),
                &service_id(),
                model_call_size(5_000),
                VersionNeed::Any,
                Millis(14_000),
                random,
            )
            .unwrap();
        assert_eq!(plan.prefill.as_ref().map(server_number), Some(1));
        assert_eq!(server_number(&plan.decode), 2);
    }
}

#[test]
fn full_engine() {
    // If the local decode engine reported that it is full, or its memory is reserved by calls in
    // flight, one in another data centre is used.
    let mut forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a"), (Decode, "dc-b")]);
    let service = service_id();
    let local = "dc-a".parse().unwrap();
    let choose = |forwarder: &Forwarder, now_ms| {
        let prompt = model_call_size(5_000);
        forwarder
            .choose_decode(
                Millis(now_ms),
                &service,
                prompt,
                KvOrigin::PrefillEngineIn(&local),
                &[],
                3,
            )
            .unwrap()
    };
    let first = choose(&forwarder, 0);
    assert_eq!(server_number(&first), 2);
    forwarder.record_full(Millis(0), &first);
    assert_eq!(server_number(&choose(&forwarder, 10)), 3);
    assert_eq!(server_number(&choose(&forwarder, 1_000)), 2);
    for _ in 0..10 {
        forwarder.record_call_start(&first);
    }
    assert_eq!(server_number(&choose(&forwarder, 1_000)), 3);
}

#[test]
fn prefill_backlog() {
    // Long prompts queue at the only prefill engine: the decode engine processes the next one
    // itself.
    let mut forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a")]);
    let service = service_id();
    let plan = |forwarder: &Forwarder| {
        forwarder
            .plan_model(
                Millis(0),
                &service,
                model_call_size(5_000),
                VersionNeed::Any,
                Millis(14_000),
                1,
            )
            .unwrap()
    };
    let prefill = plan(&forwarder).prefill.unwrap();
    for _ in 0..8 {
        forwarder.record_call_start(&prefill);
    }
    assert!(plan(&forwarder).prefill.is_none());
}

#[test]
fn refused_calls() {
    let forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a")]);
    let service = service_id();
    let refusal = forwarder.plan_model(
        Millis(0),
        &service,
        model_call_size(50_000),
        VersionNeed::Any,
        Millis(100),
        1,
    );
    assert!(matches!(refusal, Err(PlanRefusal::DeadlineUnreachable { .. })));
    let without_servers = forward_support::forwarder(&[]);
    let refusal = without_servers.plan_model(
        Millis(0),
        &service,
        model_call_size(5_000),
        VersionNeed::Any,
        Millis(9_000),
        1,
    );
    assert_eq!(refusal, Err(PlanRefusal::NoServer));
}

#[test]
fn silent_data_centre() {
    // Calls to two servers of a data centre time out, so a third one there is avoided in favour of
    // another data centre, although it has not failed itself.
    let servers = [(Plain, "dc-b"), (Plain, "dc-b"), (Plain, "dc-b"), (Plain, "dc-c")];
    let mut forwarder = forwarder(&servers);
    let service = service_id();
    let choose = |forwarder: &Forwarder, now_ms: u64, wanted_number: u16| {
        let choose = |random| forwarder.choose_plain(Millis(now_ms), &service, true, &[], random);
        (0..64).filter_map(choose).find(|choice| server_number(choice) == wanted_number)
    };
    for choice in [1, 2].map(|wanted_number| choose(&forwarder, 0, wanted_number).unwrap()) {
        forwarder.record_call_start(&choice);
        forwarder.record_call_end(Millis(0), &choice, CallEnd::TimedOut);
    }
    assert!(choose(&forwarder, 100, 3).is_none());
    assert!(choose(&forwarder, 100, 4).is_some());
    assert!(choose(&forwarder, 30_000, 3).is_some());
}

#[test]
fn unreachable_server() {
    // The only server is unreachable: after the first call failed, later ones are refused at once.
    let mut forwarder = forwarder(&[(Plain, "dc-b")]);
    let service = service_id();
    let choose = |forwarder: &Forwarder, now_ms| {
        forwarder.choose_plain(Millis(now_ms), &service, true, &[], 1)
    };
    let choice = choose(&forwarder, 0).unwrap();
    forwarder.record_call_start(&choice);
    forwarder.record_call_end(Millis(200), &choice, CallEnd::Unreachable);
    assert!(choose(&forwarder, 300).is_none());
    assert!(choose(&forwarder, 700).is_some());
}

#[test]
fn relative_sizes() {
    let mut forwarder = forwarder(&[]);
    for _ in 0..50 {
        forwarder.relative_size(&service_id(), model_call_size(5_000));
    }
    assert!((0.9..1.1).contains(&forwarder.relative_size(&service_id(), model_call_size(5_000))));
    assert!(forwarder.relative_size(&service_id(), model_call_size(11_000)) > 1.8);
    assert!(forwarder.relative_size(&service_id(), model_call_size(200_000)) <= 3.0);
}
