//! What a forwarder does with what servers say of themselves in answers: that they are leaving, want no
//! calls for a while, or take only so many.

use crate::forward::{
    CallLimits, Forwarder, LeavingRuns, LimitStatement, ServerEntry, ServerRun, ServerState,
};
use crate::ids::ServiceId;
use crate::units::Millis;

impl Forwarder {
    /// Records that a run of a server is leaving, whatever its registry entry says; returns whether
    /// that is new.
    pub fn record_leaving(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        self.leaving_runs.record(now_ms, run)
    }

    /// Records a leaving run that another instance told of, if it is registered here; instances
    /// would else go on to remind each other of runs that are long gone. Returns whether it is new.
    pub fn record_told_leaving(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        let entry = self.registry.entry(now_ms, &run.server);
        let is_registered = entry.is_some_and(|entry| entry.started_ms == run.started_ms);
        is_registered && self.leaving_runs.record(now_ms, run)
    }

    /// The runs that were told to be leaving by their servers or by other instances.
    pub fn leaving_runs(&self) -> &LeavingRuns {
        &self.leaving_runs
    }

    /// Whether a run has said that it is leaving, so that its end is planned.
    pub fn is_leaving(&self, now_ms: Millis, run: &ServerRun) -> bool {
        let entry = self.registry.entry(now_ms, &run.server);
        let is_draining = |entry: &ServerEntry| {
            entry.started_ms == run.started_ms && entry.state == ServerState::Draining
        };
        self.leaving_runs.contains(run) || entry.is_some_and(is_draining)
    }

    /// Records that a server wants no calls from this instance for some time.
    pub fn record_closed(&mut self, now_ms: Millis, run: &ServerRun, closed_ms: Millis) {
        self.loads.entry(run.clone()).or_default().record_closed(now_ms + closed_ms);
    }

    /// Records what a server says about its limit on the calls of all instances; returns whether
    /// the limit began, changed or ended.
    pub fn record_limit(
        &mut self,
        now_ms: Millis,
        statement: &LimitStatement,
        random: u64,
    ) -> bool {
        self.call_limits.record(now_ms, statement, self.instance_count, random)
    }

    /// The limits that servers name.
    pub fn call_limits(&self) -> &CallLimits {
        &self.call_limits
    }

    /// Whether a call of any kind may be made to a server now. If the server names a limit, the
    /// call uses a slot of this instance.
    pub fn try_take_call(&mut self, now_ms: Millis, run: &ServerRun) -> bool {
        self.closed_for_ms(now_ms, run).is_none() && self.call_limits.try_take(now_ms, run)
    }

    /// Time until a server takes calls of this instance again; `None` if it takes them now.
    pub fn closed_for_ms(&self, now_ms: Millis, run: &ServerRun) -> Option<Millis> {
        let closed_ms = self.loads.get(run).and_then(|load| load.closed_for_ms(now_ms));
        let slot_ms = self.call_limits.next_slot_in_ms(now_ms, run);
        closed_ms.max(slot_ms.filter(|wait_ms| *wait_ms > Millis::ZERO))
    }

    /// Shortest time until one of the closed servers of a service takes calls again.
    pub fn reopens_in_ms(&self, now_ms: Millis, service: &ServiceId) -> Option<Millis> {
        let servers = self.registry.servers(now_ms).filter(|(_, entry)| entry.service == *service);
        let runs = servers.map(|(server, entry)| ServerRun {
            server: server.clone(),
            started_ms: entry.started_ms,
        });
        runs.filter_map(|run| self.closed_for_ms(now_ms, &run)).min()
    }
}
