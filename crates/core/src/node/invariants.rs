//! Invariants that a node checks on itself with every event, in release builds too.
//!
//! A node that breaks one panics. Others then free its engine memory and its callers resume
//! elsewhere, whereas going on could break what callers were promised.

use std::collections::{BTreeMap, BTreeSet};

use crate::action::Action;
use crate::event::Event;
use crate::ids::{ConfigVersion, RequestId, ServerId};
use crate::units::Millis;

/// Time for which a server may still get new work after this node learned that it is leaving.
const LEAVING_GRACE_MS: Millis = Millis(4_000);

/// What earlier events and actions imply for the check of the next event.
#[derive(Clone, Debug, Default)]
pub struct InvariantChecker {
    open_requests: BTreeSet<RequestId>,
    highest_version: ConfigVersion,
    leaving_since_ms: BTreeMap<ServerId, Millis>,
}

impl InvariantChecker {
    /// Records a request that arrives or ends with this event.
    pub fn record_event(&mut self, event: &Event) {
        match event {
            Event::ModelRequest(model_request) => self.open_requests.insert(model_request.request),
            Event::PlainRequest(plain_request) => self.open_requests.insert(plain_request.request),
            Event::ResumeRequest { request, .. } | Event::TicketRequest { request, .. } => {
                self.open_requests.insert(*request)
            }
            Event::StreamEnded(request, _) | Event::CallerGone(request) => {
                self.open_requests.remove(request)
            }
            _ => return,
        };
    }

    pub fn record_leaving(&mut self, now_ms: Millis, leaving: &BTreeSet<ServerId>) {
        self.leaving_since_ms.retain(|server, _| leaving.contains(server));
        for server in leaving {
            if !self.leaving_since_ms.contains_key(server) {
                self.leaving_since_ms.insert(server.clone(), now_ms);
            }
        }
    }

    pub fn may_get_work(&self, now_ms: Millis, server: &ServerId) -> bool {
        let since_ms = self.leaving_since_ms.get(server);
        since_ms.is_none_or(|since_ms| now_ms - *since_ms < LEAVING_GRACE_MS)
    }

    /// Asserts that each request gets one final answer, that a leaving server gets no new work
    /// after its grace period, and that the version in force never decreases.
    pub fn assert_all(&mut self, now_ms: Millis, actions: &[Action], version: ConfigVersion) {
        assert!(version >= self.highest_version, "the version in force went down");
        self.highest_version = version;
        for action in actions {
            match action {
                Action::AnswerError { request, .. }
                | Action::AnswerTickets(request, _)
                | Action::AnswerPlain(request, _) => {
                    assert!(
                        self.open_requests.remove(request),
                        "a request got a second final answer"
                    );
                }
                Action::Prefill(call) => self.assert_may_get_work(now_ms, &call.target.server),
                Action::Transfer(call) => self.assert_may_get_work(now_ms, &call.target.server),
                Action::CallPlain(call) => self.assert_may_get_work(now_ms, &call.target.server),
                _ => {}
            }
        }
    }

    fn assert_may_get_work(&self, now_ms: Millis, server: &ServerId) {
        assert!(
            self.may_get_work(now_ms, server),
            "new work for server {server}, which is leaving"
        );
    }
}
