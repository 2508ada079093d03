//! Invariants that a node asserts of itself with every event, in release builds too.
//!
//! A node that finds one broken stops: its engine memory is freed by others and its callers
//! resume elsewhere, while going on could break a promise.

use std::collections::{BTreeMap, BTreeSet};

use crate::action::Action;
use crate::event::Event;
use crate::ids::{ConfigVersion, RequestId, ServerId};
use crate::units::Millis;

/// Time after which a leaving server is sent no new work, once this node knows that it leaves.
const LEAVING_GRACE_MS: Millis = Millis(4_000);

/// What is remembered to check the next event.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    open: BTreeSet<RequestId>,
    version: ConfigVersion,
    leaving_since_ms: BTreeMap<ServerId, Millis>,
}

impl Invariants {
    /// Takes note of a request that arrives or ends with this event.
    pub fn note_event(&mut self, event: &Event) {
        match event {
            Event::ModelRequest(model_request) => self.open.insert(model_request.request),
            Event::PlainRequest(plain_request) => self.open.insert(plain_request.request),
            Event::ResumeRequest { request, .. } | Event::TicketRequest { request, .. } => {
                self.open.insert(*request)
            }
            Event::StreamEnded(request, _) | Event::CallerGone(request) => {
                self.open.remove(request)
            }
            _ => return,
        };
    }

    /// Takes note of the servers that are leaving.
    pub fn note_leaving(&mut self, now_ms: Millis, leaving: &BTreeSet<ServerId>) {
        self.leaving_since_ms.retain(|server, _| leaving.contains(server));
        for server in leaving {
            if !self.leaving_since_ms.contains_key(server) {
                self.leaving_since_ms.insert(server.clone(), now_ms);
            }
        }
    }

    /// Whether a server may be sent new work.
    pub fn takes_work(&self, now_ms: Millis, server: &ServerId) -> bool {
        let since_ms = self.leaving_since_ms.get(server);
        since_ms.is_none_or(|since_ms| now_ms - *since_ms < LEAVING_GRACE_MS)
    }

    /// Asserts that a request gets one final answer, that a leaving server gets no new work past
    /// its bound and that the version in force never goes down.
    pub fn check(&mut self, now_ms: Millis, actions: &[Action], version: ConfigVersion) {
        assert!(version >= self.version, "the version in force went down");
        self.version = version;
        for action in actions {
            match action {
                Action::AnswerError { request, .. }
                | Action::AnswerTickets(request, _)
                | Action::AnswerPlain(request, _) => {
                    assert!(self.open.remove(request), "a request got a second final answer");
                }
                Action::Prefill(call) => self.check_work(now_ms, &call.target.server),
                Action::Transfer(call) => self.check_work(now_ms, &call.target.server),
                Action::CallPlain(call) => self.check_work(now_ms, &call.target.server),
                _ => {}
            }
        }
    }

    fn check_work(&self, now_ms: Millis, server: &ServerId) {
        assert!(self.takes_work(now_ms, server), "new work for server {server}, which is leaving");
    }
}
