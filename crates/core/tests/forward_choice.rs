//! Where forwarded calls go, by load pattern.

mod forward_support;

use std::collections::BTreeMap;

use forward_support::{
    forwarder, model_call_size, server_entry, server_number, server_update, service_id,
};
use turmericrail_core::config::ServerRole::{Decode, Plain, Prefill};
use turmericrail_core::forward::{CallEnd, Forwarder, KvOrigin, PlanRefusal, ServerState};
use turmericrail_core::units::Millis;

/// Plain calls in a row, none of which ends; how many went to each server.
fn spread(forwarder: &mut Forwarder, now_ms: u64, calls: u64) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for draw in 0..calls {
        let choice =
            forwarder.choose_plain(Millis(now_ms), &service_id(), true, &[], draw).unwrap();
        forwarder.record_call_start(&choice);
        *counts.entry(server_number(&choice)).or_default() += 1;
    }
    counts
}

#[test]
fn burst_spreads() {
    // A burst of calls that arrive before any ends: no server gets much more than its part.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b"), (Plain, "dc-c")]);
    let counts = spread(&mut forwarder, 0, 18);
    assert!(counts.values().all(|count| (5..=7).contains(count)), "{counts:?}");
}

#[test]
fn failing_server() {
    // A server that answers its health check and fails a call is left out for a while, and tried
    // again later.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b")]);
    let service = service_id();
    let tried_at = |forwarder: &Forwarder, now_ms| {
        let choose = |draw| forwarder.choose_plain(Millis(now_ms), &service, true, &[], draw);
        (0..32).filter(|draw| server_number(&choose(*draw).unwrap()) == 1).count()
    };
    let choose = |draw| forwarder.choose_plain(Millis(0), &service, true, &[], draw);
    let choice = (0..32).filter_map(choose).find(|choice| server_number(choice) == 1).unwrap();
    forwarder.record_call_start(&choice);
    forwarder.record_call_end(Millis(0), &choice, CallEnd::Failed);
    assert_eq!(tried_at(&forwarder, 100), 0);
    assert!(tried_at(&forwarder, 40_000) > 0);
}

#[test]
fn leaving_server() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-b")]);
    let mut leaving = server_entry(1, Plain, "dc-a");
    leaving.state = ServerState::Draining;
    forwarder.apply_server_update(Millis(0), server_update(1, 50, Some(leaving)));
    let counts = spread(&mut forwarder, 0, 20);
    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), [2]);
}

#[test]
fn restarted_server() {
    // The same id at another start is another server: nothing of the first run counts for it.
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    let choice = forwarder.choose_plain(Millis(0), &service_id(), true, &[], 1).unwrap();
    for _ in 0..8 {
        forwarder.record_call_start(&choice);
        forwarder.record_call_end(Millis(0), &choice, CallEnd::TimedOut);
    }
    let first = server_number(&choice);
    let again = |forwarder: &Forwarder| {
        let choose = |draw| forwarder.choose_plain(Millis(10), &service_id(), true, &[], draw);
        (0..32).any(|draw| server_number(&choose(draw).unwrap()) == first)
    };
    assert!(!again(&forwarder));
    let mut restarted = server_entry(first, Plain, "dc-a");
    restarted.started_ms.0 += 1;
    forwarder.apply_server_update(Millis(5), server_update(first, 60, Some(restarted)));
    assert!(again(&forwarder));
}

#[test]
fn near_decode() {
    // Calm: the KV cache stays in the data centre of its prefill.
    let forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a"), (Decode, "dc-b")]);
    for draw in 0..32 {
        let plan = forwarder
            .plan_model(Millis(0), &service_id(), model_call_size(5_000), Millis(14_000), draw)
            .unwrap();
        assert_eq!(plan.prefill.as_ref().map(server_number), Some(1));
        assert_eq!(server_number(&plan.decode), 2);
    }
}

#[test]
fn full_engine() {
    // A decode engine whose memory is taken, or that said so, is left for one farther away.
    let mut forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a"), (Decode, "dc-b")]);
    let service = service_id();
    let near = "dc-a".parse().unwrap();
    let choose = |forwarder: &Forwarder, now_ms| {
        let prompt = model_call_size(5_000);
        forwarder
            .choose_decode(
                Millis(now_ms),
                &service,
                prompt,
                KvOrigin::PrefillEngineIn(&near),
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
    // Long prompts pile up at the only prefill engine: a decode engine reads the next one itself.
    let mut forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a")]);
    let service = service_id();
    let plan = |forwarder: &Forwarder| {
        forwarder
            .plan_model(Millis(0), &service, model_call_size(5_000), Millis(14_000), 1)
            .unwrap()
    };
    let prefill = plan(&forwarder).prefill.unwrap();
    for _ in 0..8 {
        forwarder.record_call_start(&prefill);
    }
    assert!(plan(&forwarder).prefill.is_none());
}

#[test]
fn hopeless_call() {
    let forwarder = forwarder(&[(Prefill, "dc-a"), (Decode, "dc-a")]);
    let service = service_id();
    let refused =
        forwarder.plan_model(Millis(0), &service, model_call_size(50_000), Millis(100), 1);
    assert!(matches!(refused, Err(PlanRefusal::DeadlineUnreachable { .. })));
    let empty = forward_support::forwarder(&[]);
    let refused = empty.plan_model(Millis(0), &service, model_call_size(5_000), Millis(9_000), 1);
    assert_eq!(refused, Err(PlanRefusal::NoServer));
}

#[test]
fn cut_data_centre() {
    // Two servers of a data centre fall silent one after the other: a third one there is left for
    // one elsewhere, though it has not failed itself.
    let servers = [(Plain, "dc-b"), (Plain, "dc-b"), (Plain, "dc-b"), (Plain, "dc-c")];
    let mut forwarder = forwarder(&servers);
    let service = service_id();
    let choose = |forwarder: &Forwarder, now_ms: u64, wanted: u16| {
        let choose = |draw| forwarder.choose_plain(Millis(now_ms), &service, true, &[], draw);
        (0..64).filter_map(choose).find(|choice| server_number(choice) == wanted)
    };
    for choice in [1, 2].map(|wanted| choose(&forwarder, 0, wanted).unwrap()) {
        forwarder.record_call_start(&choice);
        forwarder.record_call_end(Millis(0), &choice, CallEnd::TimedOut);
    }
    assert!(choose(&forwarder, 100, 3).is_none());
    assert!(choose(&forwarder, 100, 4).is_some());
    assert!(choose(&forwarder, 30_000, 3).is_some());
}

#[test]
fn unreached_server() {
    // The only server can't be reached: one call finds out, those after it are refused at once.
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
fn sizes() {
    let mut forwarder = forwarder(&[]);
    for _ in 0..50 {
        forwarder.relative_size(&service_id(), model_call_size(5_000));
    }
    assert!((0.9..1.1).contains(&forwarder.relative_size(&service_id(), model_call_size(5_000))));
    assert!(forwarder.relative_size(&service_id(), model_call_size(11_000)) > 1.8);
    assert!(forwarder.relative_size(&service_id(), model_call_size(200_000)) <= 3.0);
}
