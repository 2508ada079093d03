//! Where requests go: KV reuse, prefixes, distance, and servers that fail.

mod single_instance;

use quickcheck::{Arbitrary, Gen};
use single_instance::{
    Simulation, document, errors, local_document, prefills, printer_request, transfers,
};
use turmericrail_core::action::Action;
use turmericrail_core::estimate::{BoundedMean, EjectedServers, Estimates};
use turmericrail_core::event::Event;
use turmericrail_core::ids::{RequestId, ServerId};
use turmericrail_core::route::{PrefixCacheIndex, RankedServer, lowest_cost};
use turmericrail_core::units::{Millis, Streams, Tokens};

const CASES: u64 = 1_000;

fn id(text: &str) -> ServerId {
    text.parse().unwrap()
}

#[test]
fn kv_used_again() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let first = transfers(&simulation.finish_prefill((RequestId(1), stream.clone())));
    simulation.now_ms += 5;
    let actions = simulation.handle_event(Event::TransferFailed(RequestId(1), stream));
    assert_eq!(prefills(&actions), [], "nothing is prefilled again");
    let second = transfers(&actions);
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

#[test]
fn stalled_engine_blamed() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.advance(350);
    let second =
        transfers(&simulation.handle_event(Event::TransferFailed(RequestId(1), stream.clone())));
    simulation.now_ms += 2;
    let actions = simulation.handle_event(Event::TransferFailed(RequestId(1), stream));
    let again = prefills(&actions);
    assert_eq!(again.len(), 1, "the result went with the stalled engine, so it is made again");
    let third = transfers(&simulation.finish_prefill((RequestId(1), again[0].1.clone())));
    assert_eq!(third, second, "the engine that failed at once is not to blame");
}

#[test]
fn failed_source_blamed() {
    let mut simulation = Simulation::start(document());
    let (_, stream, first) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.now_ms += 5;
    simulation.handle_event(Event::TransferFailed(RequestId(1), stream.clone()));
    simulation.now_ms += 5;
    let again = prefills(&simulation.handle_event(Event::TransferFailed(RequestId(1), stream)));
    assert_eq!(again.len(), 1, "two decode engines could not fetch the result: made elsewhere");
    assert_ne!(again[0].2, first);
    let third = transfers(&simulation.finish_prefill((RequestId(1), again[0].1.clone())));
    assert_eq!(third.len(), 1, "the decode engines are not to blame");
}

#[test]
fn seat_stays_free() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let server = id(&transfers(&simulation.finish_prefill((RequestId(1), stream.clone())))[0]);
    simulation.handle_event(Event::TransferDone(RequestId(1), stream.clone()));
    simulation.reported_streams.insert(server.clone(), vec![(stream.clone(), 40)]);
    simulation.advance(600);
    assert_eq!(simulation.node.status().servers[&server].leases, 1);
    simulation.handle_event(Event::StreamEnded(RequestId(1), stream));
    simulation.advance(600);
    assert_eq!(simulation.node.status().servers[&server].leases, 0, "an old report brings it back");
}

#[test]
fn far_when_silent() {
    let mut simulation = Simulation::start(document());
    let near = prefills(&simulation.submit(printer_request(1, 500)));
    assert_eq!(near[0].2, "p1");
    simulation.unresponsive_servers.insert(id("p1"));
    simulation.advance(3_500);
    let far = prefills(&simulation.submit(printer_request(2, 500)));
    assert_eq!(far[0].2, "q1");
    let decode = transfers(&simulation.finish_prefill((RequestId(2), far[0].1.clone())));
    assert_eq!(decode, ["x1"], "the decode engine stands where the prompt was computed");
}

#[test]
fn far_when_full() {
    let mut simulation = Simulation::start(document());
    let mut used = Vec::new();
    for request in 0..2 {
        used.extend(
            prefills(&simulation.submit(printer_request(request, 4_000)))
                .into_iter()
                .map(|call| call.2),
        );
    }
    assert_eq!(used, ["p1", "q1"]);
}

#[test]
fn failed_engine_comes_back() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    let actions = simulation.handle_event(Event::PrefillFailed(RequestId(1), stream));
    assert_eq!(prefills(&actions), []);
    assert_eq!(
        prefills(&simulation.submit(printer_request(2, 500))),
        [],
        "it is out of use for a while"
    );
    assert_eq!(prefills(&simulation.advance(1_200)).len(), 1, "and tried again");
}

#[test]
fn ejection_grows() {
    let (mut suspects, server) = (EjectedServers::default(), id("p1"));
    suspects.record_failure(Millis(0), &server);
    assert!(suspects.is_ejected(Millis(999), &server));
    assert!(!suspects.is_ejected(Millis(1_000), &server));
    suspects.record_failure(Millis(1_000), &server);
    assert!(suspects.is_ejected(Millis(2_999), &server));
    suspects.record_success(&server);
    assert!(!suspects.is_ejected(Millis(1_001), &server));
}

#[test]
fn lost_answer_unknown() {
    let mut simulation = Simulation::start(local_document());
    let (_, stream, _) = prefills(&simulation.submit(printer_request(1, 500)))[0].clone();
    simulation.finish_prefill((RequestId(1), stream.clone()));
    simulation.handle_event(Event::TransferDone(RequestId(1), stream.clone()));
    simulation.handle_event(Event::FirstToken(RequestId(1), stream.clone()));
    simulation.unresponsive_servers.extend([id("d1"), id("d2")]);
    simulation.advance(600);
    let request = RequestId(1);
    simulation.handle_event(Event::StreamBroken { request, stream, next_index: 1, is_held: false });
    let answers = errors(&simulation.advance(10_000));
    assert_eq!(answers.len(), 1);
    assert_eq!(answers[0].1.answer().outcome.as_str(), "unknown", "tokens had been passed on");
}

#[test]
fn belief_ages() {
    let (mut beliefs, server) = (PrefixCacheIndex::default(), id("p1"));
    let hashes = [1, 2, 3, 4];
    beliefs.record_prefill(Millis(0), &server, &hashes[..2]);
    let cached = |now_ms| beliefs.cached_tokens(Millis(now_ms), &server, &hashes, Tokens(400));
    assert_eq!(cached(1_000), Tokens(200));
    assert_eq!(cached(60_000), Tokens::ZERO);
    beliefs.remove(&server, &hashes);
    assert_eq!(beliefs.cached_tokens(Millis(1), &server, &hashes, Tokens(400)), Tokens::ZERO);
}

#[test]
fn outlier_bounded() {
    for seed in 0..CASES {
        let mut source = Gen::from_size_and_seed(64, seed);
        let mut mean = BoundedMean::new(10.0);
        let before = mean.value();
        mean.add(f64::arbitrary(&mut source));
        assert!(mean.value().is_finite() && mean.value() > 0.0, "seed {seed}");
        assert!((before * 0.9..=before * 1.4).contains(&mean.value()), "seed {seed}");
    }
}

#[test]
fn new_engine_as_others() {
    let mut estimates = Estimates::default();
    for _ in 0..100 {
        estimates.record_prefill(&id("p1"), Tokens(1_000), Millis(1_000));
    }
    let new = estimates.prefill_ms(&id("p2"), Tokens(1_000)).0;
    assert!((950..=1_050).contains(&new), "a new engine counts as the others do, not {new} ms");
    estimates.record_prefill(&id("p2"), Tokens(1_000), Millis(10));
    let after = estimates.prefill_ms(&id("p2"), Tokens(1_000)).0;
    assert!(after > new * 4 / 5, "one fast answer is not trusted");
}

#[test]
fn batch_slows() {
    let estimates = Estimates::default();
    let one = estimates.token_interval_ms(&id("d1"), Streams(1));
    assert!(estimates.token_interval_ms(&id("d1"), Streams(20)) > one);
}

#[test]
fn ties_differ() {
    let servers: Vec<_> = (0..8).map(|number| id(&format!("p{number}"))).collect();
    let mut chosen = std::collections::BTreeSet::new();
    for instance in 0..32_u64 {
        let choices = servers.iter().map(|server| RankedServer { server, cost: 1.0 });
        let hash = instance.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        chosen.insert(lowest_cost(choices, hash).unwrap().server.clone());
    }
    assert!(chosen.len() > 4, "instances turn to {chosen:?} alone");
}

#[test]
fn choices_logged() {
    let mut simulation = Simulation::start(local_document());
    let actions = simulation.submit(printer_request(1, 500));
    for event in ["choose_prefill", "choose_decode", "slot", "seat"] {
        let is_logged =
            |action: &Action| matches!(action, Action::Log(line) if line.event == event);
        assert!(actions.iter().any(is_logged), "{event} is not logged");
    }
}
