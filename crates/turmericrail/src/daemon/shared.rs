//! State shared by the edges: settings, the event queue, waiting callers, connections, metrics.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{Incarnation, RequestId};
use turmericrail_core::membership::INCARNATION_RANDOM_BITS;
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::answer_budget::AnswerBudget;
use turmericrail_wire::idempotent_client::IdempotentClient;

use crate::caller_memory::SharedAccount;
use crate::daemon::callers::Callers;
use crate::daemon::decisions::RecentDecisions;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// State shared by the edges and the driver.
#[expect(missing_docs, reason = "the names say it")]
pub struct Shared {
    pub settings: Settings,
    /// Number of this run of the instance.
    pub incarnation: Incarnation,
    /// The deployment's key, which seals tickets and cursors.
    pub seal_key: SealKey,
    pub callers: Callers,
    /// Number of callers' connections on which no request has arrived yet.
    pub silent_connections: AtomicUsize,
    pub decisions: RecentDecisions,
    /// What callers make the process hold.
    pub caller_account: Arc<SharedAccount>,
    pub metrics: Metrics,
    pub peer_channels: crate::peer_edge::client::PeerChannels,
    /// Memory for the answers of servers while they are read.
    pub answer_budget: AnswerBudget,
    /// Connections to engines for load reports.
    pub report_connections: IdempotentClient,
    events: Sender<Event>,
    node: Mutex<Node>,
    started: Instant,
    next_request_id: AtomicU64,
}

impl Shared {
    /// Creates the state and the receiver of the events for the driver.
    pub fn new(settings: Settings) -> (Self, Receiver<Event>) {
        let incarnation = new_incarnation();
        let seal = SealKey::for_run(&settings.seal_key, fastrand::u64(..));
        let node = Node::new(NodeSettings {
            instance: settings.instance.clone(),
            incarnation,
            data_centre: settings.data_centre.clone(),
            peer_address: settings.peer_address,
            seal_key: seal.clone(),
        });
        let (sender, receiver) = async_channel::unbounded();
        let metrics = Metrics::default();
        let account_limits = settings.limits.account_limits();
        let caller_account = SharedAccount::new(account_limits, metrics.caller_account.clone());
        let shared = Self {
            incarnation,
            seal_key: seal,
            callers: Callers::default(),
            silent_connections: AtomicUsize::new(0),
            decisions: RecentDecisions::default(),
            caller_account: Arc::new(caller_account),
            metrics,
            peer_channels: crate::peer_edge::client::PeerChannels::default(),
            answer_budget: AnswerBudget::new(settings.limits.max_answer_bytes.0 as usize),
            report_connections: IdempotentClient::default(),
            events: sender,
            node: Mutex::new(node),
            started: Instant::now(),
            next_request_id: AtomicU64::new(1),
            settings,
        };
        (shared, receiver)
    }

    /// Queues an event for the driver.
    pub fn send_event(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    /// Returns a new request id, unique within this run.
    pub fn next_request_id(&self) -> RequestId {
        RequestId(self.next_request_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Locks the coordinator; hold the guard only for one event or one read of its state.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// The monotonic time since the start of the process and the wall-clock time.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            monotonic_ms: Millis(self.started.elapsed().as_millis() as u64),
            wall_ms: WallMillis(wall.as_millis() as u64),
        }
    }
}

/// Returns a number above those of earlier runs; the random part keeps it unique even if the clock
/// was set back.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = fastrand::u64(0..1 << INCARNATION_RANDOM_BITS);
    Incarnation((since_epoch.as_millis() as u64) << INCARNATION_RANDOM_BITS | random)
}
