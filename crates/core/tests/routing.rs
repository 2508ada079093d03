//! Selection of engines for model requests: reuse of KV caches and prompt prefixes, remote data
//! centres, and engines that fail.

mod single_instance;

use quickcheck::{Arbitrary, Gen};
use single_instance::{
    Simulation, document, errors, local_document, prefills, printer_request, transfers,
};
use turmericrail_core::action::Action;
use turmericrail_core::estimate::{BoundedMean, EjectedServers, Estimates};
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId};
use turmericrail_core::route::{PrefixCacheIndex, RankedServer, lowest_cost_server};
use turmericrail_core::units::{Millis, Streams, Tokens};

const SEED_COUNT: u64 = 1_000;

fn server_id(text: &str) -> ServerId {
    text.parse().unwrap()
}

#[test]
fn kv_result_reused() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let first = transfers(&simulation.finish_prefill((RequestId(1), stream.clone())));
    simulation.now_ms += 5;
    let actions = simulation.handle_event(Event::TransferFailed(RequestId(1), stream));
    assert_eq!(prefills(&actions), [], "the prefill is not repeated");
    let second = transfers(&actions);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

#[test]
fn stalled_transfer() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.advance(350);
    let second =
        transfers(&simulation.handle_event(Event::TransferFailed(RequestId(1), stream.clone())));
    simulation.now_ms += 2;
    let actions = simulation.handle_event(Event::TransferFailed(RequestId(1), stream));
    let repeated = prefills(&actions);
    assert_eq!(
        repeated.len(),
        1,
        "the result was lost with the stalled engine, so the prefill is repeated"
    );
    let third = transfers(&simulation.finish_prefill((RequestId(1), repeated[0].1.clone())));
    assert_eq!(third, second, "the engine that failed at once is not ejected");
}

#[test]
fn failed_transfer_source() {
    let mut simulation = Simulation::start(document());
    let (_, stream, first) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.now_ms += 5;
    simulation.handle_event(Event::TransferFailed(RequestId(1), stream.clone()));
    simulation.now_ms += 5;
    let repeated = prefills(&simulation.handle_event(Event::TransferFailed(RequestId(1), stream)));
    assert_eq!(
        repeated.len(),
        1,
        "two decode engines could not fetch the result, so the prefill is repeated"
    );
    assert_ne!(repeated[0].2, first);
    let third = transfers(&simulation.finish_prefill((RequestId(1), repeated[0].1.clone())));
    assert_eq!(third.len(), 1, "the decode engines are not ejected");
}

#[test]
fn ended_seat_free() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let server =
        server_id(&transfers(&simulation.finish_prefill((RequestId(1), stream.clone())))[0]);
    simulation.handle_event(Event::TransferDone(RequestId(1), stream.clone()));
    simulation.reported_streams.insert(server.clone(), vec![(stream.clone(), 40)]);
    simulation.advance(600);
    assert_eq!(simulation.node.status().servers[&server].leases, 1);
    simulation.handle_event(Event::StreamEnded(RequestId(1), stream));
    simulation.advance(600);
    assert_eq!(
        simulation.node.status().servers[&server].leases,
        0,
        "an earlier report must not bring the lease back"
    );
}

#[test]
fn remote_when_silent() {
    let mut simulation = Simulation::start(document());
    let local = prefills(&simulation.submit(printer_request(1, 500)));
    assert_eq!(local[0].2, "p1");
    simulation.unresponsive_servers.insert(server_id("p1"));
    simulation.advance(3_500);
    let remote = prefills(&simulation.submit(printer_request(2, 500)));
    assert_eq!(remote[0].2, "q1");
    let decode = transfers(&simulation.finish_prefill((RequestId(2), remote[0].1.clone())));
    assert_eq!(decode, ["x1"], "decode runs in the data centre of the prefill");
}

#[test]
fn remote_when_full() {
    let mut simulation = Simulation::start(document());
    let mut engines = Vec::new();
    for request in 0..2 {
        engines.extend(
            prefills(&simulation.submit(printer_request(request, 4_000)))
                .into_iter()
                .map(|call| call.2),
        );
    }
    assert_eq!(engines, ["p1", "q1"]);
}

#[test]
fn failed_engine_retried() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let actions = simulation.handle_event(Event::PrefillFailed(RequestId(1), stream));
    assert_eq!(prefills(&actions), []);
    assert_eq!(
        prefills(&simulation.submit(printer_request(2, 500))),
        [],
        "the engine is ejected for a while"
    );
    assert_eq!(prefills(&simulation.advance(1_200)).len(), 1, "the engine is tried again");
}

#[test]
fn ejection_grows() {
    let (mut ejected_servers, server) = (EjectedServers::default(), server_id("p1"));
    ejected_servers.record_failure(Millis(0), &server);
    assert!(ejected_servers.is_ejected(Millis(999), &server));
    assert!(!ejected_servers.is_ejected(Millis(1_000), &server));
    ejected_servers.record_failure(Millis(1_000), &server);
    assert!(ejected_servers.is_ejected(Millis(2_999), &server));
    ejected_servers.record_success(&server);
    assert!(!ejected_servers.is_ejected(Millis(1_001), &server));
}

#[test]
fn unknown_outcome() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.handle_event(Event::TransferDone(RequestId(1), stream.clone()));
    simulation.handle_event(Event::FirstToken(RequestId(1), stream.clone()));
    simulation.unresponsive_servers.extend([server_id("d1"), server_id("d2")]);
    simulation.advance(600);
    let request = RequestId(1);
    simulation.handle_event(Event::StreamBroken { request, stream, next_index: 1, is_held: false });
    let answers = errors(&simulation.advance(10_000));
    assert_eq!(answers.len(), 1);
    assert_eq!(
        answers[0].1.answer().outcome.as_str(),
        "unknown",
        "the caller got tokens, so the request may have run"
    );
}

#[test]
fn prefix_entries_expire() {
    let (mut prefix_cache_index, server) = (PrefixCacheIndex::default(), server_id("p1"));
    let hashes = [1, 2, 3, 4];
    prefix_cache_index.record_prefill(Millis(0), &server, &hashes[..2]);
    let cached =
        |now_ms| prefix_cache_index.cached_tokens(Millis(now_ms), &server, &hashes, Tokens(400));
    assert_eq!(cached(1_000), Tokens(200));
    assert_eq!(cached(60_000), Tokens::ZERO);
    prefix_cache_index.remove(&server, &hashes);
    assert_eq!(
        prefix_cache_index.cached_tokens(Millis(1), &server, &hashes, Tokens(400)),
        Tokens::ZERO
    );
}

#[test]
fn bounded_outliers() {
    for seed in 0..SEED_COUNT {
        let mut generator = Gen::from_size_and_seed(64, seed);
        let mut mean = BoundedMean::new(10.0);
        let before = mean.value();
        mean.add(f64::arbitrary(&mut generator));
        assert!(mean.value().is_finite() && mean.value() > 0.0, "seed {seed}");
        assert!((before * 0.9..=before * 1.4).contains(&mean.value()), "seed {seed}");
    }
}

#[test]
fn new_engine_estimate() {
    let mut estimates = Estimates::default();
    for _ in 0..100 {
        estimates.record_prefill(&server_id("p1"), Tokens(1_000), Millis(1_000));
    }
    let new = estimates.prefill_ms(&server_id("p2"), Tokens(1_000)).0;
    assert!(
        (950..=1_050).contains(&new),
        "a new engine is estimated like the others, not at {new} ms"
    );
    estimates.record_prefill(&server_id("p2"), Tokens(1_000), Millis(10));
    let after = estimates.prefill_ms(&server_id("p2"), Tokens(1_000)).0;
    assert!(after > new * 4 / 5, "one fast prefill changes the estimate only a little");
}

#[test]
fn larger_batch_slower() {
    let estimates = Estimates::default();
    let one = estimates.token_interval_ms(&server_id("d1"), Streams(1));
    assert!(estimates.token_interval_ms(&server_id("d1"), Streams(20)) > one);
}

#[test]
fn tie_breaking() {
    let servers: Vec<_> = (0..8).map(|number| server_id(&format!("p{number}"))).collect();
    let mut chosen = std::collections::BTreeSet::new();
    for instance in 0..32_u64 {
        let candidates = servers.iter().map(|server| RankedServer { server, cost: 1.0 });
        let hash = instance.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        chosen.insert(lowest_cost_server(candidates, hash).unwrap().server.clone());
    }
    assert!(chosen.len() > 4, "instances choose only {chosen:?}");
}

#[test]
fn decisions_are_logged() {
    let mut simulation = Simulation::start(local_document());
    let actions = simulation.submit(printer_request(1, 500));
    for event in ["choose_prefill", "choose_decode", "slot", "seat"] {
        let is_logged =
            |action: &Action| matches!(action, Action::Log(line) if line.event == event);
        assert!(actions.iter().any(is_logged), "{event} is not logged");
    }
}
