//! Cost of calls with tickets at the instance that issued the tickets: time per booking and memory
//! per ticket record.

use std::collections::BTreeMap;
use std::time::Instant;

use serde_json::json;
use turmericrail_core::action::Action;
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now, PlainAnswer, PlainRequest, PlainResult};
use turmericrail_core::ids::{ConfigVersion, Incarnation, RequestId};
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::{Millis, WallMillis};

const ANSWER_BYTES: usize = 400;
const BOOKING_COUNTS: [u64; 4] = [5_000, 10_000, 20_000, 40_000];

fn new_node() -> Node {
    let mut node = Node::new(NodeSettings {
        instance: "dc-a-1".parse().expect("valid"),
        incarnation: Incarnation(1),
        data_centre: "dc-a".parse().expect("valid"),
        peer_address: "127.0.0.1:8001".parse().expect("valid"),
        seal_key: SealKey::for_run("0123456789abcdef", 1),
    });
    let document = json!({
        "version": 1,
        "routes": {"book": {
            "method": "POST", "path": "/slots/{slot}/bookings", "idempotent": false,
            "timeout_ms": 2000, "servers": ["p-1"],
        }},
        "servers": {
            "p-1": {"data_centre": "dc-a", "address": "127.0.0.1:9001", "role": "plain"},
        },
    });
    handle(&mut node, Event::InstanceList(BTreeMap::new()));
    handle(&mut node, Event::ConfigDocument(ConfigVersion(1), document));
    node
}

fn handle(node: &mut Node, event: Event) -> Vec<Action> {
    node.handle(Now { monotonic_ms: Millis(0), wall_ms: WallMillis(0) }, event)
}

/// Requests a ticket, makes a call with it and passes the answer of the service to the node.
fn make_booking(node: &mut Node, number: u64) {
    let event = Event::TicketRequest { request: RequestId(2 * number), count: 1 };
    let mut ticket = None;
    for action in handle(node, event) {
        if let Action::AnswerTickets(_, mut tickets) = action {
            ticket = tickets.pop();
        }
    }
    let request = RequestId(2 * number + 1);
    let plain_request = PlainRequest {
        request,
        method: "POST".to_owned(),
        path: "/slots/7/bookings".to_owned(),
        ticket,
        is_forwarded: false,
        fingerprint: number,
    };
    for action in handle(node, Event::PlainRequest(plain_request)) {
        let Action::CallPlain(call) = action else {
            continue;
        };
        let body = vec![b'x'; ANSWER_BYTES];
        let answer = PlainAnswer { status: 200, content_type: "text/plain".to_owned(), body };
        let result = PlainResult::Answered(answer);
        handle(node, Event::PlainResult(request, call.target.server, result));
    }
}

/// Resident memory of the process, assuming pages of 4 KiB.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: u64 = status.split(' ').nth(1).and_then(|field| field.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn main() {
    println!("bookings, us a booking, bytes a record with an answer of {ANSWER_BYTES} bytes");
    let mut nodes = Vec::new();
    for bookings in BOOKING_COUNTS {
        let mut node = new_node();
        let (before_bytes, started) = (resident_bytes(), Instant::now());
        for number in 1..=bookings {
            make_booking(&mut node, number);
        }
        let us_per_booking = started.elapsed().as_secs_f64() * 1e6 / bookings as f64;
        let bytes_per_record = resident_bytes().saturating_sub(before_bytes) / bookings;
        println!("{bookings}, {us_per_booking:.1}, {bytes_per_record}");
        nodes.push(node);
    }
}
