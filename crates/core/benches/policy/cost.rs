//! Processor time of the decisions on one request: its arrival, and the questions and answers
//! between instances that line up its slot and its seat.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use turmericrail_core::event::Event;
use turmericrail_core::message::PeerMessage;

use crate::world::Handle;

/// Time spent on each request, in nanoseconds.
pub type Spent = Rc<RefCell<BTreeMap<u64, u64>>>;

/// Measures the decisions that an instance takes.
pub fn measured(mut handle: Handle, spent: Spent) -> Handle {
    Box::new(move |now, event| {
        let request = decided_on(&event);
        let started = Instant::now();
        let actions = handle(now, event);
        let nanos = started.elapsed().as_nanos() as u64;
        if let Some(request) = request {
            *spent.borrow_mut().entry(request).or_default() += nanos;
        }
        actions
    })
}

fn decided_on(event: &Event) -> Option<u64> {
    match event {
        Event::ModelRequest(asked) => Some(asked.request.0),
        Event::Peer(envelope) => match &envelope.message {
            PeerMessage::SeatRequest(asked) => Some(asked.request.0),
            PeerMessage::SeatReply(reply) => Some(reply.request.0),
            _ => None,
        },
        _ => None,
    }
}

/// A percentile of the time spent, in microseconds.
pub fn percentile_us(spent: &Spent, percent: usize) -> f64 {
    let mut values: Vec<_> = spent.borrow().values().copied().collect();
    values.sort_unstable();
    let place = (values.len() * percent).div_ceil(100).saturating_sub(1);
    values.get(place).copied().unwrap_or(0) as f64 / 1_000.0
}
