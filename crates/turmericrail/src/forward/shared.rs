//! State shared by the listeners, calls and background tasks of an instance.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_std::sync::Mutex as AsyncMutex;
use async_std::task;
use turmericrail_core::forward::{Forwarder, ForwarderSettings, Members, RequestLimits};
use turmericrail_core::units::{Bytes, Millis};

use super::clock;
use super::handover::HandoverState;
use super::once_signal::OnceSignal;
use super::peers::loss_notices::{self, LossNoticeState};
use super::peers::relay::RelayState;
use super::peers::stream_versions::{self, StreamVersionState};
use super::peers::usage::{self, UsageState};
use super::servers::connection_pool::ConnectionPool;
use super::settings::ForwardSettings;
use super::store::follow_state::FollowState;
use super::store::store_sync::PREFIXES;
use crate::caller_memory::SharedAccount;
use crate::metrics::ForwardMetrics;

/// Time between two rounds of removing expired state.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Instances that share the bound on retries until the first exchanges after a restart bring their
/// true number; slightly above the size of present deployments.
const ASSUMED_INSTANCE_COUNT: usize = 10;
/// Limits until a configuration is known; the defaults of common HTTP servers.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: Bytes(16 << 10),
    max_body_bytes: Bytes(1 << 20),
    header_timeout_ms: Millis(3_000),
    idle_timeout_ms: Millis(15_000),
};

pub struct Shared {
    /// Monotonic time of the start.
    pub started_ms: Millis,
    /// Idle connections to backend servers.
    pub pool: ConnectionPool,
    /// State that is exchanged with other instances.
    pub relay: RelayState,
    pub metrics: ForwardMetrics,
    /// Held by the one of the long bodies that is decoded.
    pub body_turn: AsyncMutex<()>,
    /// What callers make the process hold.
    pub caller_account: Arc<SharedAccount>,
    pub follow_state: FollowState,
    pub loss_notices: LossNoticeState,
    pub stream_versions: StreamVersionState,
    pub usage: UsageState,
    pub handover: HandoverState,
    settings: Mutex<Arc<ForwardSettings>>,
    forwarder: Mutex<Forwarder>,
    /// Prefixes whose items can't be read from the store at present.
    lost_prefixes: Mutex<BTreeSet<String>>,
    is_shutting_down: AtomicBool,
    is_refusing_requests: AtomicBool,
    calls: AtomicU64,
    connections: AtomicU64,
    /// Given when connections that wait for a request are to be closed.
    pub idle_close: OnceSignal,
    /// Given when every request must be answered at once, since the process ends.
    pub last_answers: OnceSignal,
}

impl Shared {
    /// State of an instance that has received nothing yet.
    pub fn new(settings: ForwardSettings) -> Self {
        let forwarder = Forwarder::new(ForwarderSettings {
            data_centre: settings.data_centre.clone(),
            retry_bounds: settings.retry_bounds(),
            started_ms: clock::now_ms(),
            assumed_instance_count: ASSUMED_INSTANCE_COUNT,
            gives_orders: settings.gives_orders,
        });
        let metrics = ForwardMetrics::default();
        let account_metrics = metrics.caller_account.clone();
        let caller_account = SharedAccount::new(settings.account_limits(), account_metrics);
        Self {
            started_ms: clock::now_ms(),
            pool: ConnectionPool::new(settings.max_answer_bytes.0 as usize),
            relay: RelayState::new(Members::new(settings.instance.clone()), &PREFIXES),
            metrics,
            body_turn: AsyncMutex::new(()),
            caller_account: Arc::new(caller_account),
            follow_state: FollowState::default(),
            loss_notices: LossNoticeState::default(),
            stream_versions: StreamVersionState::default(),
            usage: UsageState::new(&settings),
            handover: HandoverState::new(&settings),
            lost_prefixes: Mutex::new(BTreeSet::new()),
            forwarder: Mutex::new(forwarder),
            is_shutting_down: AtomicBool::new(false),
            is_refusing_requests: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            idle_close: OnceSignal::default(),
            last_answers: OnceSignal::default(),
            settings: Mutex::new(Arc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<ForwardSettings> {
        Arc::clone(&self.settings.lock().unwrap_or_else(|_| std::process::abort()))
    }

    /// Puts changed settings in force, except for the addresses that are already listened on.
    pub fn apply_settings(&self, settings: ForwardSettings) {
        self.forwarder().set_retry_bounds(settings.retry_bounds());
        self.caller_account.set_limits(settings.account_limits());
        *self.settings.lock().unwrap_or_else(|_| std::process::abort()) = Arc::new(settings);
    }

    /// Locks the forwarder; to be held for one decision only.
    pub fn forwarder(&self) -> MutexGuard<'_, Forwarder> {
        self.forwarder.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// Limits on callers' requests.
    pub fn limits(&self) -> RequestLimits {
        self.forwarder().table().map_or(DEFAULT_LIMITS, |table| *table.limits())
    }

    /// Whether callers may send requests.
    pub fn is_ready(&self) -> bool {
        !self.is_shutting_down() && self.forwarder().table().is_some()
    }

    /// Records whether the items of a prefix can't be read from the store.
    pub fn set_store_lost(&self, prefix: &str, is_lost: bool) {
        let mut lost = self.lost_prefixes.lock().unwrap_or_else(|_| std::process::abort());
        if is_lost {
            lost.insert(prefix.to_owned());
        } else {
            lost.remove(prefix);
        }
        drop(lost);
        self.relay.change.notify();
    }

    /// Whether the store doesn't answer for at least one prefix.
    pub fn is_store_lost(&self) -> bool {
        !self.lost_prefixes.lock().unwrap_or_else(|_| std::process::abort()).is_empty()
    }

    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.load(Ordering::Relaxed)
    }

    pub fn begin_shutdown(&self) {
        self.is_shutting_down.store(true, Ordering::Relaxed);
    }

    /// Refuses new requests from now on.
    pub fn refuse_requests(&self) {
        self.is_refusing_requests.store(true, Ordering::Relaxed);
    }

    pub fn is_refusing_requests(&self) -> bool {
        self.is_refusing_requests.load(Ordering::Relaxed)
    }

    /// Counts a request while the guard lives.
    pub fn count_call(self: &Arc<Self>) -> CountGuard {
        CountGuard::new(self, |shared| &shared.calls)
    }

    /// Counts a caller's connection while the guard lives.
    pub fn count_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::new(self, |shared| &shared.connections)
    }

    /// Number of requests that weren't answered yet.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Number of open connections of callers.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// Counts one request or connection until it is dropped.
pub struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicU64,
}

impl CountGuard {
    fn new(shared: &Arc<Shared>, counter: fn(&Shared) -> &AtomicU64) -> Self {
        counter(shared).fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Removes expired state and updates the number of instances in an endless loop.
pub async fn expire_periodically(shared: Arc<Shared>) {
    loop {
        task::sleep(EXPIRE_INTERVAL).await;
        shared.forwarder().expire(clock::now_ms());
        loss_notices::expire(&shared);
        usage::expire(&shared);
        shared.forwarder().broken_calls().expire(clock::now_ms());
        let has_more_versions = shared.forwarder().record_versions(clock::now_ms());
        if has_more_versions {
            stream_versions::tell_recent(&shared);
        }
        shared.pool.expire();
        if shared.relay.has_exchanged() {
            let instances = shared.relay.instance_count();
            shared.forwarder().set_instance_count(clock::now_ms(), instances);
        }
    }
}
