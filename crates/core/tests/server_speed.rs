//! The lasting and the momentary speed of servers in predictions and choices.

mod forward_support;

use std::time::Instant;

use forward_support::{
    forwarder, model_call_size, route, server_entry, server_number, server_update, service_id,
    table,
};
use turmericrail_core::config::ServerRole::{Decode, Plain};
use turmericrail_core::forward::{
    CallEnd, ChosenServer, Forwarder, KvOrigin, LastingSlowdown, LastingSpeed, ReportedLoad,
    ServerSpeed,
};
use turmericrail_core::units::{Millis, Tokens};

/// Time for which a stated figure says anything.
const FIGURE_LIFETIME_MS: u64 = 600;

fn stated(percent: &str) -> ReportedLoad {
    ReportedLoad { work_time: percent.parse().ok(), ..ReportedLoad::default() }
}

fn plain(forwarder: &Forwarder, now_ms: u64, random: u64) -> ChosenServer {
    forwarder.choose_plain(Millis(now_ms), &service_id(), true, &[], random).unwrap()
}

fn choice_of(forwarder: &Forwarder, number: u16) -> ChosenServer {
    let choices = (0..256).map(|random| plain(forwarder, 0, random));
    choices.into_iter().find(|choice| server_number(choice) == number).unwrap()
}

/// Guards against a figure that counts after the server has changed its speed.
#[test]
fn ageing_figure() {
    let mut speed = ServerSpeed::default();
    assert_eq!(speed.time_ratio(Millis(0), 1.0), None);
    speed.record_figure(Millis(1_000), "250".parse().unwrap());
    let ratio = |at_ms| speed.time_ratio(Millis(at_ms), 1.0).unwrap();
    assert!(ratio(1_000) > 2.4);
    let half_ms = 1_000 + FIGURE_LIFETIME_MS / 2;
    assert!((1.6..1.9).contains(&ratio(half_ms)), "{}", ratio(half_ms));
    let late = ratio(1_000 + FIGURE_LIFETIME_MS);
    assert!((1.0..1.1).contains(&late), "{late}");
    // Long work outlasts the figure.
    assert!(speed.time_ratio(Millis(1_000), 2_000.0).unwrap() < 1.1);
}

/// Guards against a momentary slowness that is learned as a lasting one.
#[test]
fn separate_factors() {
    for lasting in [0.625, 1.0, 1.67] {
        let mut speed = ServerSpeed::default();
        for step in 0..60 {
            let now_ms = Millis(1_000 + step * FIGURE_LIFETIME_MS);
            let (figure, momentary) = if step % 6 == 0 { ("250", 2.5) } else { ("100", 1.0) };
            speed.record_figure(now_ms, figure.parse().unwrap());
            speed.record_time(now_ms, 100.0 * lasting * momentary, 100.0);
        }
        let learned = speed.lasting().value(Millis(36_400));
        assert!((learned / lasting - 1.0).abs() < 0.05, "{learned} {lasting}");
    }
}

/// Guards against a server that is avoided for ever after it was slow.
#[test]
fn forgotten_slowness() {
    let mut lasting = LastingSlowdown::default();
    for _ in 0..10 {
        lasting.record(Millis(0), 3.0);
    }
    assert!(lasting.value(Millis(0)) > 2.5);
    assert!(lasting.value(Millis(60_000)) > 2.2);
    assert!(lasting.value(Millis(1_800_000)) < 1.05);
}

/// Guards against a changed prediction for servers that state no speed, and against what others
/// tell of runs that are not registered.
#[test]
fn unstated_speed() {
    let mut forwarder = forwarder(&[(Plain, "dc-a")]);
    let choice = plain(&forwarder, 0, 1);
    forwarder.record_reported_load(Millis(0), &choice.run, ReportedLoad::default());
    forwarder.record_answer_time(Millis(0), &choice, Millis(100));
    assert_eq!(forwarder.lasting_speeds(Millis(0)), []);
    // A sample of twice the usual time weighs 0.3 and loses half of its effect in 4 s.
    let ratio = |now_ms| {
        let choice = plain(&forwarder, now_ms, 1);
        choice.predicted_latency_ms.0 as f64 / choice.baseline_latency_ms.0 as f64
    };
    assert!((ratio(0) - 1.3).abs() < 0.03, "{}", ratio(0));
    assert!((ratio(4_000) - 1.15).abs() < 0.03, "{}", ratio(4_000));
    let mut unknown = choice.run.clone();
    unknown.started_ms.0 += 1;
    let told = LastingSpeed { run: unknown.clone(), slowdown: 2.0, samples: 5 };
    forwarder.merge_lasting_speed(Millis(0), &told);
    assert!(forwarder.server_speed(&unknown).is_none());
}

/// Guards against a late report of an earlier run that slows its successor.
#[test]
fn earlier_run() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    let earlier = choice_of(&forwarder, 1);
    let mut restarted = server_entry(1, Plain, "dc-a");
    restarted.started_ms.0 += 1;
    forwarder.apply_server_update(Millis(5), server_update(1, 60, Some(restarted)));
    forwarder.record_reported_load(Millis(10), &earlier.run, stated("250"));
    assert!(forwarder.server_speed(&earlier.run).is_none());
    assert!(forwarder.lasting_speeds(Millis(10)).is_empty());
}

/// Guards against a momentarily slow server that gets calls while another one is known to be fast.
#[test]
fn slow_moment() {
    let mut forwarder = forwarder(&[(Plain, "dc-a"), (Plain, "dc-a")]);
    let (slow, fast) = (choice_of(&forwarder, 1), choice_of(&forwarder, 2));
    forwarder.record_reported_load(Millis(0), &slow.run, stated("250"));
    forwarder.record_reported_load(Millis(0), &fast.run, stated("100"));
    let slow_share = |now_ms| {
        let choices = (0..256).map(|random| server_number(&plain(&forwarder, now_ms, random)));
        choices.filter(|number| *number == 1).count() as f64 / 256.0
    };
    assert!(slow_share(0) < 0.05, "{}", slow_share(0));
    assert!(slow_share(FIGURE_LIFETIME_MS) > 0.3, "{}", slow_share(FIGURE_LIFETIME_MS));
}

fn decode_share(forwarder: &Forwarder, output: u64, number: u16) -> f64 {
    let data_centre = "dc-a".parse().unwrap();
    let origin = KvOrigin::PrefillEngineIn(&data_centre);
    let mut size = model_call_size(1_000);
    (size.max_output_tokens, size.expected_output_tokens) = (Tokens(output), Tokens(output));
    let choose = |random| {
        forwarder.choose_decode(Millis(0), &service_id(), size, origin, &[], random).unwrap()
    };
    let choices = (0..256).map(|random| server_number(&choose(random)));
    choices.filter(|it| *it == number).count() as f64 / 256.0
}

/// Guards against long answers at an engine whose events come later than the gap target.
#[test]
fn late_gaps() {
    let mut forwarder = forwarder(&[(Decode, "dc-a"), (Decode, "dc-a")]);
    let origin = KvOrigin::DecodeEngine;
    let size = model_call_size(1_000);
    let mut choices = (0..256).filter_map(|random| {
        forwarder.choose_decode(Millis(0), &service_id(), size, origin, &[], random)
    });
    let slow = choices.find(|choice| server_number(choice) == 1).unwrap();
    let run_of = |number: u16| {
        let mut run = slow.run.clone();
        run.server = format!("s{number}").parse().unwrap();
        run
    };
    for (number, slowdown) in [(1, 1.67), (2, 1.0)] {
        let told = LastingSpeed { run: run_of(number), slowdown, samples: 10 };
        forwarder.merge_lasting_speed(Millis(0), &told);
    }
    // Events 200 ms apart at an average engine, 334 at the slow one; 300 are allowed.
    forwarder.record_generation_time(Millis(0), &slow, Millis(14_000), 71, Tokens(71));
    assert_eq!(decode_share(&forwarder, 71, 1), 0.0);
    let mut lenient = route("r", "a.example", "/");
    lenient.gap_target_ms = Millis(0);
    forwarder.apply_table(table(2, vec![lenient]));
    assert!(decode_share(&forwarder, 1, 1) > 0.0);
}

/// Guards against memory of a slow engine that counts as free once its report is a second old.
#[test]
fn held_memory() {
    let mut forwarder = forwarder(&[(Decode, "dc-a"), (Decode, "dc-a")]);
    let size = model_call_size(1_000);
    let choose = |forwarder: &Forwarder, now_ms, random| {
        let origin = KvOrigin::DecodeEngine;
        forwarder.choose_decode(Millis(now_ms), &service_id(), size, origin, &[], random).unwrap()
    };
    let slow = (0..256)
        .map(|random| choose(&forwarder, 0, random))
        .find(|choice| server_number(choice) == 1)
        .unwrap();
    let report = ReportedLoad { running_calls: 14, ..stated("100") };
    forwarder.record_reported_load(Millis(0), &slow.run, report);
    let share = (0..256).filter(|random| server_number(&choose(&forwarder, 1_200, *random)) == 1);
    assert_eq!(share.count(), 0, "its memory is full as far as is known");
}

/// Guards against a choice that takes longer with stated speeds than without.
#[test]
fn choice_cost() {
    let servers: Vec<_> = (0..1_200).map(|_| (Decode, "dc-a")).collect();
    let time_us = |is_stated: bool| {
        let mut forwarder = forwarder(&servers);
        let choice = forwarder.choose_decode(
            Millis(0),
            &service_id(),
            model_call_size(1_000),
            KvOrigin::DecodeEngine,
            &[],
            1,
        );
        let choice = choice.unwrap();
        for number in 1..=1_200 {
            let mut run = choice.run.clone();
            run.server = format!("s{number}").parse().unwrap();
            let load = if is_stated { stated("120") } else { ReportedLoad::default() };
            forwarder.record_reported_load(Millis(0), &run, load);
        }
        forwarder.record_call_start(&choice);
        forwarder.record_call_end(Millis(1), &choice, CallEnd::Answered);
        let began_at = Instant::now();
        for random in 0..20 {
            let size = model_call_size(1_000);
            let origin = KvOrigin::DecodeEngine;
            forwarder.choose_decode(Millis(2), &service_id(), size, origin, &[], random).unwrap();
        }
        began_at.elapsed().as_micros()
    };
    let (without, with) = (time_us(false), time_us(true));
    println!("20 choices among 1,200 engines: {without} us without, {with} us with stated speeds");
    assert!(with < 3 * without, "{with} {without}");
}
