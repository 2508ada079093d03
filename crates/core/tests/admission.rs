//! Which requests are taken, in which order, and what those given up are told.

mod single_instance;

use quickcheck::{Arbitrary, Gen};
use single_instance::{Simulation, errors, local_document, prefills, printer_request};
use turmericrail_core::admission::{SeatGrantRate, TransferSchedule, WaitingRequest, plan};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::Event;
use turmericrail_core::ids::{DataCentreId, RequestId};
use turmericrail_core::units::{Millis, Tokens};

const CASES: u64 = 2_000;

#[test]
fn given_up_early() {
    let mut simulation = Simulation::start(local_document());
    let mut asked = printer_request(1, 8_000);
    asked.caller_kind = "salesman".parse().unwrap();
    let answers = errors(&simulation.submit(asked));
    assert_eq!(answers.len(), 1, "the answer comes with the arrival");
    assert_eq!(answers[0].1, ErrorKind::DeadlineUnreachable);
}

#[test]
fn wait_follows_backlog() {
    let mut waits_ms = Vec::new();
    for queued in [1, 4] {
        let mut simulation = Simulation::start(local_document());
        for request in 0..queued {
            assert_eq!(errors(&simulation.submit(printer_request(request, 2_000))), []);
        }
        let answers = errors(&simulation.submit(printer_request(9, 11_000)));
        assert_eq!(answers.len(), 1);
        waits_ms.push(answers[0].2);
    }
    assert!(waits_ms[1] > waits_ms[0] + 1_000, "waits {waits_ms:?} for 500 ms and 2 s of backlog");
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
    let next = prefills(&simulation.advance(450));
    assert_eq!(next.iter().map(|call| call.0).collect::<Vec<_>>(), [3]);
}

#[test]
fn weights_decide() {
    let mut kinds = Vec::new();
    for kind in ["printer", "careful"] {
        let mut simulation = Simulation::start(local_document());
        let mut asked = printer_request(1, 9_500);
        asked.caller_kind = kind.parse().unwrap();
        kinds.push(errors(&simulation.submit(asked)).is_empty());
    }
    assert_eq!(kinds, [true, false], "a heavy weight of wasted prefill keeps a reserve");
}

#[test]
fn greedy_workspace_yields() {
    let mut simulation = Simulation::start(local_document());
    let mut done = Vec::new();
    for request in 0..8 {
        done.extend(prefills(&simulation.submit(printer_request(request, 2_000))));
        for (request, stream, _) in std::mem::take(&mut done) {
            simulation.advance(500);
            done.extend(prefills(&simulation.finish_prefill((RequestId(request), stream))));
        }
    }
    let mut refused = Vec::new();
    for request in 100..110 {
        let mut asked = printer_request(request, 2_000);
        let workspace = if request % 2 == 0 { "w2" } else { "w1" };
        asked.workspace = workspace.parse().unwrap();
        refused.extend(errors(&simulation.submit(asked)).into_iter().map(|answer| answer.0));
    }
    assert!(!refused.is_empty(), "ten prompts of half a second fit into three seconds");
    assert!(refused.iter().all(|request| request % 2 == 1), "refused {refused:?}");
}

#[test]
fn no_seat_no_prefill() {
    let mut simulation = Simulation::start(local_document());
    for server in ["d1", "d2"] {
        let streams = (0..20).map(|number| (format!("{server}_{number}").parse().unwrap(), 10));
        simulation.reported_streams.insert(server.parse().unwrap(), streams.collect());
    }
    simulation.advance(600);
    assert_eq!(prefills(&simulation.submit(printer_request(1, 500))), []);
    simulation.reported_streams.clear();
    assert_eq!(prefills(&simulation.advance(600)).len(), 1, "it starts once a seat is free");
}

#[test]
fn retries_budgeted() {
    let mut document = local_document();
    document["limits"] = serde_json::json!({"retry_percent": 0});
    let mut simulation = Simulation::start(document);
    let mut broken = 0;
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
        broken += errors(&actions).len();
        simulation.handle_event(Event::CallerGone(request));
        simulation.advance(40_000);
    }
    assert_eq!(broken, 2, "ten retries are saved up, and no first try earns one");
}

#[test]
fn plan_is_best() {
    for seed in 0..CASES {
        let mut source = Gen::from_size_and_seed(8, seed);
        let waiting: Vec<_> = Vec::<(u8, u8)>::arbitrary(&mut source)
            .into_iter()
            .enumerate()
            .map(|(number, (work, latest))| WaitingRequest {
                request: RequestId(number as u64),
                work_ms: Millis(u64::from(work) + 1),
                latest_end_ms: Millis(u64::from(latest) * 3),
                cost: f64::from(work) + 1.0,
            })
            .collect();
        let made = plan(waiting.clone(), Millis::ZERO, Millis::ZERO);
        assert_eq!(made.order.len() + made.given_up.len(), waiting.len(), "seed {seed}");
        let kept = made.order.iter().map(|request| &waiting[request.0 as usize]);
        assert!(meets_all(kept), "seed {seed}");
        assert_eq!(made.order.len(), most_met(&waiting), "seed {seed}");
    }
}

fn meets_all<'a>(requests: impl Iterator<Item = &'a WaitingRequest>) -> bool {
    let mut end_ms = Millis::ZERO;
    for request in requests {
        end_ms = end_ms + request.work_ms;
        if end_ms > request.latest_end_ms {
            return false;
        }
    }
    true
}

/// The most requests that any choice completes in time.
fn most_met(waiting: &[WaitingRequest]) -> usize {
    let mut sorted = waiting.to_vec();
    sorted.sort_by_key(|request| request.latest_end_ms);
    let mut most = 0;
    for choice in 0..1_u32 << sorted.len() {
        let chosen = sorted.iter().enumerate().filter(|(place, _)| choice >> place & 1 == 1);
        if meets_all(chosen.map(|(_, request)| request)) {
            most = most.max(choice.count_ones() as usize);
        }
    }
    most
}

#[test]
fn links_are_shared() {
    let [near, far]: [DataCentreId; 2] = ["a", "b"].map(|id| id.parse().unwrap());
    let mut book = TransferSchedule::default();
    let stream = |number: u64| format!("i_1_{number}_1").parse().unwrap();
    book.book(&stream(1), (&near, &far), Millis(100), Millis(300));
    book.book(&stream(2), (&near, &far), Millis(200), Millis(300));
    assert_eq!(book.wait_ms((&near, &far), Millis(300)), Millis(400), "both are ahead");
    assert_eq!(book.wait_ms((&near, &far), Millis(150)), Millis(250), "one is ahead");
    assert_eq!(book.wait_ms((&far, &near), Millis(300)), Millis::ZERO, "another link");
    book.end(&stream(1));
    assert_eq!(book.wait_ms((&near, &far), Millis(300)), Millis(200));
    book.expire(Millis(5_000));
    assert_eq!(book.wait_ms((&near, &far), Millis(300)), Millis::ZERO, "a lost end blocks nothing");
}

#[test]
fn seat_pace_fades() {
    let mut pace = SeatGrantRate::default();
    assert_eq!(pace.wait_ms(Millis(0), Tokens(100)), None, "nothing is known");
    for second in 0..60 {
        pace.add(Millis(second * 1_000), Tokens(500));
    }
    let wait_ms = pace.wait_ms(Millis(60_000), Tokens(500)).unwrap();
    assert!((800..1_200).contains(&wait_ms.0), "{wait_ms} for one seat a second");
    assert!(pace.wait_ms(Millis(65_000), Tokens(500)).unwrap() > wait_ms);
    assert_eq!(pace.wait_ms(Millis(200_000), Tokens(500)), None, "it is long ago");
}
