//! Plain calls at one instance: deadlines, results that arrive late, and retries within their budget.

use std::collections::BTreeMap;

use serde_json::json;
use turmericrail_core::action::{Action, PlainCall};
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::event::{Event, Now, PlainAnswer, PlainRequest, PlainResult};
use turmericrail_core::ids::{ConfigVersion, Incarnation, RequestId};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::{Millis, WallMillis};

const TIMEOUT_MS: u64 = 2_000;
const RETRY_PERCENT: u64 = 20;

fn node() -> Node {
    let mut node = Node::new(NodeSettings {
        instance: "dc-a-1".parse().unwrap(),
        incarnation: Incarnation(1),
        data_centre: "dc-a".parse().unwrap(),
        peer_address: "127.0.0.1:8001".parse().unwrap(),
        seal_key: SealKey::new("0123456789abcdef"),
    });
    let server = |port: u64| json!({"data_centre": "dc-a", "address": format!("127.0.0.1:{port}"), "role": "plain"});
    let route = |method: &str, path: &str, idempotent: bool| {
        json!({
            "method": method, "path": path, "idempotent": idempotent,
            "timeout_ms": TIMEOUT_MS, "servers": ["p-1", "p-2", "p-3"],
        })
    };
    let document = json!({
        "version": 1,
        "routes": {"read": route("GET", "/stock", true), "book": route("POST", "/slots", false)},
        "servers": {"p-1": server(9001), "p-2": server(9002), "p-3": server(9003)},
        "limits": {"retry_percent": RETRY_PERCENT},
    });
    handle(&mut node, 0, Event::InstanceList(BTreeMap::new()));
    handle(&mut node, 0, Event::ConfigDocument(ConfigVersion(1), document));
    node
}

fn handle(node: &mut Node, at_ms: u64, event: Event) -> Vec<Action> {
    let now = Now { monotonic_ms: Millis(at_ms), wall_ms: WallMillis(at_ms) };
    let actions = node.handle(now, event);
    actions.into_iter().filter(|action| !matches!(action, Action::Log(_))).collect()
}

fn read_event(request: u64) -> Event {
    Event::PlainRequest(PlainRequest {
        request: RequestId(request),
        method: "GET".to_owned(),
        path: "/stock".to_owned(),
        ticket: None,
        is_forwarded: false,
        fingerprint: 0,
    })
}

fn book_event(request: u64, ticket: &str) -> Event {
    Event::PlainRequest(PlainRequest {
        request: RequestId(request),
        method: "POST".to_owned(),
        path: "/slots".to_owned(),
        ticket: Some(ticket.to_owned()),
        is_forwarded: false,
        fingerprint: 1,
    })
}

fn request_ticket(node: &mut Node, request: u64) -> String {
    let event = Event::TicketRequest { request: RequestId(request), count: 1 };
    match handle(node, 0, event).pop() {
        Some(Action::AnswerTickets(_, tickets)) => tickets[0].clone(),
        other => panic!("no ticket: {other:?}"),
    }
}

fn calls(actions: &[Action]) -> Vec<PlainCall> {
    let calls = actions.iter().filter_map(|action| match action {
        Action::CallPlain(call) => Some(call.clone()),
        _ => None,
    });
    calls.collect()
}

fn result_event(call: &PlainCall, result: PlainResult) -> Event {
    Event::PlainResult(call.request, call.target.server.clone(), result)
}

fn answer() -> PlainAnswer {
    PlainAnswer { status: 200, content_type: String::new(), body: b"done".to_vec() }
}

fn errors(actions: &[Action]) -> Vec<(RequestId, ErrorKind)> {
    let errors = actions.iter().filter_map(|action| match action {
        Action::AnswerError { request, kind, .. } => Some((*request, *kind)),
        _ => None,
    });
    errors.collect()
}

#[test]
fn late_result_answers_later_copy() {
    let mut node = node();
    let ticket = request_ticket(&mut node, 1);
    let call = calls(&handle(&mut node, 0, book_event(2, &ticket))).pop().unwrap();
    assert!(errors(&handle(&mut node, TIMEOUT_MS - 1, Event::Tick)).is_empty());
    let at_deadline = handle(&mut node, TIMEOUT_MS, Event::Tick);
    assert_eq!(errors(&at_deadline), [(RequestId(2), ErrorKind::PlainTimeout)]);
    let late = result_event(&call, PlainResult::Answered(answer()));
    assert_eq!(handle(&mut node, TIMEOUT_MS + 1, late), []);
    let copy_actions = handle(&mut node, TIMEOUT_MS + 2, book_event(3, &ticket));
    assert_eq!(copy_actions, [Action::AnswerPlain(RequestId(3), answer())]);
}

#[test]
fn copy_has_its_own_deadline() {
    let mut node = node();
    let ticket = request_ticket(&mut node, 1);
    let call = calls(&handle(&mut node, 0, book_event(2, &ticket))).pop().unwrap();
    assert!(calls(&handle(&mut node, 1_500, book_event(3, &ticket))).is_empty());
    let at_deadline = handle(&mut node, TIMEOUT_MS, Event::Tick);
    assert_eq!(errors(&at_deadline), [(RequestId(2), ErrorKind::PlainTimeout)]);
    let actions =
        handle(&mut node, TIMEOUT_MS + 500, result_event(&call, PlainResult::Answered(answer())));
    assert_eq!(actions, [Action::AnswerPlain(RequestId(3), answer())]);
}

#[test]
fn call_without_caller_is_not_retried() {
    let mut node = node();
    let call = calls(&handle(&mut node, 0, read_event(1))).pop().unwrap();
    assert_eq!(handle(&mut node, 1, Event::CallerGone(RequestId(1))), []);
    let actions = handle(&mut node, 2, result_event(&call, PlainResult::Lost));
    assert_eq!(actions, [], "a call without a waiting caller is not retried");
}

#[test]
fn slow_read_is_sent_to_second_server() {
    let mut node = node();
    let first = calls(&handle(&mut node, 0, read_event(1))).pop().unwrap();
    let second = calls(&handle(&mut node, TIMEOUT_MS / 2, Event::Tick)).pop().unwrap();
    assert_ne!(first.target, second.target);
    let at_ms = TIMEOUT_MS / 2 + 1;
    let actions = handle(&mut node, at_ms, result_event(&second, PlainResult::Answered(answer())));
    assert_eq!(actions, [Action::AnswerPlain(RequestId(1), answer())]);
    let late = result_event(&first, PlainResult::Answered(answer()));
    assert_eq!(handle(&mut node, at_ms + 1, late), []);
}

#[test]
fn call_with_ticket_is_not_retried() {
    let mut node = node();
    let ticket = request_ticket(&mut node, 1);
    let call = calls(&handle(&mut node, 0, book_event(2, &ticket))).pop().unwrap();
    assert!(calls(&handle(&mut node, TIMEOUT_MS / 2, Event::Tick)).is_empty());
    let actions = handle(&mut node, TIMEOUT_MS / 2 + 1, result_event(&call, PlainResult::Lost));
    assert_eq!(errors(&actions), [(RequestId(2), ErrorKind::ServerLost)]);
    assert!(calls(&actions).is_empty());
}

#[test]
fn retries_stay_within_budget() {
    const CALLS: u64 = 1_000;
    const INITIAL_RETRIES: u64 = 10;
    let mut node = node();
    let mut calls_sent = 0;
    for request in 1..=CALLS {
        let mut pending = calls(&handle(&mut node, 0, read_event(request)));
        while let Some(call) = pending.pop() {
            calls_sent += 1;
            pending.extend(calls(&handle(&mut node, 0, result_event(&call, PlainResult::Lost))));
        }
    }
    assert!(calls_sent > CALLS, "some calls are retried");
    let retries = calls_sent - CALLS;
    assert!(retries <= INITIAL_RETRIES + CALLS * RETRY_PERCENT / 100, "{retries} retries");
}
