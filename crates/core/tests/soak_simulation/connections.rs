//! Connections of callers to instances: how they are opened, break and are opened again.

use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Tokens;

use super::callers::{CallerState, Run};
use super::simulation::Simulation;

/// Pause of an instance after which its callers begin to switch to another one.
const PAUSE_TOLERANCE_MS: u64 = 1_000;
/// A caller gives up after more broken connections than this.
const MAX_BROKEN_CONNECTIONS: u64 = 4;
/// Time between a broken connection and the next one.
const RECONNECT_DELAY_MS: u64 = 200;

impl Simulation {
    /// Connects a caller to an instance, or to the next one that is up, and sends or resumes its request.
    pub fn connect_caller(&mut self, caller: usize, instance: u64) {
        let count = self.instances.len();
        let is_up = |index: &usize| self.instances[*index].node.is_some();
        let first = instance as usize % count;
        let found = (0..count).map(|step| (first + step) % count).find(is_up);
        let Some(index) = found else {
            self.callers[caller].state =
                CallerState::Reconnecting(self.now_ms + RECONNECT_DELAY_MS);
            return;
        };
        let instance = &mut self.instances[index];
        instance.request_count += 1;
        let (run, request) = ((index, instance.incarnation), RequestId(instance.request_count));
        self.caller_by_request.insert((run, request), caller);
        self.callers[caller].state = CallerState::Waiting(run, request);
        let completion_request =
            build_model_request(request, caller, self.callers[caller].max_tokens);
        let event = match self.callers[caller].cursor.clone() {
            Some(cursor) => {
                let completion_request =
                    self.callers[caller].resends_request.then_some(completion_request);
                Event::ResumeRequest { request, cursor, model_request: completion_request }
            }
            None => Event::ModelRequest(completion_request),
        };
        self.deliver_event(run, event);
    }

    /// Breaks a caller's connection; the caller connects again later or gives up.
    pub fn drop_connection(&mut self, caller: usize) {
        let found = &mut self.callers[caller];
        found.broken_connections += 1;
        found.state = match found.broken_connections <= MAX_BROKEN_CONNECTIONS {
            true => CallerState::Reconnecting(self.now_ms + RECONNECT_DELAY_MS),
            false => CallerState::Done,
        };
    }

    /// Connects callers that are due again; callers of a paused instance may leave it.
    pub fn reconnect_callers(&mut self) {
        for caller in 0..self.callers.len() {
            let state = self.callers[caller].state;
            match state {
                CallerState::Reconnecting(at_ms) if self.now_ms >= at_ms => {
                    let instance = self.random.below(64);
                    self.connect_caller(caller, instance);
                }
                CallerState::Waiting(run, request) if self.should_switch_instance(run.0) => {
                    self.drop_connection(caller);
                    self.deliver_event(run, Event::CallerGone(request));
                }
                _ => {}
            }
        }
    }

    /// Whether the caller of a resumption has closed its connection meanwhile. The caller edge notices
    /// that before it passes the resumption to the node.
    pub fn is_abandoned_resume(&self, run: Run, event: &Event) -> bool {
        let Event::ResumeRequest { request, .. } = event else {
            return false;
        };
        self.caller_of(run, *request).is_none()
    }

    /// Whether one caller of an instance switches to another one now: with a probability of 1 % if the
    /// instance has been paused for longer than callers tolerate.
    fn should_switch_instance(&mut self, index: usize) -> bool {
        let instance = &self.instances[index];
        let since_ms = self.now_ms.saturating_sub(instance.last_unpaused_ms);
        instance.node.is_some() && since_ms > PAUSE_TOLERANCE_MS && self.random.chance_percent(1)
    }
}

fn build_model_request(request: RequestId, caller: usize, max_tokens: u64) -> ModelRequest {
    ModelRequest {
        request,
        workspace: "w1".parse().expect("a valid id"),
        caller_kind: "printer".parse().expect("a valid id"),
        model: "quote".parse().expect("a valid id"),
        version: None,
        adapter: None,
        prompt_tokens: Tokens(32),
        max_tokens: Tokens(max_tokens),
        prefix_hashes: Vec::new(),
        fingerprint: caller as u64,
    }
}
