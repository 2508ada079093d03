//! Measures the processor time of the decisions on one request: its arrival, and the messages
//! between instances that obtain its slot and its seat.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use turmericrail_core::event::Event;
use turmericrail_core::message::PeerMessage;

use crate::simulation::EventHandler;

/// Time spent on each request, in nanoseconds, by request id.
pub type DecisionTimes = Rc<RefCell<BTreeMap<u64, u64>>>;

/// Wraps an event handler so that the time of its decisions is recorded.
pub fn measure_handler(mut handler: EventHandler, times: DecisionTimes) -> EventHandler {
    Box::new(move |now, event| {
        let request = request_of(&event);
        let started = Instant::now();
        let actions = handler(now, event);
        let nanos = started.elapsed().as_nanos() as u64;
        if let Some(request) = request {
            *times.borrow_mut().entry(request).or_default() += nanos;
        }
        actions
    })
}

fn request_of(event: &Event) -> Option<u64> {
    match event {
        Event::ModelRequest(model_request) => Some(model_request.request.0),
        Event::Peer(envelope) => match &envelope.message {
            PeerMessage::SeatRequest(request) => Some(request.request.0),
            PeerMessage::SeatReply(reply) => Some(reply.request.0),
            _ => None,
        },
        _ => None,
    }
}

pub fn percentile_us(times: &DecisionTimes, percent: usize) -> f64 {
    let mut values: Vec<_> = times.borrow().values().copied().collect();
    values.sort_unstable();
    let index = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(index).copied().unwrap_or(0) as f64 / 1_000.0
}
