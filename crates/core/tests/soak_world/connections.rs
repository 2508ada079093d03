//! Connections of callers that ask for an answer: how they break and are made anew.

use turmericrail_core::event::{Event, ModelRequest};
use turmericrail_core::ids::RequestId;
use turmericrail_core::units::Tokens;

use super::callers::{CallerState, Run};
use super::world::World;

/// Pause after which callers begin to try another instance.
const DEAF_MS: u64 = 1_000;
/// Broken connections after which a caller gives up.
const MAX_RETURNS: u64 = 4;
/// Time after which a caller whose connection broke asks again.
const RETURN_MS: u64 = 200;

impl World {
    /// A caller asks an instance; it goes on to another where that one is down.
    pub fn connect(&mut self, caller: usize, instance: u64) {
        let count = self.slots.len();
        let is_up = |index: &usize| self.slots[*index].node.is_some();
        let first = instance as usize % count;
        let found = (0..count).map(|step| (first + step) % count).find(is_up);
        let Some(index) = found else {
            self.callers[caller].state = CallerState::Returning(self.now_ms + RETURN_MS);
            return;
        };
        let slot = &mut self.slots[index];
        slot.requests += 1;
        let (run, request) = ((index, slot.incarnation), RequestId(slot.requests));
        self.asked.insert((run, request), caller);
        self.callers[caller].state = CallerState::Asking(run, request);
        let asked = model_request(request, caller, self.callers[caller].max_tokens);
        let event = match self.callers[caller].cursor.clone() {
            Some(cursor) => {
                let asked = self.callers[caller].brings_request.then_some(asked);
                Event::ResumeRequest { request, cursor, model_request: asked }
            }
            None => Event::ModelRequest(asked),
        };
        self.tell(run, event);
    }

    /// A caller's connection broke: it returns, or gives up.
    pub fn cut_caller(&mut self, caller: usize) {
        let found = &mut self.callers[caller];
        found.returns += 1;
        found.state = match found.returns <= MAX_RETURNS {
            true => CallerState::Returning(self.now_ms + RETURN_MS),
            false => CallerState::Done,
        };
    }

    /// Callers whose time has come ask again; those of a paused instance may turn away from it.
    pub fn return_callers(&mut self) {
        for caller in 0..self.callers.len() {
            let state = self.callers[caller].state;
            match state {
                CallerState::Returning(at_ms) if self.now_ms >= at_ms => {
                    let instance = self.draw.below(64);
                    self.connect(caller, instance);
                }
                CallerState::Asking(run, request) if self.is_deaf(run.0) => {
                    self.cut_caller(caller);
                    self.tell(run, Event::CallerGone(request));
                }
                _ => {}
            }
        }
    }

    /// Whether the caller of a resumption has closed its connection meanwhile, which the edge sees
    /// before it passes the resumption on.
    pub fn is_stale_resume(&self, run: Run, event: &Event) -> bool {
        let Event::ResumeRequest { request, .. } = event else {
            return false;
        };
        self.caller_of(run, *request).is_none()
    }

    /// Whether an instance has been paused for so long that its callers try another one.
    fn is_deaf(&mut self, index: usize) -> bool {
        let slot = &self.slots[index];
        let since_ms = self.now_ms.saturating_sub(slot.heard_ms);
        slot.node.is_some() && since_ms > DEAF_MS && self.draw.happens(1)
    }
}

fn model_request(request: RequestId, caller: usize, max_tokens: u64) -> ModelRequest {
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
