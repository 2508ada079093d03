//! The queue that an owner keeps for a prefill engine: granted slots and waiting requests.
//!
//! An engine computes one prompt after another, so the granted work that has not been released
//! tells when the engine is free, while load reports lag. Slots are granted only a short time
//! ahead, so a later, more urgent request does not find the engine taken. All waiting requests are
//! planned together, whichever instance they came to.

use std::collections::BTreeMap;

use crate::admission::{Plan, WaitingRequest};
use crate::ids::{RequestId, StreamId};
use crate::report::Holder;
use crate::units::Millis;

/// A slot is granted once the granted work ahead of it takes at most this long.
pub const MAX_GRANTED_AHEAD_MS: Millis = Millis(100);
/// Time after its expected end at which a slot that was not released expires.
const EXPIRY_GRACE_MS: Millis = Millis(3_000);
/// Time after which a waiting request that was not repeated is dropped.
const REQUEST_TTL_MS: Millis = Millis(2_000);

/// A request for a slot: the turn of one prompt.
#[derive(Clone, Debug, PartialEq)]
#[expect(missing_docs, reason = "the names say it")]
pub struct SlotRequest {
    pub stream: StreamId,
    /// Run of the requesting instance.
    pub holder: Holder,
    /// Number of the request at the requesting instance.
    pub request: RequestId,
    /// Duration of its prefill.
    pub work_ms: Millis,
    /// Latest end of its prefill that meets its target.
    pub latest_end_ms: Millis,
    /// Cost of serving it, in ms of engine time, divided by its weight.
    pub cost: f64,
}

/// The owner's decision on a slot request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAnswer {
    /// The prompt may be sent; the engine starts on it after this time.
    Granted(Millis),
    /// The request waits behind this much work.
    Queued(Millis),
    /// The target can't be met here, where this much work is ahead.
    Refused(Millis),
    /// The engine has not loaded the weights; this much work is assumed to be ahead.
    LacksWeights(Millis),
}

#[derive(Clone, Debug)]
struct Slot {
    holder: Holder,
    work_ms: Millis,
    granted_ms: Millis,
}

#[derive(Clone, Debug)]
struct QueuedRequest {
    slot_request: SlotRequest,
    last_request_ms: Millis,
}

/// The queue of one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    /// Granted slots.
    slots: BTreeMap<StreamId, Slot>,
    waiting_requests: BTreeMap<StreamId, QueuedRequest>,
    /// When the engine started on the oldest slot: its grant, or the last end of another slot.
    head_started_ms: Millis,
}

impl PrefillQueue {
    /// Adds a request, or renews a waiting one. Does nothing for a granted one.
    pub fn add_or_renew(&mut self, now_ms: Millis, slot_request: SlotRequest) {
        if !self.slots.contains_key(&slot_request.stream) {
            self.waiting_requests.insert(
                slot_request.stream.clone(),
                QueuedRequest { slot_request, last_request_ms: now_ms },
            );
        }
    }

    /// The current answer for a stream.
    pub fn answer(&self, now_ms: Millis, stream: &StreamId) -> SlotAnswer {
        if self.slots.contains_key(stream) {
            return SlotAnswer::Granted(Millis::ZERO);
        }
        let backlog_ms = self.backlog_ms(now_ms);
        if self.waiting_requests.contains_key(stream) {
            return SlotAnswer::Queued(backlog_ms);
        }
        SlotAnswer::Refused(backlog_ms)
    }

    /// Plans the waiting requests with `plan`, grants slots and refuses the requests that the plan
    /// rejects. Returns the new answers.
    pub fn advance(
        &mut self,
        now_ms: Millis,
        plan: impl Fn(Vec<WaitingRequest>, Millis, Millis) -> Plan,
    ) -> Vec<(SlotRequest, SlotAnswer)> {
        let mut answers = Vec::new();
        let streams: Vec<_> = self.waiting_requests.keys().cloned().collect();
        let waiting =
            self.waiting_requests.values().enumerate().map(|(index, queued)| WaitingRequest {
                request: RequestId(index as u64),
                work_ms: queued.slot_request.work_ms,
                latest_end_ms: queued.slot_request.latest_end_ms,
                cost: queued.slot_request.cost,
            });
        let start_ms = now_ms + self.remaining_granted_ms(now_ms);
        let plan = plan(waiting.collect(), now_ms, start_ms);
        let backlog_ms = self.backlog_ms(now_ms);
        for index in plan.rejected_requests {
            let stream = &streams[index.0 as usize];
            if let Some(queued) = self.waiting_requests.remove(stream) {
                answers.push((queued.slot_request, SlotAnswer::Refused(backlog_ms)));
            }
        }
        for index in plan.order {
            let remaining_granted_ms = self.remaining_granted_ms(now_ms);
            if remaining_granted_ms > MAX_GRANTED_AHEAD_MS {
                break;
            }
            if let Some(queued) = self.waiting_requests.remove(&streams[index.0 as usize]) {
                self.grant(now_ms, &queued.slot_request);
                answers.push((queued.slot_request, SlotAnswer::Granted(remaining_granted_ms)));
            }
        }
        answers
    }

    /// Ends a slot, as when its prompt is computed, or withdraws a waiting request.
    pub fn release(&mut self, now_ms: Millis, stream: &StreamId, from: &Holder) {
        self.waiting_requests
            .retain(|id, queued| id != stream || queued.slot_request.holder != *from);
        if self.slots.get(stream).is_some_and(|slot| slot.holder == *from) {
            self.slots.remove(stream);
            self.head_started_ms = now_ms;
        }
    }

    /// Removes slots and requests whose holder is gone, slots that were never released, and
    /// requests that are no longer repeated.
    pub fn expire(&mut self, now_ms: Millis, is_live: impl Fn(&Holder) -> bool) {
        let before = self.slots.len();
        self.slots.retain(|_, slot| {
            let limit_ms = slot.granted_ms + MAX_GRANTED_AHEAD_MS + slot.work_ms + EXPIRY_GRACE_MS;
            limit_ms > now_ms && is_live(&slot.holder)
        });
        if self.slots.len() < before {
            self.head_started_ms = now_ms;
        }
        self.waiting_requests.retain(|_, queued| {
            queued.last_request_ms + REQUEST_TTL_MS > now_ms && is_live(&queued.slot_request.holder)
        });
    }

    /// Whether no slot is granted and no request waits.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty() && self.waiting_requests.is_empty()
    }

    /// Time that the engine needs for all granted and waiting work.
    pub fn backlog_ms(&self, now_ms: Millis) -> Millis {
        let queued_ms =
            self.waiting_requests.values().map(|queued| queued.slot_request.work_ms.0).sum();
        self.remaining_granted_ms(now_ms) + Millis(queued_ms)
    }

    fn grant(&mut self, now_ms: Millis, slot_request: &SlotRequest) {
        if self.slots.is_empty() {
            self.head_started_ms = now_ms;
        }
        let slot = Slot {
            holder: slot_request.holder.clone(),
            work_ms: slot_request.work_ms,
            granted_ms: now_ms,
        };
        self.slots.insert(slot_request.stream.clone(), slot);
    }

    fn remaining_granted_ms(&self, now_ms: Millis) -> Millis {
        let work_ms = self.slots.values().map(|slot| slot.work_ms.0).sum();
        let head = self.slots.values().min_by_key(|slot| slot.granted_ms);
        let head_ms = head.map_or(Millis::ZERO, |slot| slot.work_ms);
        Millis(work_ms) - (now_ms - self.head_started_ms).min(head_ms)
    }
}
