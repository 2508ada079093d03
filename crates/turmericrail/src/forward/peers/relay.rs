//! Exchanges members and published items with other instances.
//!
//! Each instance calls one other instance at a time: seldom while it can read the platform's store
//! itself, and often while it can't, since then it learns the items from others. A reply holds only
//! items that the calling instance lacks. Instances that don't watch the store follow one that does
//! (`store_follow`).

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};
use turmericrail_core::forward::{MemberList, Members, PublishedItem, PublishedSet, ServerRun};
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::relay_server::{Relay, RelayServer};
use turmericrail_wire::relay::{
    self as wire, BegunStreams, ExchangeReply, ExchangeRequest, FindStreamReply, FindStreamRequest,
    FollowReply, FollowRequest, LossNotices, NotifyReply,
};

use super::loss_notices;
use super::relay_limits;
use super::relay_members;
use super::relay_speeds;
use super::stream_versions;
use crate::error::StartError;
use crate::forward::clock;
use crate::forward::servers::server_notices;
use crate::forward::shared::Shared;
use crate::forward::store::change_signal::ChangeSignal;
use crate::forward::store::store_sync;

/// Mean time between exchanges while the store answers; each exchange costs bandwidth and processor
/// time.
const NORMAL_INTERVAL: Duration = Duration::from_millis(3_000);
/// Mean time between exchanges while the store doesn't answer. Several must fit into the time
/// within which a new configuration has to be in force.
const STORE_LOST_INTERVAL: Duration = Duration::from_millis(400);
/// Mean time between exchanges until the first one has succeeded.
const INITIAL_INTERVAL: Duration = Duration::from_millis(500);
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest message: a megabyte for the configuration, and room for the servers.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Longest time for which a call of a following instance waits for changes.
const MAX_FOLLOW_WAIT_MS: Millis = Millis(5_000);

/// Announced revisions that can wait to be processed.
const MAX_PENDING_ANNOUNCEMENTS: usize = 16;

/// The state that is exchanged with other instances.
pub struct RelayState {
    members: Mutex<Members>,
    sets: Mutex<Vec<(&'static str, PublishedSet)>>,
    has_exchanged: AtomicBool,
    /// Wakes the calls of following instances when an item or the access to the store changes.
    pub change: ChangeSignal,
    /// By prefix: channel of revisions that other instances had before this one read them from the
    /// store.
    announced_revisions: Vec<(&'static str, Sender<u64>, Receiver<u64>)>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

impl RelayState {
    /// State of an instance that has received nothing yet.
    pub fn new(members: Members, prefixes: &[&'static str]) -> Self {
        let sets = prefixes.iter().map(|prefix| (*prefix, PublishedSet::default())).collect();
        let channel = |prefix: &&'static str| {
            let (sender, receiver) = async_channel::bounded(MAX_PENDING_ANNOUNCEMENTS);
            (*prefix, sender, receiver)
        };
        let announced_revisions = prefixes.iter().map(channel).collect();
        Self {
            members: Mutex::new(members),
            sets: Mutex::new(sets),
            has_exchanged: AtomicBool::new(false),
            change: ChangeSignal::default(),
            announced_revisions,
        }
    }

    /// Whether another instance has told this one which instances there are.
    pub fn has_exchanged(&self) -> bool {
        self.has_exchanged.load(Ordering::Relaxed)
    }

    pub fn members(&self) -> MutexGuard<'_, Members> {
        lock(&self.members)
    }

    /// Applies a function to the set of a prefix; `None` if there is no such set.
    pub fn with_set<T>(
        &self,
        prefix: &str,
        apply: impl FnOnce(&mut PublishedSet) -> T,
    ) -> Option<T> {
        let mut sets = lock(&self.sets);
        sets.iter_mut().find(|(known, _)| *known == prefix).map(|(_, set)| apply(set))
    }

    /// Queues the last change that another instance knows of a set, if this instance doesn't.
    fn record_peer_change(&self, known: &wire::KnownSet) {
        let own = self.with_set(&known.prefix, |set| set.last_change());
        if own.is_some_and(|own| own < known.last_change) {
            self.queue_announced_revision(&known.prefix, known.last_change);
        }
    }

    /// Queues a revision that another instance had before this one read it from the store.
    pub fn queue_announced_revision(&self, prefix: &str, revision: u64) {
        let channel = self.announced_revisions.iter().find(|(known, ..)| *known == prefix);
        // A full channel already holds a revision to process.
        let _ = channel.map(|(_, sender, _)| sender.try_send(revision));
    }

    /// Returns the announced revision once one is above `revision`.
    pub async fn wait_for_announcement_above(&self, prefix: &str, revision: u64) -> u64 {
        let channel = self.announced_revisions.iter().find(|(known, ..)| *known == prefix);
        while let Some((_, _, receiver)) = channel {
            match receiver.recv().await {
                Ok(announced) if announced > revision => return announced,
                Ok(_) => {}
                Err(_) => break,
            }
        }
        std::future::pending().await
    }

    pub fn known_sets(&self) -> Vec<wire::KnownSet> {
        let to_wire = |(prefix, set): &(&'static str, PublishedSet)| wire::KnownSet {
            prefix: (*prefix).to_owned(),
            revision: set.revision(),
            last_change: set.last_change(),
        };
        lock(&self.sets).iter().map(to_wire).collect()
    }

    fn items_newer_than(&self, known: &wire::KnownSet) -> Option<wire::ItemSet> {
        self.with_set(&known.prefix, |set| {
            let to_wire = |item: PublishedItem| wire::Item {
                key: item.key,
                revision: item.revision,
                value: item.value,
            };
            (set.revision() > known.revision).then(|| wire::ItemSet {
                prefix: known.prefix.clone(),
                revision: set.revision(),
                items: set.changes_since(known.revision).into_iter().map(to_wire).collect(),
            })
        })
        .flatten()
    }
}

struct RelayService {
    shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Relay for RelayService {
    async fn exchange(
        &self,
        request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        let message = request.into_inner();
        let relay = &self.shared.relay;
        let own = relay_members::list_members(&self.shared);
        let is_same = message.members_hash == own.identity_hash();
        let is_told = is_same || (message.members_hash > 0 && !message.members.is_empty());
        let notices_hash = loss_notices::hash(&self.shared);
        let is_hash_known = message.notices_hash == notices_hash;
        let reply = ExchangeReply {
            members: if is_told { Vec::new() } else { relay_members::members_to_wire(&own) },
            ages_ms: if is_same { relay_members::ages_to_wire(&own) } else { Vec::new() },
            newer: message.known.iter().filter_map(|known| relay.items_newer_than(known)).collect(),
            leaving: list_leaving(&self.shared),
            limits: relay_limits::list_limits(&self.shared),
            notices_hash,
            notices: if is_hash_known { None } else { loss_notices::list_after(&self.shared, 0) },
            speeds: relay_speeds::list_speeds(&self.shared),
        };
        relay_speeds::merge_speeds(&self.shared, message.speeds.as_ref());
        loss_notices::merge_exchanged(&self.shared, message.notices);
        merge_leaving(&self.shared, &message.leaving);
        relay_limits::merge_limits(&self.shared, &message.limits);
        message.known.iter().for_each(|known| relay.record_peer_change(known));
        relay_members::merge_members(&self.shared, message.sender.iter().chain(&message.members));
        if is_same && !message.ages_ms.is_empty() {
            relay_members::merge_ages(&self.shared, &own, &message.ages_ms);
        }
        Ok(Response::new(reply))
    }

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<FollowReply>, Status> {
        let message = request.into_inner();
        relay_limits::merge_limits(&self.shared, &message.limits);
        let relay = &self.shared.relay;
        let end_ms = clock::now_ms() + Millis(message.wait_ms).min(MAX_FOLLOW_WAIT_MS);
        let notices_epoch = self.shared.loss_notices.epoch;
        let is_same_epoch = message.notices_epoch == notices_epoch;
        let notices_after = if is_same_epoch { message.notices_after } else { 0 };
        loop {
            let change = relay.change.next_change();
            let newer: Vec<_> =
                message.known.iter().filter_map(|known| relay.items_newer_than(known)).collect();
            let is_store_lost = self.shared.is_store_lost();
            // Waiting here for what this instance waits for elsewhere would add the delays up.
            let is_following = self.shared.follow_state.is_following();
            let remaining_ms = end_ms.saturating_sub(clock::now_ms());
            // Taken before the notices, so that none between the two is left out.
            let last_notice = self.shared.forwarder().quarantine().records().last_number();
            let notices = loss_notices::list_after(&self.shared, notices_after);
            let is_due =
                is_store_lost || is_following || notices.is_some() || remaining_ms == Millis::ZERO;
            if !newer.is_empty() || is_due {
                return Ok(Response::new(FollowReply {
                    newer,
                    is_store_lost,
                    leaving: list_leaving(&self.shared),
                    limits: relay_limits::list_limits(&self.shared),
                    is_following,
                    notices,
                    notices_epoch,
                    last_notice,
                }));
            }
            let timeout = Duration::from_millis(remaining_ms.0);
            let _ = async_std::future::timeout(timeout, change.recv()).await;
        }
    }

    async fn notify_parts(
        &self,
        request: Request<LossNotices>,
    ) -> Result<Response<NotifyReply>, Status> {
        loss_notices::merge(&self.shared, Some(request.into_inner()));
        Ok(Response::new(NotifyReply {}))
    }

    async fn notify_streams(
        &self,
        request: Request<BegunStreams>,
    ) -> Result<Response<NotifyReply>, Status> {
        stream_versions::record_told(&self.shared, request.get_ref());
        Ok(Response::new(NotifyReply {}))
    }

    async fn find_stream(
        &self,
        request: Request<FindStreamRequest>,
    ) -> Result<Response<FindStreamReply>, Status> {
        Ok(Response::new(stream_versions::reply(&self.shared, request.get_ref())))
    }
}

fn list_leaving(shared: &Shared) -> Vec<wire::LeavingRun> {
    let to_wire = |run: &ServerRun| wire::LeavingRun {
        server: run.server.to_string(),
        started_ms: run.started_ms.0,
    };
    shared.forwarder().leaving_runs().iter().map(to_wire).collect()
}

pub fn merge_leaving(shared: &Shared, leaving: &[wire::LeavingRun]) {
    for run in leaving {
        let Ok(server) = run.server.parse() else {
            spdlog::warn!("event=leaving_run_malformed server={:?}", run.server);
            continue;
        };
        let run = ServerRun { server, started_ms: WallMillis(run.started_ms) };
        server_notices::record_told_leaving(shared, &run);
    }
}

/// Listens for other instances.
pub async fn listen(shared: &Arc<Shared>) -> Result<(), StartError> {
    let address = shared.settings().peer_address;
    let bound = std::net::TcpListener::bind(address);
    bound.map_err(|source| StartError::Listen { address, source })?;
    let service = RelayServer::new(RelayService { shared: Arc::clone(shared) })
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    task::spawn(async move {
        let serving = Server::builder().add_service(service).serve(address);
        if let Err(error) = serving.await {
            spdlog::error!(
                "event=relay_edge_error address={address} error={:?}",
                error.to_string()
            );
            std::process::exit(1);
        }
    });
    Ok(())
}

/// Exchanges with other instances in an endless loop.
pub async fn run(shared: Arc<Shared>) {
    loop {
        let has_exchanged = shared.relay.has_exchanged();
        let interval = match (has_exchanged, shared.is_store_lost()) {
            (false, _) => INITIAL_INTERVAL,
            (true, true) => STORE_LOST_INTERVAL,
            (true, false) => NORMAL_INTERVAL,
        };
        task::sleep(clock::spread(interval)).await;
        let Some(address) = choose_peer(&shared) else {
            continue;
        };
        match async_std::future::timeout(EXCHANGE_TIMEOUT, exchange(&shared, address)).await {
            Ok(Ok(())) => shared.relay.has_exchanged.store(true, Ordering::Relaxed),
            Ok(Err(status)) => {
                let problem = status.message();
                spdlog::debug!("event=exchange_failed peer={address} problem={problem:?}");
            }
            Err(_) => spdlog::debug!("event=exchange_failed peer={address} problem=timeout"),
        }
    }
}

/// Chooses a random member, or for one exchange in eight a seed, so that groups of members that
/// lost contact merge again.
fn choose_peer(shared: &Shared) -> Option<SocketAddr> {
    let settings = shared.settings();
    let is_other = |address: &&SocketAddr| **address != settings.peer_address;
    let seeds: Vec<_> = settings.seeds.iter().filter(is_other).collect();
    let member = shared.relay.members().pick_random(fastrand::u64(..));
    let seed = seeds.get(fastrand::usize(..seeds.len().max(1))).map(|address| **address);
    if fastrand::u8(..) < 32 { seed.or(member) } else { member.or(seed) }
}

/// A client with a new connection to another instance.
pub async fn connect(address: SocketAddr) -> Result<RelayClient<Channel>, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let endpoint = endpoint.connect_timeout(EXCHANGE_TIMEOUT).tcp_nodelay(true);
    let channel =
        endpoint.connect().await.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(RelayClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}

async fn exchange(shared: &Arc<Shared>, address: SocketAddr) -> Result<(), Status> {
    let mut client = connect(address).await?;
    let own = relay_members::list_members(shared);
    let request = ExchangeRequest {
        ages_ms: relay_members::ages_to_wire(&own),
        ..exchange_request(shared, &own)
    };
    let reply = client.exchange(Request::new(request)).await?.into_inner();
    let are_members_told = reply.members.is_empty();
    let peer_notices_hash = reply.notices_hash;
    apply_reply(shared, address, &own, reply);
    let are_notices_told = loss_notices::hash(shared) == peer_notices_hash;
    if are_members_told && are_notices_told {
        return Ok(());
    }
    let own = relay_members::list_members(shared);
    let (members, ages_ms) = match are_members_told {
        true => (Vec::new(), relay_members::ages_to_wire(&own)),
        false => (relay_members::members_to_wire(&own), Vec::new()),
    };
    let notices = if are_notices_told { None } else { loss_notices::list_after(shared, 0) };
    let request = ExchangeRequest { members, ages_ms, notices, ..exchange_request(shared, &own) };
    let reply = client.exchange(Request::new(request)).await?.into_inner();
    apply_reply(shared, address, &own, reply);
    Ok(())
}

/// A request without the members or their ages.
fn exchange_request(shared: &Shared, own: &MemberList) -> ExchangeRequest {
    ExchangeRequest {
        sender: Some(relay_members::own_to_wire(shared)),
        known: shared.relay.known_sets(),
        leaving: list_leaving(shared),
        limits: relay_limits::list_limits(shared),
        members_hash: own.identity_hash(),
        notices_hash: loss_notices::hash(shared),
        speeds: relay_speeds::list_speeds(shared),
        ..ExchangeRequest::default()
    }
}

fn apply_reply(shared: &Arc<Shared>, address: SocketAddr, own: &MemberList, reply: ExchangeReply) {
    relay_members::merge_members(shared, reply.members.iter());
    if !reply.ages_ms.is_empty() {
        relay_members::merge_ages(shared, own, &reply.ages_ms);
    }
    merge_leaving(shared, &reply.leaving);
    relay_limits::merge_limits(shared, &reply.limits);
    relay_speeds::merge_speeds(shared, reply.speeds.as_ref());
    loss_notices::merge_exchanged(shared, reply.notices);
    apply_newer(shared, address, reply.newer);
}

/// Applies the sets of which another instance knew a newer revision.
pub fn apply_newer(shared: &Arc<Shared>, address: SocketAddr, newer: Vec<wire::ItemSet>) {
    for set in newer {
        let to_item = |item: wire::Item| PublishedItem {
            key: item.key,
            revision: item.revision,
            value: item.value,
        };
        let items: Vec<_> = set.items.into_iter().map(to_item).collect();
        spdlog::info!(
            "event=relayed peer={address} prefix={} revision={} items={}",
            set.prefix,
            set.revision,
            items.len()
        );
        store_sync::apply_relayed(shared, &set.prefix, set.revision, items);
    }
}
