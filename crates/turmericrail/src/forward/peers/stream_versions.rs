//! Keeps streams at the software version that began them.
//!
//! The version of a stream is told to a few instances, chosen by the request, when the stream is
//! sent to its engine, unless all engines have had one version for longer than any stream lasts. An
//! instance at which a caller takes a stream up asks them. After a start of all instances, what
//! engines reported of their runs takes its place (`run_search`). Where nobody knows the version,
//! the stream is refused: it may only go on where it began.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use async_channel::Receiver;
use async_std::task;
use tonic::transport::Channel;
use tonic::{Request, Status};
use turmericrail_core::error_kind::ErrorKind;
use turmericrail_core::forward::{
    ChosenServer, RouteKind, SoftwareVersion, StreamKey, StreamVersion, VersionHistory, Watcher,
};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::request::RequestFingerprint;
use turmericrail_core::units::Millis;
use turmericrail_wire::relay as wire;
use turmericrail_wire::relay::relay_client::RelayClient;

use super::relay;
use super::run_notices;
use super::run_search;
use crate::forward::callers::dispatch::Refusal;
use crate::forward::calls::begun_version::BegunVersion;
use crate::forward::calls::call_context::CallContext;
use crate::forward::clock;
use crate::forward::shared::Shared;

/// Time in which streams are collected before they are told.
const COLLECT_TIME: Duration = Duration::from_millis(40);
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(400);
const MAX_NOTIFY_ATTEMPTS: usize = 2;
/// Longest wait for an instance that may know a stream.
const FIND_TIMEOUT: Duration = Duration::from_millis(200);
/// Connections to other instances that are kept. In a large fleet the keepers of all groups are half
/// of the instances, and each connection takes some 30 kB at both ends.
const MAX_CLIENTS: usize = 24;
/// Groups of streams that have the same keepers, which bounds the connections to them.
const GROUPS: u128 = 32;

/// A version to which a stream was sent, and the number of that attempt.
type Attempt = (SoftwareVersion, u32);

/// Streams that are still to be told, and connections to instances that keep them.
#[derive(Default)]
pub struct StreamVersionState {
    unsent: Mutex<Vec<StreamVersion>>,
    /// With the time of their last use.
    clients: Mutex<BTreeMap<SocketAddr, (RelayClient<Channel>, Millis)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| std::process::abort())
}

/// The version at which a taken-up stream has to go on; `None` if the call begins one.
pub async fn find_begun(context: &CallContext<'_>) -> Result<Option<SoftwareVersion>, Refusal> {
    let metadata = &context.request.metadata;
    let is_stream = matches!(context.route.kind, RouteKind::Stream { .. });
    if !is_stream || metadata.last_event_id.as_deref().is_none_or(str::is_empty) {
        return Ok(None);
    }
    let stream = metadata.resumed_attempt.as_deref().filter(|id| !id.is_empty());
    let stream = stream.map(StreamKey::of_attempt);
    let is_own =
        stream.is_some_and(|stream| context.shared.forwarder().stream_versions().is_own(stream));
    let found = match find_here(context.shared, stream, context.fingerprint) {
        Some((version, _)) if is_own => Some((version, "own")),
        told => find_elsewhere(context, stream, told).await,
    };
    let (version, source) = found.unzip();
    spdlog::info!(
        "event=stream_taken_up request={} resumes={} version={} source={}",
        context.request_id,
        if stream.is_some() { "stated" } else { "none" },
        version.as_ref().map_or("none", SoftwareVersion::as_str),
        source.unwrap_or("none")
    );
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(ErrorKind::VersionUnavailable.into()),
    }
}

fn find_here(
    shared: &Shared,
    stream: Option<StreamKey>,
    request: RequestFingerprint,
) -> Option<Attempt> {
    let mut forwarder = shared.forwarder();
    let streams = forwarder.stream_versions();
    match stream {
        Some(stream) => streams.last_attempt(stream).map(|it| (it.version.clone(), it.attempt)),
        None => streams.of_request(request).map(|version| (version.clone(), 0)),
    }
}

/// The version of the last attempt that is known; `None` if two that are as late differ.
fn last_version(attempts: &[Attempt]) -> Option<&SoftwareVersion> {
    let last = attempts.iter().map(|(_, attempt)| *attempt).max()?;
    let mut versions = attempts.iter().filter(|(_, attempt)| *attempt == last).map(|(it, _)| it);
    let version = versions.next()?;
    versions.all(|other| other == version).then_some(version)
}

/// The instances that may know a stream that is taken up here.
fn possible_keepers(context: &CallContext, stream: Option<StreamKey>) -> Vec<SocketAddr> {
    let shared = context.shared;
    let mut keepers = keepers(shared, context.fingerprint);
    let is_new = clock::now_ms() < shared.started_ms + run_search::SEARCH_PERIOD_MS;
    if let Some(stream) = stream.filter(|_| is_new) {
        keepers.extend(run_notices::run_keepers(shared, stream));
        keepers.sort();
        keepers.dedup();
    }
    keepers
}

/// Asks the instances that keep the stream: any of them, and this one, may have been out of reach when
/// a later attempt was told. If none knows it, all streams may have begun at one version, which this
/// instance and one other must have seen.
async fn find_elsewhere(
    context: &CallContext<'_>,
    stream: Option<StreamKey>,
    told: Option<Attempt>,
) -> Option<(SoftwareVersion, &'static str)> {
    let shared = context.shared;
    let keepers = possible_keepers(context, stream);
    let request = wire::FindStreamRequest {
        stream: stream.map(|stream| stream.0.to_le_bytes().to_vec()).unwrap_or_default(),
        request: context.fingerprint.0.to_le_bytes().to_vec(),
        service: context.service.to_string(),
    };
    let replies = ask_all(shared, &keepers, &request);
    let now_ms = clock::now_ms();
    let mut history = shared.forwarder().version_history(now_ms, context.service);
    let mut has_reply = keepers.is_empty();
    let mut attempts: Vec<_> = told.into_iter().collect();
    let mut is_store_lost = shared.is_store_lost();
    let mut runs = run_notices::RunEvidence::here(shared, stream);
    while let Ok(reply) = replies.recv().await {
        let Ok(reply) = reply else {
            continue;
        };
        let version = reply.version.as_deref().and_then(|text| text.parse().ok());
        attempts.extend(version.map(|version| (version, reply.attempt)));
        has_reply = true;
        runs.add(now_ms, reply.run.as_ref());
        is_store_lost |= reply.is_store_lost;
        history.merge(&to_history(now_ms, &reply));
    }
    if !attempts.is_empty() {
        let version = last_version(&attempts).filter(|_| has_reply).cloned();
        return version.map(|version| (version, "told"));
    }
    if let Some(version) = runs.version(shared) {
        return Some((version, "run"));
    }
    let window_ms = shared.forwarder().version_window_ms();
    let only_version = history.only_version(now_ms, window_ms).cloned();
    let is_certain = has_reply && !is_store_lost;
    only_version.filter(|_| is_certain).map(|version| (version, "only_version"))
}

/// Asks instances at the same time; the channel ends with the last reply.
fn ask_all(
    shared: &Arc<Shared>,
    keepers: &[SocketAddr],
    request: &wire::FindStreamRequest,
) -> Receiver<Result<wire::FindStreamReply, Status>> {
    let (sender, replies) = async_channel::bounded(keepers.len().max(1));
    for address in keepers {
        let (shared, address) = (Arc::clone(shared), *address);
        let (sender, request) = (sender.clone(), request.clone());
        task::spawn(async move {
            let asking = async_std::future::timeout(FIND_TIMEOUT, ask(&shared, address, request));
            let reply = asking.await.unwrap_or_else(|_| Err(Status::deadline_exceeded("no reply")));
            // The caller may have got its answer from another one.
            let _ = sender.send(reply).await;
        });
    }
    replies
}

fn to_history(now_ms: Millis, reply: &wire::FindStreamReply) -> VersionHistory {
    let at = |age_ms| now_ms.saturating_sub(Millis(age_ms));
    let mut history = VersionHistory::new(at(reply.known_for_ms));
    for seen in &reply.seen {
        match seen.version.parse() {
            Ok(version) => history.record(at(seen.age_ms), Some(&version)),
            // A version that can't be read is one more than those known.
            Err(_) => history.record(at(seen.age_ms), None),
        }
    }
    if let Some(age_ms) = reply.unstated_age_ms {
        history.record(at(age_ms), None);
    }
    history
}

/// Records that a call is sent to an engine, and tells others if that may begin a stream. Returns what
/// was known of the version before.
pub fn record_sent(context: &CallContext<'_>, choice: &ChosenServer, attempt: u32) -> BegunVersion {
    let before = context.begun_version();
    let is_stream = matches!(context.route.kind, RouteKind::Stream { .. });
    let version = choice.version.clone().filter(|_| is_stream);
    let (false, Some(version)) = (matches!(before, BegunVersion::At(_)), version) else {
        return before;
    };
    context.record_sent_to(&version);
    let (shared, sent_ms) = (context.shared, clock::now_ms());
    let stream = StreamVersion {
        stream: StreamKey::of_attempt(context.request_id),
        request: context.fingerprint,
        version,
        attempt,
        sent_ms,
    };
    let is_single = {
        let mut forwarder = shared.forwarder();
        forwarder.stream_versions().record(stream.clone());
        forwarder.only_version(sent_ms, context.service).is_some()
    };
    if !is_single || shared.is_store_lost() {
        tell(shared, vec![stream]);
    }
    before
}

/// Tells the streams that this instance has begun, once there is more than one version, or others
/// may come unseen.
pub fn tell_recent(shared: &Arc<Shared>) {
    let now_ms = clock::now_ms();
    let recent = {
        let mut forwarder = shared.forwarder();
        let window_ms = forwarder.version_window_ms();
        forwarder.stream_versions().recent(now_ms, window_ms)
    };
    tell(shared, recent);
}

fn tell(shared: &Arc<Shared>, streams: Vec<StreamVersion>) {
    let mut unsent = lock(&shared.stream_versions.unsent);
    let is_first = unsent.is_empty();
    unsent.extend(streams);
    if !is_first || unsent.is_empty() {
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        task::sleep(COLLECT_TIME).await;
        send_unsent(&shared);
    });
}

fn send_unsent(shared: &Arc<Shared>) {
    let streams = std::mem::take(&mut *lock(&shared.stream_versions.unsent));
    let now_ms = clock::now_ms();
    let mut by_keeper: BTreeMap<SocketAddr, wire::BegunStreams> = BTreeMap::new();
    for stream in streams {
        for keeper in keepers(shared, stream.request) {
            by_keeper.entry(keeper).or_default().streams.push(to_wire(now_ms, &stream));
        }
    }
    for (address, message) in by_keeper {
        task::spawn(notify_again(Arc::clone(shared), address, message));
    }
}

/// Tells an instance of streams; once more if it doesn't reply.
pub async fn notify_again(shared: Arc<Shared>, address: SocketAddr, message: wire::BegunStreams) {
    for _ in 0..MAX_NOTIFY_ATTEMPTS {
        let notifying = notify(&shared, address, message.clone());
        let notified = async_std::future::timeout(NOTIFY_TIMEOUT, notifying).await;
        let notified = notified.unwrap_or_else(|_| Err(Status::deadline_exceeded("no reply")));
        let Err(status) = notified else {
            return;
        };
        lock(&shared.stream_versions.clients).remove(&address);
        let problem = status.message();
        spdlog::debug!("event=notify_failed peer={address} problem={problem:?}");
    }
}

async fn notify(
    shared: &Shared,
    address: SocketAddr,
    message: wire::BegunStreams,
) -> Result<(), Status> {
    client(shared, address).await?.notify_streams(Request::new(message)).await.map(|_| ())
}

async fn ask(
    shared: &Shared,
    address: SocketAddr,
    request: wire::FindStreamRequest,
) -> Result<wire::FindStreamReply, Status> {
    let asked = client(shared, address).await?.find_stream(Request::new(request)).await;
    if asked.is_err() {
        lock(&shared.stream_versions.clients).remove(&address);
    }
    Ok(asked?.into_inner())
}

async fn client(shared: &Shared, address: SocketAddr) -> Result<RelayClient<Channel>, Status> {
    let now_ms = clock::now_ms();
    if let Some((client, used_ms)) = lock(&shared.stream_versions.clients).get_mut(&address) {
        *used_ms = now_ms;
        return Ok(client.clone());
    }
    let client = relay::connect(address).await?;
    let mut clients = lock(&shared.stream_versions.clients);
    clients.insert(address, (client.clone(), now_ms));
    if clients.len() > MAX_CLIENTS {
        let unused = clients.iter().min_by_key(|(_, (_, used_ms))| *used_ms);
        let unused = unused.map(|(address, _)| *address);
        unused.map(|address| clients.remove(&address));
    }
    Ok(client)
}

/// Addresses of the other instances that keep the streams of a request.
pub fn keepers(shared: &Shared, request: RequestFingerprint) -> Vec<SocketAddr> {
    let key = format!("streams-{}", request.0 % GROUPS);
    let keepers = shared.relay.members().keepers(&shared.settings().data_centre, &key);
    let address = |keeper: Watcher| match keeper {
        Watcher::Own => None,
        Watcher::Other(address) => Some(address),
    };
    keepers.into_iter().filter_map(address).collect()
}

fn to_wire(now_ms: Millis, stream: &StreamVersion) -> wire::BegunStream {
    let age_ms = now_ms.saturating_sub(stream.sent_ms).0;
    wire::BegunStream {
        stream: stream.stream.0.to_le_bytes().to_vec(),
        request: stream.request.0.to_le_bytes().to_vec(),
        version: stream.version.to_string(),
        attempt: stream.attempt,
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

fn to_number(bytes: &[u8]) -> Option<u128> {
    bytes.try_into().ok().map(u128::from_le_bytes)
}

/// Records streams that another instance has begun.
pub fn record_told(shared: &Shared, message: &wire::BegunStreams) {
    let now_ms = clock::now_ms();
    let to_stream = |stream: &wire::BegunStream| {
        Some(StreamVersion {
            stream: StreamKey(to_number(&stream.stream)?),
            request: RequestFingerprint(to_number(&stream.request)?),
            version: stream.version.parse().ok()?,
            attempt: stream.attempt,
            sent_ms: now_ms.saturating_sub(Millis(u64::from(stream.age_ms))),
        })
    };
    for stream in &message.streams {
        match to_stream(stream) {
            Some(stream) => shared.forwarder().stream_versions().record_told(stream),
            None => spdlog::warn!("event=stream_notice_malformed"),
        }
    }
}

/// Answers an instance at which a caller takes a stream up.
pub fn reply(shared: &Shared, request: &wire::FindStreamRequest) -> wire::FindStreamReply {
    let now_ms = clock::now_ms();
    let stream = to_number(&request.stream).map(StreamKey);
    let fingerprint = to_number(&request.request).map(RequestFingerprint);
    let found = fingerprint.and_then(|fingerprint| find_here(shared, stream, fingerprint));
    let mut reply = wire::FindStreamReply {
        attempt: found.as_ref().map(|(_, attempt)| *attempt).unwrap_or_default(),
        version: found.map(|(version, _)| version.to_string()),
        is_store_lost: shared.is_store_lost(),
        run: stream.and_then(|stream| run_notices::run_for_reply(shared, stream)),
        ..wire::FindStreamReply::default()
    };
    if let Ok(service) = request.service.parse::<ServiceId>() {
        let history = shared.forwarder().version_history(now_ms, &service);
        let age_ms = |at_ms: Millis| now_ms.saturating_sub(at_ms).0;
        reply.known_for_ms = age_ms(history.known_since_ms);
        reply.unstated_age_ms = history.unstated_seen_ms.map(age_ms);
        let seen = history.last_seen_ms.iter();
        let to_seen = |(version, at_ms): (&SoftwareVersion, &Millis)| wire::SeenVersion {
            version: version.to_string(),
            age_ms: age_ms(*at_ms),
        };
        reply.seen = seen.map(to_seen).collect();
    }
    reply
}
