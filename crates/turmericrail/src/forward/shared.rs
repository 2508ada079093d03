//! What the edges of an instance share.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use turmericrail_core::forward::{Forwarder, ForwarderSettings, Members, RequestLimits};
use turmericrail_core::units::{Bytes, Millis};

use super::clock;
use super::connection_pool::ConnectionPool;
use super::relay::RelayState;
use super::settings::ForwardSettings;
use super::store_sync::PREFIXES;
use crate::metrics::ForwardMetrics;

/// Time between two rounds in which what is old is forgotten.
const EXPIRE_STEP: Duration = Duration::from_millis(1_000);
/// Instances that share the bound on retries while fewer are known: a little above the size of
/// today's deployments. After a restart the first exchanges bring the true number.
const ASSUMED_INSTANCES: usize = 10;
/// Limits while no configuration is known; those of usual HTTP servers.
const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    max_header_bytes: Bytes(16 << 10),
    max_body_bytes: Bytes(1 << 20),
    header_timeout_ms: Millis(3_000),
    idle_timeout_ms: Millis(15_000),
};

/// What the edges share.
pub struct Shared {
    /// Kept connections to backend servers.
    pub pool: ConnectionPool,
    /// What is exchanged with other instances.
    pub relay: RelayState,
    /// Metrics.
    pub metrics: ForwardMetrics,
    settings: Mutex<Arc<ForwardSettings>>,
    forwarder: Mutex<Forwarder>,
    /// Sets of items that the store does not tell at present.
    lost_prefixes: Mutex<BTreeSet<String>>,
    is_leaving: AtomicBool,
    has_stopped_work: AtomicBool,
    calls: AtomicU64,
    connections: AtomicU64,
    /// Dropped to tell idle connections to close.
    idle_open: Mutex<Option<Sender<()>>>,
    idle_closing: Receiver<()>,
}

impl Shared {
    /// The shared part of an instance that knows nothing yet.
    pub fn new(settings: ForwardSettings) -> Self {
        let forwarder = Forwarder::new(ForwarderSettings {
            data_centre: settings.data_centre.clone(),
            retry_bounds: settings.retry_bounds(),
            assumed_instances: ASSUMED_INSTANCES,
            gives_orders: settings.gives_orders,
        });
        let (idle_open, idle_closing) = async_channel::bounded(1);
        Self {
            pool: ConnectionPool::default(),
            relay: RelayState::new(Members::new(settings.instance.clone()), &PREFIXES),
            metrics: ForwardMetrics::default(),
            lost_prefixes: Mutex::new(BTreeSet::new()),
            forwarder: Mutex::new(forwarder),
            is_leaving: AtomicBool::new(false),
            has_stopped_work: AtomicBool::new(false),
            calls: AtomicU64::new(0),
            connections: AtomicU64::new(0),
            idle_open: Mutex::new(Some(idle_open)),
            idle_closing,
            settings: Mutex::new(Arc::new(settings)),
        }
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<ForwardSettings> {
        Arc::clone(&self.settings.lock().unwrap_or_else(|_| std::process::abort()))
    }

    /// Puts changed settings in force; addresses that are listened on stay as they were.
    pub fn take_settings(&self, settings: ForwardSettings) {
        self.forwarder().set_retry_bounds(settings.retry_bounds());
        *self.settings.lock().unwrap_or_else(|_| std::process::abort()) = Arc::new(settings);
    }

    /// The forwarder; held for one decision.
    pub fn forwarder(&self) -> MutexGuard<'_, Forwarder> {
        self.forwarder.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// What callers may send.
    pub fn limits(&self) -> RequestLimits {
        self.forwarder().table().map_or(DEFAULT_LIMITS, |table| *table.limits())
    }

    /// Whether callers may come.
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.forwarder().table().is_some()
    }

    /// Notes whether the store tells a set of items.
    pub fn set_store_lost(&self, prefix: &str, is_lost: bool) {
        let mut lost = self.lost_prefixes.lock().unwrap_or_else(|_| std::process::abort());
        if is_lost {
            lost.insert(prefix.to_owned());
        } else {
            lost.remove(prefix);
        }
    }

    /// Whether the store does not answer.
    pub fn is_store_lost(&self) -> bool {
        !self.lost_prefixes.lock().unwrap_or_else(|_| std::process::abort()).is_empty()
    }

    /// Whether a shutdown is under way.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Begins a shutdown.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Takes no new requests any more.
    pub fn stop_work(&self) {
        self.has_stopped_work.store(true, Ordering::Relaxed);
    }

    /// Whether new requests are refused.
    pub fn has_stopped_work(&self) -> bool {
        self.has_stopped_work.load(Ordering::Relaxed)
    }

    /// Tells connections that wait for a request to close.
    pub fn close_idle(&self) {
        self.idle_open.lock().unwrap_or_else(|_| std::process::abort()).take();
    }

    /// Returns once connections that wait for a request are to close.
    pub async fn idle_closing(&self) {
        let _ = self.idle_closing.recv().await;
    }

    /// Counts a request while the guard lives.
    pub fn count_call(self: &Arc<Self>) -> Counted {
        Counted::new(self, |shared| &shared.calls)
    }

    /// Counts a caller's connection while the guard lives.
    pub fn count_connection(self: &Arc<Self>) -> Counted {
        Counted::new(self, |shared| &shared.connections)
    }

    /// Requests that were not answered yet.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Connections of callers.
    pub fn connections(&self) -> u64 {
        self.connections.load(Ordering::Relaxed)
    }
}

/// One unit of a count, until it is dropped.
pub struct Counted {
    shared: Arc<Shared>,
    count: fn(&Shared) -> &AtomicU64,
}

impl Counted {
    fn new(shared: &Arc<Shared>, count: fn(&Shared) -> &AtomicU64) -> Self {
        count(shared).fetch_add(1, Ordering::Relaxed);
        Self { shared: Arc::clone(shared), count }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        (self.count)(&self.shared).fetch_sub(1, Ordering::Relaxed);
    }
}

/// Forgets what is old, again and again.
pub async fn expire(shared: Arc<Shared>) {
    loop {
        task::sleep(EXPIRE_STEP).await;
        shared.forwarder().expire(clock::now_ms());
        shared.pool.expire();
        let instances = shared.relay.members().count();
        shared.forwarder().set_instances(instances);
    }
}
