//! Limits that servers name for the calls of all instances together, from their answers and from
//! other instances.
//!
//! An instance calls a limited server seldom, so it would learn late that the limit is over. The
//! instances therefore pass on what a server said last, with the age of the statement.

use std::collections::BTreeMap;

use super::call_limit::CallLimit;
use crate::forward::{ServerRegistry, ServerRun};
use crate::units::{CallRate, Millis};

/// Time for which the end of a limit is passed on; longer than it takes to reach every instance.
const ENDED_TTL_MS: Millis = Millis(30_000);

/// What a server said last about its limit, as instances tell each other.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitStatement {
    /// The run of the server.
    pub run: ServerRun,
    /// `None` if it names no limit any more.
    pub rate: Option<CallRate>,
    /// Time since its answer.
    pub age_ms: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    limit: Option<CallLimit>,
    stated_ms: Millis,
}

/// The limits of all servers that named one lately.
#[derive(Clone, Debug, Default)]
pub struct CallLimits {
    by_run: BTreeMap<ServerRun, Known>,
}

impl CallLimits {
    /// Records what a server says; a statement older than the known one is ignored. Returns whether
    /// a limit began, changed or ended.
    pub fn record(
        &mut self,
        now_ms: Millis,
        statement: &LimitStatement,
        instance_count: usize,
        random: u64,
    ) -> bool {
        let stated_ms = now_ms.saturating_sub(statement.age_ms);
        let Some(rate) = statement.rate else {
            return self.record_end(&statement.run, stated_ms);
        };
        let new_limit = || CallLimit::new(now_ms, rate, instance_count, random);
        let Some(known) = self.by_run.get_mut(&statement.run) else {
            let known = Known { limit: Some(new_limit()), stated_ms };
            self.by_run.insert(statement.run.clone(), known);
            return true;
        };
        if stated_ms <= known.stated_ms {
            return false;
        }
        known.stated_ms = stated_ms;
        let known_rate = known.limit.map(|limit| limit.rate());
        match &mut known.limit {
            Some(limit) => limit.update(now_ms, rate, instance_count),
            None => known.limit = Some(new_limit()),
        }
        known_rate != Some(rate)
    }

    /// Only a known limit ends: whether other servers name none is of no interest.
    fn record_end(&mut self, run: &ServerRun, stated_ms: Millis) -> bool {
        let Some(known) = self.by_run.get_mut(run) else {
            return false;
        };
        if stated_ms <= known.stated_ms {
            return false;
        }
        known.stated_ms = stated_ms;
        known.limit.take().is_some()
    }

    /// Applies a changed number of instances to all limits.
    pub fn set_instance_count(&mut self, now_ms: Millis, instance_count: usize) {
        for limit in self.by_run.values_mut().filter_map(|known| known.limit.as_mut()) {
            limit.update(now_ms, limit.rate(), instance_count);
        }
    }

    /// Whether a server names a limit.
    pub fn is_limited(&self, run: &ServerRun) -> bool {
        self.limit(run).is_some()
    }

    /// Time until this instance may call a server; `None` if the server names no limit.
    pub fn next_slot_in_ms(&self, now_ms: Millis, run: &ServerRun) -> Option<Millis> {
        Some(self.limit(run)?.next_slot_in_ms(now_ms))
    }

    /// Uses a slot for a call to a server; returns whether the call may be made.
    pub fn try_take(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        let limit = self.by_run.get_mut(run).and_then(|known| known.limit.as_mut());
        limit.is_none_or(|limit| limit.try_take(now_ms))
    }

    /// What the servers said last, to be passed on to other instances.
    pub fn statements(&self, now_ms: Millis) -> Vec<LimitStatement> {
        let to_statement = |(run, known): (&ServerRun, &Known)| LimitStatement {
            run: run.clone(),
            rate: known.limit.map(|limit| limit.rate()),
            age_ms: now_ms.saturating_sub(known.stated_ms),
        };
        self.by_run.iter().map(to_statement).collect()
    }

    /// Drops runs that are gone, and limits that ended long ago.
    pub fn expire(&mut self, now_ms: Millis, registry: &ServerRegistry) {
        self.by_run.retain(|run, known| {
            let entry = registry.entry(now_ms, &run.server);
            let is_registered = entry.is_some_and(|entry| entry.started_ms == run.started_ms);
            let is_recent = now_ms < known.stated_ms + ENDED_TTL_MS;
            is_recent || (is_registered && known.limit.is_some())
        });
    }

    fn limit(&self, run: &ServerRun) -> Option<&CallLimit> {
        self.by_run.get(run)?.limit.as_ref()
    }
}
