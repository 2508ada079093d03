//! Follows an instance that watches the platform's store, so that calls to the store don't grow
//! with the number of instances.
//!
//! In each data centre a few instances watch the store. The others form a tree below them
//! (`FollowPlan`), in which each asks one of the level above for what is new; each call waits until
//! there is something. An instance that finds none that can be reached watches the store itself for
//! a while. If those that are reached can't read the store, the instance goes on to follow them and
//! now and then tries the store itself, since it may be served.
//!
//! The watching instances of a data centre follow each other in a ring, so that what one of them
//! reads reaches those whose watches have failed without a sign. The first one renews its watch
//! often (`store_watch`), in case all of them have.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use futures_lite::FutureExt;
use tonic::transport::Channel;
use tonic::{Request, Status};
use turmericrail_core::forward::Watcher;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{FollowReply, FollowRequest};

use super::store_sync;
use crate::forward::clock;
use crate::forward::peers::loss_notices;
use crate::forward::peers::relay;
use crate::forward::peers::relay_exchange;
use crate::forward::peers::relay_leaving;
use crate::forward::peers::relay_limits;
use crate::forward::peers::relay_members;
use crate::forward::shared::Shared;

/// Time for which a call waits for changes; an instance that is silent is noticed after it.
const FOLLOW_WAIT: Duration = Duration::from_millis(1_000);
/// Time for which a call between watching instances waits for changes.
const WATCHER_WAIT: Duration = Duration::from_millis(4_000);
/// Time allowed beyond the wait for the reply to arrive.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Watching instances of this data centre that are asked in one round.
const MAX_LOCAL_ATTEMPTS: usize = 2;
/// Watching instances of other data centres, which may read the store when this one can't.
const MAX_REMOTE_ATTEMPTS: usize = 1;
/// Time for which others are asked before an instance that didn't reply.
const SILENCE_PERIOD: Duration = Duration::from_millis(10_000);
/// Time between rounds while no watching instance can read the store.
const LOST_INTERVAL: Duration = Duration::from_millis(400);
/// Share of these rounds after which this instance tries the store itself.
const OWN_TRIAL_SHARE: f64 = 0.125;
/// Time for which an instance watches the store itself after it found none to follow.
const OWN_WATCH_PERIOD: Duration = Duration::from_millis(4_000);
/// Time between checks whether an instance that is to watch still is, as members come and go.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between calls of a watching instance, so that changes in quick succession cost one call.
const WATCHER_CALL_INTERVAL: Duration = Duration::from_millis(400);

/// Instances whose last notice is remembered.
const MAX_NOTICE_SOURCES: usize = 64;

/// Asks watching instances for what is new.
struct Follower {
    shared: Arc<Shared>,
    clients: BTreeMap<SocketAddr, RelayClient<Channel>>,
    /// Instances that didn't reply, and until when others are asked first.
    silent_until: BTreeMap<SocketAddr, Instant>,
    /// The last notice that each instance told: epoch and number.
    last_notices: BTreeMap<SocketAddr, (u64, u64)>,
    /// Instances between this one and the store; 0 while this one is to watch it.
    level: u32,
}

/// Follows other instances in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    let mut follower = Follower {
        shared: Arc::clone(&shared),
        clients: BTreeMap::new(),
        silent_until: BTreeMap::new(),
        last_notices: BTreeMap::new(),
        level: 0,
    };
    loop {
        if is_watcher(&shared) {
            shared.follow_state.set_following(false);
            follower.follow_as_watcher().or(wait_until_follower(&shared)).await;
            continue;
        }
        let is_following = match follower.follow_any().await {
            Some(false) => true,
            Some(true) => {
                task::sleep(clock::spread(LOST_INTERVAL)).await;
                fastrand::f64() >= OWN_TRIAL_SHARE
            }
            None => false,
        };
        shared.follow_state.set_following(is_following);
        if !is_following {
            task::sleep(clock::spread(OWN_WATCH_PERIOD)).await;
        }
    }
}

/// Whether this instance is to watch the store.
fn is_watcher(shared: &Shared) -> bool {
    let data_centre = &shared.settings().data_centre;
    shared.relay.members().watchers(data_centre, true).contains(&Watcher::Own)
}

async fn wait_until_follower(shared: &Shared) {
    while is_watcher(shared) {
        task::sleep(WATCHER_CHECK_INTERVAL).await;
    }
}

impl Follower {
    /// Asks watching instances until one replies that can read the store. Returns whether all that
    /// replied have lost the store; `None` if none replied.
    async fn follow_any(&mut self) -> Option<bool> {
        let (local, remote) = self.choose_parents();
        let is_lost = match self.ask_in_turn(local, MAX_LOCAL_ATTEMPTS, FOLLOW_WAIT).await {
            Some(false) => Some(false),
            Some(true) => {
                let is_lost = self.ask_in_turn(remote, MAX_REMOTE_ATTEMPTS, FOLLOW_WAIT).await;
                is_lost.or(Some(true))
            }
            None => self.ask_in_turn(remote, MAX_REMOTE_ATTEMPTS, Duration::ZERO).await,
        };
        if let Some(is_lost) = is_lost {
            store_sync::record_store_access(&self.shared, is_lost);
        }
        is_lost
    }

    /// Asks instances in turn, as [`Self::follow_any`] does. Those that follow another one count
    /// neither as a reply nor as an attempt.
    async fn ask_in_turn(
        &mut self,
        watchers: Vec<SocketAddr>,
        max_attempts: usize,
        mut wait: Duration,
    ) -> Option<bool> {
        let mut is_lost = None;
        let mut attempts = 0;
        for address in watchers {
            if attempts == max_attempts || is_lost == Some(false) {
                break;
            }
            let Some(reply) = self.ask(address, wait).await else {
                attempts += 1;
                // Changes may have been missed meanwhile: the next one is to reply at once.
                wait = Duration::ZERO;
                continue;
            };
            if reply.is_following {
                continue;
            }
            attempts += 1;
            is_lost = Some(reply.is_store_lost);
        }
        is_lost
    }

    /// Follows the next watching instance in an endless loop, since the own watch may get neither
    /// changes nor an error.
    async fn follow_as_watcher(&mut self) {
        loop {
            let reply = match self.choose_watchers().first() {
                Some(&address) => self.ask(address, WATCHER_WAIT).await,
                None => None,
            };
            let is_watching =
                reply.is_some_and(|reply| !reply.is_following && !reply.is_store_lost);
            let interval = if is_watching { WATCHER_CALL_INTERVAL } else { WATCHER_CHECK_INTERVAL };
            task::sleep(clock::spread(interval)).await;
        }
    }

    /// The instances of the level above in this data centre, the planned one first, and the watching
    /// ones of the other data centres in random order; those that didn't reply last.
    fn choose_parents(&mut self) -> (Vec<SocketAddr>, Vec<SocketAddr>) {
        let data_centre = &self.shared.settings().data_centre;
        let plan = self.shared.relay.members().follow_plan(data_centre);
        let (_, mut remote) = relay_members::watching_instances(&self.shared);
        fastrand::shuffle(&mut remote);
        self.level = plan.level;
        (self.silent_last(plan.parents), self.silent_last(remote))
    }

    /// The other watching instances of this data centre in the order of the ring, those that didn't
    /// reply last.
    fn choose_watchers(&mut self) -> Vec<SocketAddr> {
        let (local, _) = relay_members::watching_instances(&self.shared);
        self.level = 0;
        self.silent_last(local)
    }

    fn silent_last(&mut self, mut addresses: Vec<SocketAddr>) -> Vec<SocketAddr> {
        let now = Instant::now();
        self.silent_until.retain(|_, until| *until > now);
        addresses.sort_by_key(|address| self.silent_until.contains_key(address));
        addresses
    }

    /// Asks an instance for what is new and applies it; `None` if it doesn't reply.
    async fn ask(&mut self, address: SocketAddr, wait: Duration) -> Option<FollowReply> {
        let following = async_std::future::timeout(wait + REPLY_TIMEOUT, self.call(address, wait));
        let reply = following.await.unwrap_or_else(|_| Err(Status::deadline_exceeded("no reply")));
        let mut reply = match reply {
            Ok(reply) => reply,
            Err(status) => {
                self.clients.remove(&address);
                self.last_notices.remove(&address);
                self.silent_until.insert(address, Instant::now() + SILENCE_PERIOD);
                let problem = status.message();
                spdlog::debug!("event=follow_failed peer={address} problem={problem:?}");
                return None;
            }
        };
        self.silent_until.remove(&address);
        relay_leaving::merge_leaving(&self.shared, &reply.leaving);
        relay_limits::merge_limits(&self.shared, &reply.limits);
        loss_notices::merge(&self.shared, reply.notices.take());
        self.last_notices.insert(address, (reply.notices_epoch, reply.last_notice));
        if self.last_notices.len() > MAX_NOTICE_SOURCES {
            self.last_notices.retain(|known, _| *known == address);
        }
        relay_exchange::apply_newer(&self.shared, address, std::mem::take(&mut reply.newer));
        Some(reply)
    }

    async fn call(&mut self, address: SocketAddr, wait: Duration) -> Result<FollowReply, Status> {
        let mut client = match self.clients.get(&address) {
            Some(client) => client.clone(),
            None => relay::connect(address).await?,
        };
        self.clients.insert(address, client.clone());
        let last_notice = self.last_notices.get(&address).copied();
        let (notices_epoch, notices_after) = last_notice.unwrap_or_default();
        let request = FollowRequest {
            known: self.shared.relay.known_sets(),
            wait_ms: wait.as_millis() as u64,
            limits: relay_limits::list_limits(&self.shared),
            notices_epoch,
            notices_after,
            level: self.level,
            is_reading_store: self.shared.relay.is_reading_store(),
            accepts_deflated: true,
        };
        Ok(client.follow(Request::new(request)).await?.into_inner())
    }
}
