//! The owner's account of prefill engines: whose prompts an engine works on, and for how long.
//!
//! An engine computes one prompt after another, so the work granted and not yet released tells
//! when it gets to the next one, where reports lag. Work is granted only a short time ahead, so
//! that what arrives later and is more urgent does not find the engine taken.

use std::collections::BTreeMap;

use crate::ids::{ServerId, StreamId};
use crate::report::Holder;
use crate::units::Millis;

/// Work ahead of a prompt up to which it is granted its turn.
pub const AHEAD_MS: Millis = Millis(100);
/// Time beyond its work after which a slot that was not released is over.
const OVERDUE_MS: Millis = Millis(3_000);

/// One prompt on an engine.
#[derive(Clone, Debug)]
struct Slot {
    holder: Holder,
    work_ms: Millis,
    granted_ms: Millis,
}

/// The prompts of one engine.
#[derive(Clone, Debug, Default)]
struct EngineSlots {
    granted: BTreeMap<StreamId, Slot>,
    head_since_ms: Millis,
}

/// The answer to a request for a prompt's turn.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotAnswer {
    /// Whether the prompt may be sent.
    pub is_granted: bool,
    /// Time until the engine gets to it, or until it is worth asking again.
    pub wait_ms: Millis,
}

/// The account of all prefill engines that one instance owns.
#[derive(Clone, Debug, Default)]
pub struct PrefillSlots {
    by_server: BTreeMap<ServerId, EngineSlots>,
}

impl PrefillSlots {
    /// Time until an engine has done what it was granted.
    pub fn busy_ms(&self, now_ms: Millis, server: &ServerId) -> Millis {
        self.by_server.get(server).map_or(Millis::ZERO, |slots| slots.busy_ms(now_ms))
    }

    /// Grants a prompt its turn where little work is ahead of it.
    pub fn grant(
        &mut self,
        now_ms: Millis,
        server: &ServerId,
        stream: &StreamId,
        holder: &Holder,
        work_ms: Millis,
    ) -> SlotAnswer {
        let slots = self.by_server.entry(server.clone()).or_default();
        let busy_ms = slots.busy_ms(now_ms);
        if slots.granted.contains_key(stream) {
            return SlotAnswer { is_granted: true, wait_ms: busy_ms };
        }
        if busy_ms > AHEAD_MS {
            return SlotAnswer { is_granted: false, wait_ms: busy_ms - AHEAD_MS };
        }
        if slots.granted.is_empty() {
            slots.head_since_ms = now_ms;
        }
        let slot = Slot { holder: holder.clone(), work_ms, granted_ms: now_ms };
        slots.granted.insert(stream.clone(), slot);
        SlotAnswer { is_granted: true, wait_ms: busy_ms }
    }

    /// Ends a slot, as when its prompt is computed; the next one begins.
    pub fn release(&mut self, now_ms: Millis, server: &ServerId, stream: &StreamId, from: &Holder) {
        let Some(slots) = self.by_server.get_mut(server) else {
            return;
        };
        if slots.granted.get(stream).is_some_and(|slot| slot.holder == *from) {
            slots.granted.remove(stream);
            slots.head_since_ms = now_ms;
        }
    }

    /// Ends slots whose holder is gone or whose release never came.
    pub fn expire(&mut self, now_ms: Millis, is_live: impl Fn(&Holder) -> bool) {
        for slots in self.by_server.values_mut() {
            let before = slots.granted.len();
            slots.granted.retain(|_, slot| {
                let limit_ms = slot.granted_ms + AHEAD_MS + slot.work_ms + OVERDUE_MS;
                limit_ms > now_ms && is_live(&slot.holder)
            });
            if slots.granted.len() < before {
                slots.head_since_ms = now_ms;
            }
        }
        self.by_server.retain(|_, slots| !slots.granted.is_empty());
    }
}

impl EngineSlots {
    fn busy_ms(&self, now_ms: Millis) -> Millis {
        let work_ms = self.granted.values().map(|slot| slot.work_ms.0).sum();
        let head = self.granted.values().min_by_key(|slot| slot.granted_ms);
        let head_ms = head.map_or(Millis::ZERO, |slot| slot.work_ms);
        Millis(work_ms) - (now_ms - self.head_since_ms).min(head_ms)
    }
}
