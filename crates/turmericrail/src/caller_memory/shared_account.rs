//! The account that all connections of callers share.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use turmericrail_core::caller_account::{AccountLimits, CallerAccount, ConnectionPhase, Shortage};
use turmericrail_core::ids::ConnectionId;
use turmericrail_core::units::{Bytes, Millis};

use super::eviction_log::EvictionLog;
use super::eviction_signal::EvictionSignal;
use super::{AccountMetrics, HeldConnection, open_files};

/// Event of a connection that gives way.
const EVICTED: &str = "evicted";

struct State {
    account: CallerAccount,
    signals: BTreeMap<ConnectionId, Arc<EvictionSignal>>,
}

/// The account that all connections of callers share.
pub struct SharedAccount {
    state: Mutex<State>,
    /// Limit on connections by the settings; that on open files may be lower.
    max_connections: Mutex<u64>,
    log: EvictionLog,
    metrics: AccountMetrics,
    started: Instant,
}

impl SharedAccount {
    /// An account without connections.
    pub fn new(limits: AccountLimits, metrics: AccountMetrics) -> Self {
        Self {
            state: Mutex::new(State {
                account: CallerAccount::new(limits),
                signals: BTreeMap::new(),
            }),
            max_connections: Mutex::new(limits.max_connections),
            log: EvictionLog::default(),
            metrics,
            started: Instant::now(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|_| std::process::abort())
    }

    fn max_connections(&self) -> MutexGuard<'_, u64> {
        self.max_connections.lock().unwrap_or_else(|_| std::process::abort())
    }

    fn now_ms(&self) -> Millis {
        Millis(self.started.elapsed().as_millis() as u64)
    }

    /// Changes the limits.
    pub fn set_limits(&self, limits: AccountLimits) {
        *self.max_connections() = limits.max_connections;
        self.state().account.set_limits(limits);
    }

    /// Adds a connection that holds so much.
    pub fn open(self: &Arc<Self>, bytes: Bytes) -> Result<Arc<HeldConnection>, Shortage> {
        let max_connections = open_files::max_connections(*self.max_connections());
        let now_ms = self.now_ms();
        let mut state = self.state();
        let limits = state.account.limits();
        state.account.set_limits(AccountLimits { max_connections, ..limits });
        let opened = state.account.open(now_ms, bytes);
        let (id, evicted) = opened.inspect_err(|shortage| self.refuse(&state, *shortage))?;
        let signal = Arc::<EvictionSignal>::default();
        state.signals.insert(id, Arc::clone(&signal));
        self.evict(&state, &evicted);
        self.observe(&state);
        Ok(Arc::new(HeldConnection::new(Arc::clone(self), id, signal)))
    }

    pub(super) fn close(&self, id: ConnectionId) {
        let mut state = self.state();
        state.account.close(id);
        state.signals.remove(&id);
        self.observe(&state);
    }

    pub(super) fn set_phase(&self, id: ConnectionId, phase: ConnectionPhase) {
        self.state().account.set_phase(self.now_ms(), id, phase);
    }

    pub(super) fn start_serving(&self, id: ConnectionId) -> Result<(), Shortage> {
        self.state().account.start_serving(self.now_ms(), id)
    }

    pub(super) fn grow(&self, id: ConnectionId, added: Bytes) -> Result<(), Shortage> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let grown = state.account.grow(now_ms, id, added);
        let growth = grown.inspect_err(|shortage| self.refuse(&state, *shortage))?;
        self.evict(&state, &growth.evicted);
        self.observe(&state);
        if growth.is_granted { Ok(()) } else { Err(Shortage::Leaving) }
    }

    pub(super) fn add(&self, id: ConnectionId, added: Bytes) {
        self.state().account.add(id, added);
    }

    pub(super) fn shrink(&self, id: ConnectionId, removed: Bytes) {
        let mut state = self.state();
        state.account.shrink(id, removed);
        self.observe(&state);
    }

    fn evict(&self, state: &State, evicted: &[ConnectionId]) {
        for id in evicted {
            self.record(state, EVICTED);
            if let Some(signal) = state.signals.get(id) {
                signal.give();
            }
        }
    }

    fn refuse(&self, state: &State, shortage: Shortage) {
        self.record(state, shortage.as_str());
    }

    fn record(&self, state: &State, event: &'static str) {
        self.metrics.shortages.with_label_values(&[event]).inc();
        self.log.record(self.now_ms(), event, &state.account);
    }

    fn observe(&self, state: &State) {
        self.metrics.held_bytes.set(state.account.held().0 as i64);
        self.metrics.connections.set(state.account.connections() as i64);
    }
}
