//! Services of which no server is reached, and the instances that take their requests over.

mod handover_model;

use handover_model::Outcome;
use turmericrail_core::forward::{
    DeclineReason, HandoverTargets, Member, ReachChange, ServerRun, ServiceReach,
};
use turmericrail_core::ids::{DataCentreId, ServiceId};
use turmericrail_core::units::{Millis, WallMillis};

fn run(number: u64) -> ServerRun {
    ServerRun { server: format!("s{number}").parse().unwrap(), started_ms: WallMillis(1) }
}

#[test]
fn six_servers() {
    let mut reach = ServiceReach::default();
    assert_eq!(reach.record_unreached(Millis(0), &run(1), 12), ReachChange::Doubtful);
    assert_eq!(reach.record_unreached(Millis(10), &run(1), 12), ReachChange::None);
    for number in 2..6 {
        assert_eq!(reach.record_unreached(Millis(20), &run(number), 12), ReachChange::None);
        assert!(!reach.is_cut_off());
    }
    let change = reach.record_unreached(Millis(30), &run(6), 12);
    assert_eq!(change, ReachChange::CutOff { unreached: 6 });
    assert!(reach.is_cut_off());
    let change = reach.record_reached(Millis(530));
    assert_eq!(change, ReachChange::ReachedAgain { after_ms: Millis(500) });
    assert!(!reach.is_cut_off());
}

// Guards against servers that are down being taken for a cut, as their connections time out later
// than those to the others open.
#[test]
fn some_servers_down() {
    let mut reach = ServiceReach::default();
    for round in 0..20 {
        let began_ms = round * 400;
        assert_eq!(reach.record_reached(Millis(began_ms + 1)), ReachChange::None);
        for number in 0..6 {
            reach.record_unreached(Millis(began_ms + 201), &run(number), 12);
            assert!(!reach.is_cut_off(), "round {round}");
        }
    }
}

// Guards against a few lost servers being taken for a cut while others are reached.
#[test]
fn reached_between() {
    let mut reach = ServiceReach::default();
    for number in 0..9 {
        reach.record_unreached(Millis(number * 10), &run(number), 12);
        if number % 2 == 1 {
            assert_eq!(reach.record_reached(Millis(number * 10 + 5)), ReachChange::None);
        }
        assert!(!reach.is_cut_off());
    }
}

// Guards against one lost packet being taken for a cut where a service has a single server.
#[test]
fn few_servers() {
    let mut reach = ServiceReach::default();
    assert_eq!(reach.record_unreached(Millis(0), &run(1), 1), ReachChange::Doubtful);
    assert_eq!(reach.record_unreached(Millis(200), &run(1), 1), ReachChange::None);
    let change = reach.record_unreached(Millis(550), &run(1), 1);
    assert_eq!(change, ReachChange::CutOff { unreached: 1 });
}

// Guards against servers that were lost one after the other over a long time counting as a cut.
#[test]
fn old_evidence() {
    let mut reach = ServiceReach::default();
    for number in 0..6 {
        reach.record_unreached(Millis(number * 3_000), &run(number), 12);
        assert!(!reach.is_cut_off());
    }
}

// Guards against a service without requests staying cut off, and probed, for ever.
#[test]
fn idle_service() {
    let mut reach = ServiceReach::default();
    (0..6).for_each(|number| {
        reach.record_unreached(Millis(0), &run(number), 12);
    });
    for now_ms in (0..10_000).step_by(500) {
        reach.record_unreached(Millis(now_ms), &run(now_ms % 6), 12);
        assert!(reach.expire(Millis(now_ms)));
        assert!(reach.is_cut_off());
    }
    reach.expire(Millis(10_000));
    assert!(!reach.is_cut_off());
    assert!(!reach.expire(Millis(20_000)));
}

// Guards against probes of servers while their service answers.
#[test]
fn silence_probes() {
    let mut reach = ServiceReach::default();
    reach.record_answer(Millis(1_000));
    assert!(!reach.plan_silence_probe(Millis(1_200), &run(1)));
    assert!(reach.plan_silence_probe(Millis(1_300), &run(1)));
    assert!(!reach.plan_silence_probe(Millis(1_400), &run(1)));
    assert!(reach.plan_silence_probe(Millis(1_400), &run(2)));
    assert!(reach.plan_silence_probe(Millis(2_300), &run(1)));
}

fn member(number: u8) -> Member {
    Member {
        instance: format!("front-{number}").parse().unwrap(),
        data_centre: format!("dc-{}", number % 2).parse().unwrap(),
        address: ([127, 0, 0, number], 1).into(),
        age_ms: Millis::ZERO,
    }
}

#[test]
fn left_out_members() {
    let mut targets = HandoverTargets::default();
    let own: DataCentreId = "dc-0".parse().unwrap();
    let services: [ServiceId; 2] = ["desk", "llm"].map(|name| name.parse().unwrap());
    let pick = |targets: &HandoverTargets, now_ms, service| -> Vec<String> {
        let members = (0..4).map(member).collect();
        let picked = targets.candidates(Millis(now_ms), members, service, &own, 7);
        picked.into_iter().map(|member| member.instance.to_string()).collect()
    };
    let mut local = pick(&targets, 0, &services[0])[..2].to_vec();
    local.sort();
    assert_eq!(local, ["front-0", "front-2"]);
    let front_0 = "front-0".parse().unwrap();
    targets.record_declined(Millis(0), &front_0, &services[0], DeclineReason::CutOff);
    assert!(!pick(&targets, 100, &services[0]).contains(&"front-0".to_owned()));
    assert!(pick(&targets, 100, &services[1]).contains(&"front-0".to_owned()));
    assert!(pick(&targets, 3_000, &services[0]).contains(&"front-0".to_owned()));
    targets.record_unreached(Millis(3_000), &front_0);
    assert!(!pick(&targets, 3_100, &services[1]).contains(&"front-0".to_owned()));
    targets.expire(Millis(60_000));
    assert_eq!(targets.entry_count(), 0);
}

/// Runs the model, prints its figures, and asserts that first tries at cut-off instances are served at
/// least two thirds as often as the others.
fn run_model(count: usize, seed: u64, is_cut_off: impl Fn(usize) -> bool) -> Outcome {
    let is_cut_off: Vec<_> = (0..count).map(is_cut_off).collect();
    let outcome = handover_model::run(seed, &is_cut_off);
    println!(
        "instances={count} seed={seed} requests={} unplaced={} last_unplaced_ms={} \
         late={} unplaced_late={} offers_per_request={:.2} spread={:.2} most_entries={}",
        outcome.requests,
        outcome.unplaced,
        outcome.last_unplaced_ms,
        outcome.requests_late,
        outcome.unplaced_late,
        outcome.offers_per_request(),
        outcome.spread(),
        outcome.most_entries
    );
    let served_late = outcome.requests_late - outcome.unplaced_late;
    assert!(served_late * 3 >= outcome.requests_late * 2, "{outcome:?}");
    outcome
}

// Guards against requests of a half that is cut off being refused, or all taken by a few instances.
#[test]
fn half_cut_off() {
    for count in [9, 69, 320] {
        for seed in 1..=3 {
            let outcome = run_model(count, seed, |number| number % 2 == 0);
            // No instance takes more than double the load that it has to.
            assert!(outcome.spread() <= 2.0, "{count}: {outcome:?}");
            assert!(outcome.most_entries < count);
        }
    }
}

// Guards against a data centre that is cut off as a whole, whose instances ask each other first.
#[test]
fn whole_data_centre() {
    for count in [9, 69, 320] {
        run_model(count, 1, |number| number % 3 == 0);
    }
}
