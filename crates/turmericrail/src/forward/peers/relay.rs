//! Answers other instances, and holds what they are told.
//!
//! A reply holds only items that the calling instance lacks. Whole sets, of which it knows no
//! revision, go only to instances that can't read the store, a few at a time: after a start of many
//! instances all of them would else ask the seeds for everything.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use prost::Message;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};
use turmericrail_core::forward::{
    ExchangePace, Members, PublishedSet, ToldMembers, TransferBudget,
};
use turmericrail_core::units::{Bytes, Millis};
use turmericrail_wire::relay::relay_client::RelayClient;
use turmericrail_wire::relay::relay_server::{Relay, RelayServer};
use turmericrail_wire::relay::{
    self as wire, BegunStreams, ExchangeReply, ExchangeRequest, FetchUsageReply, FetchUsageRequest,
    FindStreamReply, FindStreamRequest, FollowReply, FollowRequest, LossNotices, NotifyReply,
    ReserveUsageReply, ReserveUsageRequest,
};

use super::deflated_values::DeflatedValues;
use super::loss_notices;
use super::peer_listener;
use super::relay_leaving;
use super::relay_limits;
use super::relay_members;
use super::relay_speeds;
use super::run_notices;
use super::stream_versions;
use super::usage;
use super::usage_calls;
use crate::error::StartError;
use crate::forward::clock;
use crate::forward::shared::Shared;
use crate::forward::store::change_signal::ChangeSignal;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Largest message: a megabyte for the configuration, and room for the servers.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// Longest time for which a call of a following instance waits for changes.
const MAX_FOLLOW_WAIT_MS: Millis = Millis(5_000);

/// Followers whose calls wait here at once. In a settled fleet there are eight; more come while the
/// members' lists differ, and from earlier releases.
const MAX_FOLLOWERS: usize = 64;

/// Announced revisions that can wait to be processed.
const MAX_PENDING_ANNOUNCEMENTS: usize = 16;

/// The state that is exchanged with other instances.
pub struct RelayState {
    members: Mutex<Members>,
    sets: Mutex<Vec<(&'static str, PublishedSet)>>,
    pace: Mutex<ExchangePace>,
    /// Whether the last exchange was with an instance that knew the same members.
    pub is_settled: AtomicBool,
    told_member_count: AtomicUsize,
    /// Whether the last reading of the store by this instance failed.
    pub has_read_failed: AtomicBool,
    /// A number that spreads the first calls of instances over the seeds.
    pub own_number: usize,
    told_members: Mutex<ToldMembers>,
    whole_sets: Mutex<TransferBudget>,
    deflated_values: DeflatedValues,
    waiting_followers: AtomicUsize,
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
            pace: Mutex::default(),
            is_settled: AtomicBool::new(false),
            told_member_count: AtomicUsize::new(0),
            has_read_failed: AtomicBool::new(false),
            own_number: fastrand::usize(..1 << 16),
            told_members: Mutex::default(),
            whole_sets: Mutex::default(),
            deflated_values: DeflatedValues::default(),
            waiting_followers: AtomicUsize::new(0),
            change: ChangeSignal::default(),
            announced_revisions,
        }
    }

    /// Whether another instance has told this one which instances there are.
    pub fn has_exchanged(&self) -> bool {
        self.pace().has_exchanged()
    }

    /// Whether this instance reads the store itself, or has not failed to yet.
    pub fn is_reading_store(&self) -> bool {
        !self.has_read_failed.load(Ordering::Relaxed)
    }

    /// When this instance exchanges members.
    pub fn pace(&self) -> MutexGuard<'_, ExchangePace> {
        lock(&self.pace)
    }

    /// Number of instances, which an instance that has just started is told before it knows them.
    pub fn instance_count(&self) -> usize {
        self.members().count().max(self.told_member_count())
    }

    /// Members that the instance knew that was asked last.
    pub fn told_member_count(&self) -> usize {
        self.told_member_count.load(Ordering::Relaxed)
    }

    pub fn record_told_member_count(&self, count: u32) {
        self.told_member_count.store(count as usize, Ordering::Relaxed);
    }

    /// How many members this instance may tell others.
    pub fn told_members(&self) -> MutexGuard<'_, ToldMembers> {
        lock(&self.told_members)
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

    fn items_newer_than(
        &self,
        known: &wire::KnownSet,
        is_reading_store: bool,
        accepts_deflated: bool,
    ) -> Option<wire::ItemSet> {
        let is_whole = known.revision == 0;
        if is_whole && is_reading_store {
            return None;
        }
        let newer = self.with_set(&known.prefix, |set| {
            let to_wire = |item| self.deflated_values.encode(item, accepts_deflated);
            (set.revision() > known.revision).then(|| wire::ItemSet {
                prefix: known.prefix.clone(),
                revision: set.revision(),
                items: set.changes_since(known.revision).into_iter().map(to_wire).collect(),
            })
        });
        newer.flatten().filter(|set| !is_whole || self.may_send_whole(set))
    }

    fn may_send_whole(&self, set: &wire::ItemSet) -> bool {
        let bytes = Bytes(set.encoded_len() as u64);
        lock(&self.whole_sets).try_take(clock::now_ms(), bytes)
    }

    /// Counts a call that waits for changes, until the guard is dropped.
    fn count_follower(&self) -> FollowerGuard<'_> {
        self.waiting_followers.fetch_add(1, Ordering::Relaxed);
        FollowerGuard(&self.waiting_followers)
    }
}

struct FollowerGuard<'a>(&'a AtomicUsize);

impl Drop for FollowerGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct RelayService {
    shared: Arc<Shared>,
}

impl RelayService {
    /// Whether an instance of a level may follow this one. If this one follows others itself, only
    /// those of later levels may: instances that follow each other would learn nothing.
    fn takes_follower(&self, level: u32) -> bool {
        let relay = &self.shared.relay;
        let is_above = || {
            let data_centre = &self.shared.settings().data_centre;
            relay.members().follow_plan(data_centre).level < level
        };
        let followers = relay.waiting_followers.load(Ordering::Relaxed);
        followers <= MAX_FOLLOWERS && (!self.shared.follow_state.is_following() || is_above())
    }
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
        let notices_hash = loss_notices::hash(&self.shared);
        let is_hash_known = message.notices_hash == notices_hash;
        let (is_reading, accepts_deflated) = (message.is_reading_store, message.accepts_deflated);
        let newer =
            |known: &wire::KnownSet| relay.items_newer_than(known, is_reading, accepts_deflated);
        let reply = ExchangeReply {
            newer: message.known.iter().filter_map(newer).collect(),
            leaving: relay_leaving::list_leaving(&self.shared),
            limits: relay_limits::list_limits(&self.shared),
            notices_hash,
            notices: if is_hash_known { None } else { loss_notices::list_after(&self.shared, 0) },
            speeds: relay_speeds::list_speeds(&self.shared),
            ..relay_members::reply_members(&self.shared, &own, &message, is_same)
        };
        relay_speeds::merge_speeds(&self.shared, message.speeds.as_ref());
        loss_notices::merge_exchanged(&self.shared, message.notices);
        relay_leaving::merge_leaving(&self.shared, &message.leaving);
        relay_limits::merge_limits(&self.shared, &message.limits);
        message.known.iter().for_each(|known| relay.record_peer_change(known));
        usage::record_contact(&self.shared, message.sender.as_ref());
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
        let _follower_guard = relay.count_follower();
        let (is_reading, accepts_deflated) = (message.is_reading_store, message.accepts_deflated);
        let newer =
            |known: &wire::KnownSet| relay.items_newer_than(known, is_reading, accepts_deflated);
        loop {
            let change = relay.change.next_change();
            let newer: Vec<_> = message.known.iter().filter_map(newer).collect();
            let is_store_lost = self.shared.is_store_lost();
            let is_following = !self.takes_follower(message.level);
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
                    leaving: relay_leaving::list_leaving(&self.shared),
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
        run_notices::record_told_runs(&self.shared, request.get_ref());
        Ok(Response::new(NotifyReply {}))
    }

    async fn find_stream(
        &self,
        request: Request<FindStreamRequest>,
    ) -> Result<Response<FindStreamReply>, Status> {
        Ok(Response::new(stream_versions::reply(&self.shared, request.get_ref())))
    }

    async fn reserve_usage(
        &self,
        request: Request<ReserveUsageRequest>,
    ) -> Result<Response<ReserveUsageReply>, Status> {
        Ok(Response::new(usage_calls::answer(&self.shared, request.into_inner()).await?))
    }

    async fn fetch_usage(
        &self,
        request: Request<FetchUsageRequest>,
    ) -> Result<Response<FetchUsageReply>, Status> {
        Ok(Response::new(usage_calls::answer_fetch(&self.shared, request.get_ref())?))
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
        let serving = peer_listener::serve(address, Server::builder().add_service(service)).await;
        if let Err(error) = serving {
            spdlog::error!(
                "event=relay_edge_error address={address} error={:?}",
                error.to_string()
            );
            std::process::exit(1);
        }
    });
    Ok(())
}

/// A client with a new connection to another instance.
pub async fn connect(address: SocketAddr) -> Result<RelayClient<Channel>, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::invalid_argument(error.to_string()))?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
    let channel =
        endpoint.connect().await.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(RelayClient::new(channel)
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES))
}
