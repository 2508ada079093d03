//! The owner's queue of a prefill engine: whose prompts it works on, and who waits for it.
//!
//! An engine computes one prompt after another, so the work granted and not yet released tells
//! when it gets to the next one, where reports lag. Work is granted only a short time ahead, so
//! that what arrives later and is more urgent does not find the engine taken. Those that wait are
//! planned together, whichever instance they came to.

use std::collections::BTreeMap;

use crate::admission::{Plan, WaitingRequest};
use crate::ids::{RequestId, StreamId};
use crate::report::Holder;
use crate::units::Millis;

/// Work ahead of a prompt up to which it is granted its turn.
pub const AHEAD_MS: Millis = Millis(100);
/// Time beyond its work after which a slot that was not released is over.
const OVERDUE_MS: Millis = Millis(3_000);
/// Time after which a request that was not asked for again is forgotten.
const FORGOTTEN_MS: Millis = Millis(2_000);

/// A prompt that asks for its turn.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// The stream.
    pub stream: StreamId,
    /// Who asks.
    pub holder: Holder,
    /// The request at the asking instance.
    pub request: RequestId,
    /// Time of its prefill.
    pub work_ms: Millis,
    /// Latest end of its prefill that meets its target.
    pub latest_end_ms: Millis,
    /// Cost of serving it, divided by its weight.
    pub cost: f64,
}

/// What an owner decided on a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotAnswer {
    /// It may be sent; the engine gets to it after this time.
    Granted(Millis),
    /// It waits behind this much work.
    Queued(Millis),
    /// Its target can't be met here, where this much work is ahead.
    Refused(Millis),
    /// The engine lacks the weights; this much work is taken to be ahead.
    LacksWeights(Millis),
}

#[derive(Clone, Debug)]
struct Slot {
    holder: Holder,
    work_ms: Millis,
    granted_ms: Millis,
}

#[derive(Clone, Debug)]
struct Queued {
    asked: SlotRequest,
    asked_ms: Millis,
}

/// The queue of one engine.
#[derive(Clone, Debug, Default)]
pub struct PrefillQueue {
    granted: BTreeMap<StreamId, Slot>,
    queued: BTreeMap<StreamId, Queued>,
    head_since_ms: Millis,
}

impl PrefillQueue {
    /// Takes a request, or one that is repeated to show that it still waits.
    pub fn ask(&mut self, now_ms: Millis, asked: SlotRequest) {
        if !self.granted.contains_key(&asked.stream) {
            self.queued.insert(asked.stream.clone(), Queued { asked, asked_ms: now_ms });
        }
    }

    /// What stands for a stream at present.
    pub fn answer(&self, now_ms: Millis, stream: &StreamId) -> SlotAnswer {
        if self.granted.contains_key(stream) {
            return SlotAnswer::Granted(Millis::ZERO);
        }
        let backlog_ms = self.backlog_ms(now_ms);
        if self.queued.contains_key(stream) {
            return SlotAnswer::Queued(backlog_ms);
        }
        SlotAnswer::Refused(backlog_ms)
    }

    /// Orders those that wait by `plan`, grants turns and gives up what the plan gives up.
    pub fn advance(
        &mut self,
        now_ms: Millis,
        plan: impl Fn(Vec<WaitingRequest>, Millis, Millis) -> Plan,
    ) -> Vec<(SlotRequest, SlotAnswer)> {
        let mut answers = Vec::new();
        let streams: Vec<_> = self.queued.keys().cloned().collect();
        let waiting = self.queued.values().enumerate().map(|(place, queued)| WaitingRequest {
            request: RequestId(place as u64),
            work_ms: queued.asked.work_ms,
            latest_end_ms: queued.asked.latest_end_ms,
            cost: queued.asked.cost,
        });
        let start_ms = now_ms + self.busy_ms(now_ms);
        let plan = plan(waiting.collect(), now_ms, start_ms);
        let backlog_ms = self.backlog_ms(now_ms);
        for place in plan.given_up {
            let stream = &streams[place.0 as usize];
            if let Some(queued) = self.queued.remove(stream) {
                answers.push((queued.asked, SlotAnswer::Refused(backlog_ms)));
            }
        }
        for place in plan.order {
            let busy_ms = self.busy_ms(now_ms);
            if busy_ms > AHEAD_MS {
                break;
            }
            if let Some(queued) = self.queued.remove(&streams[place.0 as usize]) {
                self.grant(now_ms, &queued.asked);
                answers.push((queued.asked, SlotAnswer::Granted(busy_ms)));
            }
        }
        answers
    }

    /// Ends a slot, as when its prompt is computed, or takes back a request.
    pub fn release(&mut self, now_ms: Millis, stream: &StreamId, from: &Holder) {
        self.queued.retain(|id, queued| id != stream || queued.asked.holder != *from);
        if self.granted.get(stream).is_some_and(|slot| slot.holder == *from) {
            self.granted.remove(stream);
            self.head_since_ms = now_ms;
        }
    }

    /// Forgets whose holder is gone, whose release never came, and who no longer asks.
    pub fn expire(&mut self, now_ms: Millis, is_live: impl Fn(&Holder) -> bool) {
        let before = self.granted.len();
        self.granted.retain(|_, slot| {
            let limit_ms = slot.granted_ms + AHEAD_MS + slot.work_ms + OVERDUE_MS;
            limit_ms > now_ms && is_live(&slot.holder)
        });
        if self.granted.len() < before {
            self.head_since_ms = now_ms;
        }
        self.queued.retain(|_, queued| {
            queued.asked_ms + FORGOTTEN_MS > now_ms && is_live(&queued.asked.holder)
        });
    }

    /// Whether nothing is granted and nobody waits.
    pub fn is_empty(&self) -> bool {
        self.granted.is_empty() && self.queued.is_empty()
    }

    /// Time until the engine has done all that was granted and asked.
    pub fn backlog_ms(&self, now_ms: Millis) -> Millis {
        let queued_ms = self.queued.values().map(|queued| queued.asked.work_ms.0).sum();
        self.busy_ms(now_ms) + Millis(queued_ms)
    }

    fn grant(&mut self, now_ms: Millis, asked: &SlotRequest) {
        if self.granted.is_empty() {
            self.head_since_ms = now_ms;
        }
        let slot =
            Slot { holder: asked.holder.clone(), work_ms: asked.work_ms, granted_ms: now_ms };
        self.granted.insert(asked.stream.clone(), slot);
    }

    fn busy_ms(&self, now_ms: Millis) -> Millis {
        let work_ms = self.granted.values().map(|slot| slot.work_ms.0).sum();
        let head = self.granted.values().min_by_key(|slot| slot.granted_ms);
        let head_ms = head.map_or(Millis::ZERO, |slot| slot.work_ms);
        Millis(work_ms) - (now_ms - self.head_since_ms).min(head_ms)
    }
}
