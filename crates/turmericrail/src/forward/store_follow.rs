//! Follows an instance that watches the platform's store, so that calls to the store don't grow
//! with the number of instances.
//!
//! In each data centre a few instances watch the store. The others ask one of these at a time, at
//! random, for what is new; each call waits until there is something. An instance that finds no
//! watching one that can be reached watches the store itself for a while. If those that are reached
//! can't read the store, the instance goes on to follow them and now and then tries the store
//! itself, since it may be served.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use tonic::transport::Channel;
use tonic::{Request, Status};
use turmericrail_core::forward::Watcher;
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::{FollowReply, FollowRequest};

use super::relay;
use super::shared::Shared;
use super::store_sync;

/// Time for which a call waits for changes; an instance that is silent is noticed after it.
const FOLLOW_WAIT_MS: u64 = 1_000;
/// Longest wait for the reply.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Watching instances that are asked in one round.
const MAX_ATTEMPTS: usize = 3;
/// Time between rounds while no watching instance can read the store.
const LOST_INTERVAL: Duration = Duration::from_millis(400);
/// Share of these rounds after which this instance tries the store itself.
const OWN_TRIAL_SHARE: f64 = 0.125;
/// Time for which an instance watches the store itself after it found none to follow.
const OWN_WATCH_PERIOD: Duration = Duration::from_millis(4_000);
/// Time between checks whether an instance that is to watch still is, as members come and go.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(1_000);

type Clients = BTreeMap<SocketAddr, RelayClient<Channel>>;

/// Follows other instances in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    let mut clients = Clients::new();
    loop {
        let Some(watchers) = watchers(&shared) else {
            shared.follow_state.set_following(false);
            task::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        };
        let is_following = match follow_any(&shared, &mut clients, watchers).await {
            Some(false) => true,
            Some(true) => {
                task::sleep(LOST_INTERVAL.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
                fastrand::f64() >= OWN_TRIAL_SHARE
            }
            None => false,
        };
        shared.follow_state.set_following(is_following);
        if !is_following {
            task::sleep(OWN_WATCH_PERIOD.mul_f64(0.75 + fastrand::f64() / 2.0)).await;
        }
    }
}

/// Asks watching instances until one replies that can read the store. Returns whether all that
/// replied have lost the store; `None` if none replied.
async fn follow_any(
    shared: &Shared,
    clients: &mut Clients,
    watchers: Vec<SocketAddr>,
) -> Option<bool> {
    let mut is_lost = None;
    for address in watchers.into_iter().take(MAX_ATTEMPTS) {
        let following =
            async_std::future::timeout(FOLLOW_TIMEOUT, follow(shared, clients, address));
        let reply = following.await.unwrap_or_else(|_| Err(Status::deadline_exceeded("no reply")));
        let reply = match reply {
            Ok(reply) => reply,
            Err(status) => {
                clients.remove(&address);
                let problem = status.message();
                spdlog::debug!("event=follow_failed peer={address} problem={problem:?}");
                continue;
            }
        };
        relay::merge_leaving(shared, &reply.leaving);
        relay::merge_limits(shared, &reply.limits);
        relay::apply_newer(shared, address, reply.newer);
        is_lost = Some(reply.is_store_lost);
        if !reply.is_store_lost {
            break;
        }
    }
    if let Some(is_lost) = is_lost {
        store_sync::record_store_access(shared, is_lost);
    }
    is_lost
}

/// The instances to ask, those of this data centre first; `None` if this instance is to watch.
fn watchers(shared: &Shared) -> Option<Vec<SocketAddr>> {
    let settings = shared.settings();
    let members = shared.relay.members();
    let mut local = members.watchers(&settings.data_centre, true);
    if local.contains(&Watcher::Own) {
        return None;
    }
    fastrand::shuffle(&mut local);
    // The last attempt goes to another data centre, which may read the store when this one can't.
    local.truncate(MAX_ATTEMPTS - 1);
    let others = members.data_centres();
    let others = others.into_iter().filter(|data_centre| **data_centre != settings.data_centre);
    let mut remote: Vec<_> = others.flat_map(|it| members.watchers(it, false)).collect();
    fastrand::shuffle(&mut remote);
    let address = |watcher: Watcher| match watcher {
        Watcher::Own => None,
        Watcher::Other(address) => Some(address),
    };
    Some(local.into_iter().chain(remote).filter_map(address).collect())
}

async fn follow(
    shared: &Shared,
    clients: &mut Clients,
    address: SocketAddr,
) -> Result<FollowReply, Status> {
    let mut client = match clients.get(&address) {
        Some(client) => client.clone(),
        None => relay::connect(address).await?,
    };
    clients.insert(address, client.clone());
    let request = FollowRequest {
        known: shared.relay.known_sets(),
        wait_ms: FOLLOW_WAIT_MS,
        limits: relay::list_limits(shared),
    };
    Ok(client.follow(Request::new(request)).await?.into_inner())
}
