//! Which requests are admitted, in which order, and how the others are refused.

mod single_instance;

use quickcheck::{Arbitrary, Gen};
use single_instance::{Simulation, errors, local_document, prefills, printer_request};
use turmericrail_core::admission::{SeatGrantRate, TransferSchedule, WaitingRequest, plan};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{DataCentreId, RequestId};
use turmericrail_core::units::{Millis, Tokens};

const SEED_COUNT: u64 = 2_000;

#[test]
fn refused_on_arrival() {
    let mut simulation = Simulation::start(local_document());
    let mut model_request = printer_request(1, 8_000);
    model_request.caller_kind = "salesman".parse().unwrap();
    let answers = errors(&simulation.submit(model_request));
    assert_eq!(answers.len(), 1, "the request is refused on arrival");
    assert_eq!(answers[0].1, ErrorKind::DeadlineUnreachable);
}

#[test]
fn delay_follows_backlog() {
    let mut retry_delays_ms = Vec::new();
    for queued in [1, 4] {
        let mut simulation = Simulation::start(local_document());
        for request in 0..queued {
            assert_eq!(errors(&simulation.submit(printer_request(request, 2_000))), []);
        }
        let answers = errors(&simulation.submit(printer_request(9, 11_000)));
        assert_eq!(answers.len(), 1);
        retry_delays_ms.push(answers[0].2);
    }
    assert!(
        retry_delays_ms[1] > retry_delays_ms[0] + 1_000,
        "retry after {retry_delays_ms:?} ms with 500 ms and 2 s of backlog"
    );
}

#[test]
fn least_slack_first() {
    let mut simulation = Simulation::start(local_document());
    let first = prefills(&simulation.submit(printer_request(1, 2_000)));
    assert_eq!(first.len(), 1);
    assert_eq!(prefills(&simulation.submit(printer_request(2, 2_000))), []);
    let mut urgent = printer_request(3, 2_000);
    urgent.caller_kind = "salesman".parse().unwrap();
    assert_eq!(prefills(&simulation.submit(urgent)), []);
    let started = prefills(&simulation.advance(450));
    assert_eq!(started.iter().map(|call| call.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn wasted_prefill_weight() {
    let mut admitted = Vec::new();
    for kind in ["printer", "careful"] {
        let mut simulation = Simulation::start(local_document());
        let mut model_request = printer_request(1, 9_500);
        model_request.caller_kind = kind.parse().unwrap();
        admitted.push(errors(&simulation.submit(model_request)).is_empty());
    }
    assert_eq!(admitted, [true, false], "a high weight of wasted prefill leaves a reserve");
}

#[test]
fn heavy_workspace_refused() {
    let mut simulation = Simulation::start(local_document());
    let mut started = Vec::new();
    for request in 0..8 {
        started.extend(prefills(&simulation.submit(printer_request(request, 2_000))));
        for (request, stream, _) in std::mem::take(&mut started) {
            simulation.advance(500);
            started.extend(prefills(&simulation.finish_prefill((RequestId(request), stream))));
        }
    }
    let mut refused = Vec::new();
    for request in 100..110 {
        let mut model_request = printer_request(request, 2_000);
        let workspace = if request % 2 == 0 { "w2" } else { "w1" };
        model_request.workspace = workspace.parse().unwrap();
        refused
            .extend(errors(&simulation.submit(model_request)).into_iter().map(|answer| answer.0));
    }
    assert!(!refused.is_empty(), "ten prompts of half a second were admitted within three seconds");
    assert!(refused.iter().all(|request| request % 2 == 1), "refused {refused:?}");
}

#[test]
fn prefill_needs_seat() {
    let mut simulation = Simulation::start(local_document());
    for server in ["d1", "d2"] {
        let streams = (0..20).map(|number| (format!("{server}_{number}").parse().unwrap(), 10));
        simulation.reported_streams.insert(server.parse().unwrap(), streams.collect());
    }
    simulation.advance(600);
    assert_eq!(prefills(&simulation.submit(printer_request(1, 500))), []);
    simulation.reported_streams.clear();
    assert_eq!(
        prefills(&simulation.advance(600)).len(),
        1,
        "the prefill starts once a seat is free"
    );
}

#[test]
fn retry_budget() {
    let mut document = local_document();
    document["limits"] = serde_json::json!({"retry_percent": 0});
    let mut simulation = Simulation::start(document);
    let mut refused = 0;
    for request in 0..12 {
        let calls = prefills(&simulation.submit(printer_request(request, 200)));
        let (_, stream, _) = calls.first().expect("the engine is idle").clone();
        simulation.finish_prefill((RequestId(request), stream.clone()));
        simulation.handle_event(Event::TransferDone(RequestId(request), stream.clone()));
        let request = RequestId(request);
        let actions = simulation.handle_event(Event::StreamBroken {
            request,
            stream,
            next_index: 0,
            is_held: false,
        });
        refused += errors(&actions).len();
        simulation.handle_event(Event::CallerGone(request));
        simulation.advance(40_000);
    }
    assert_eq!(refused, 2, "the budget starts with ten retries and first attempts add none");
}

#[test]
fn optimal_plan() {
    for seed in 0..SEED_COUNT {
        let mut generator = Gen::from_size_and_seed(8, seed);
        let waiting: Vec<_> = Vec::<(u8, u8)>::arbitrary(&mut generator)
            .into_iter()
            .enumerate()
            .map(|(number, (work, latest_end))| WaitingRequest {
                request: RequestId(number as u64),
                work_ms: Millis(u64::from(work) + 1),
                latest_end_ms: Millis(u64::from(latest_end) * 3),
                cost: f64::from(work) + 1.0,
            })
            .collect();
        let planned = plan(waiting.clone(), Millis::ZERO, Millis::ZERO);
        assert_eq!(
            planned.order.len() + planned.rejected_requests.len(),
            waiting.len(),
            "seed {seed}"
        );
        let planned_requests = planned.order.iter().map(|request| &waiting[request.0 as usize]);
        assert!(all_in_time(planned_requests), "seed {seed}");
        assert_eq!(planned.order.len(), max_in_time(&waiting), "seed {seed}");
    }
}

fn all_in_time<'a>(requests: impl Iterator<Item = &'a WaitingRequest>) -> bool {
    let mut end_ms = Millis::ZERO;
    for request in requests {
        end_ms = end_ms + request.work_ms;
        if end_ms > request.latest_end_ms {
            return false;
        }
    }
    true
}

/// Largest number of requests that any subset can complete in time.
fn max_in_time(waiting: &[WaitingRequest]) -> usize {
    let mut by_latest_end = waiting.to_vec();
    by_latest_end.sort_by_key(|request| request.latest_end_ms);
    let mut max_count = 0;
    for subset in 0..1_u32 << by_latest_end.len() {
        let chosen = by_latest_end.iter().enumerate().filter(|(index, _)| subset >> index & 1 == 1);
        if all_in_time(chosen.map(|(_, request)| request)) {
            max_count = max_count.max(subset.count_ones() as usize);
        }
    }
    max_count
}

#[test]
fn shared_link() {
    let [local, remote]: [DataCentreId; 2] = ["a", "b"].map(|id| id.parse().unwrap());
    let mut schedule = TransferSchedule::default();
    let stream = |number: u64| format!("i_1_{number}_1").parse().unwrap();
    schedule.book(&stream(1), (&local, &remote), Millis(100), Millis(300));
    schedule.book(&stream(2), (&local, &remote), Millis(200), Millis(300));
    assert_eq!(
        schedule.wait_ms((&local, &remote), Millis(300)),
        Millis(400),
        "both transfers are ahead"
    );
    assert_eq!(
        schedule.wait_ms((&local, &remote), Millis(150)),
        Millis(250),
        "one transfer is ahead"
    );
    assert_eq!(schedule.wait_ms((&remote, &local), Millis(300)), Millis::ZERO, "another link");
    schedule.end(&stream(1));
    assert_eq!(schedule.wait_ms((&local, &remote), Millis(300)), Millis(200));
    schedule.expire(Millis(5_000));
    assert_eq!(
        schedule.wait_ms((&local, &remote), Millis(300)),
        Millis::ZERO,
        "a transfer whose end was lost expires"
    );
}

#[test]
fn seat_rate_decays() {
    let mut rate = SeatGrantRate::default();
    assert_eq!(rate.wait_ms(Millis(0), Tokens(100)), None, "no seat was granted yet");
    for second in 0..60 {
        rate.record_grant(Millis(second * 1_000), Tokens(500));
    }
    let wait_ms = rate.wait_ms(Millis(60_000), Tokens(500)).unwrap();
    assert!((800..1_200).contains(&wait_ms.0), "wait of {wait_ms} at one seat per second");
    assert!(rate.wait_ms(Millis(65_000), Tokens(500)).unwrap() > wait_ms);
    assert_eq!(rate.wait_ms(Millis(200_000), Tokens(500)), None, "the last grant is too long ago");
}
