//! What the edges share: settings, the way to the driver, waiting callers and metrics.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use turmericrail_core::at_most_once::SealKey;
use turmericrail_core::event::{Event, Now};
use turmericrail_core::ids::{Incarnation, RequestId};
use turmericrail_core::membership::INCARNATION_RANDOM_BITS;
use turmericrail_core::node::{Node, NodeSettings};
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::kept_connections::KeptConnections;

use crate::caller_edge::body::BodyBudget;
use crate::daemon::callers::Callers;
use crate::daemon::decisions::Decisions;
use crate::metrics::Metrics;
use crate::settings::Settings;

/// What the edges share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// This run.
    pub incarnation: Incarnation,
    /// The deployment's key for tickets and cursors.
    pub seal: SealKey,
    /// Callers that wait for answers.
    pub callers: Callers,
    /// Decisions of the latest requests.
    pub decisions: Decisions,
    /// Memory that bodies of callers take.
    pub bodies: BodyBudget,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections to peers.
    pub peers: crate::peer_edge::client::Peers,
    /// Connections to engines for polls.
    pub polls: KeptConnections,
    events: Sender<Event>,
    node: Mutex<Node>,
    started: Instant,
    next_request: AtomicU64,
}

impl Shared {
    /// The shared part and the receiving end of the driver's events.
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
        let shared = Self {
            incarnation,
            seal,
            callers: Callers::default(),
            decisions: Decisions::default(),
            bodies: BodyBudget::default(),
            metrics: Metrics::default(),
            peers: crate::peer_edge::client::Peers::default(),
            polls: KeptConnections::default(),
            events: sender,
            node: Mutex::new(node),
            started: Instant::now(),
            next_request: AtomicU64::new(1),
            settings,
        };
        (shared, receiver)
    }

    /// Tells the driver what happened.
    pub fn tell(&self, event: Event) {
        let _ = self.events.try_send(event);
    }

    /// The next number for a request.
    pub fn next_request(&self) -> RequestId {
        RequestId(self.next_request.fetch_add(1, Ordering::Relaxed))
    }

    /// The coordinator; held for one event or one look at its status.
    pub fn node(&self) -> MutexGuard<'_, Node> {
        self.node.lock().unwrap_or_else(|_| std::process::abort())
    }

    /// The present time.
    pub fn now(&self) -> Now {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Now {
            mono_ms: Millis(self.started.elapsed().as_millis() as u64),
            wall_ms: WallMillis(wall.as_millis() as u64),
        }
    }
}

/// A number above those of earlier runs; the random part keeps it unique where the clock was set
/// back.
fn new_incarnation() -> Incarnation {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = fastrand::u64(0..1 << INCARNATION_RANDOM_BITS);
    Incarnation((since_epoch.as_millis() as u64) << INCARNATION_RANDOM_BITS | random)
}
