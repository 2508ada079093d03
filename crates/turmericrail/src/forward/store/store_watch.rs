//! Reads all items of one prefix of the store, then watches it for changes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::task;
use futures_lite::FutureExt;
use turmericrail_core::forward::PublishedItem;
use turmericrail_core::units::Millis;
use turmericrail_platform::store;

use super::store_client::{StoreClient, StoreError};
use crate::forward::clock;
use crate::forward::peers::relay_members;
use crate::forward::shared::Shared;

/// Time for which the store holds a watch without changes.
const WATCH_MS: Millis = Millis(25_000);
/// Watch time of the first watch after the store or a watch failed, and of the first of the watching
/// instances. A connection that is dead without an error is found after this time, soon enough for
/// the instances to catch up.
const SHORT_WATCH_MS: Millis = Millis(2_000);
/// Factor by which the time of the next watches grows, since each answered one shows that the
/// connection works.
const WATCH_GROWTH_FACTOR: u64 = 4;
/// Time between an answer and the next call, so that changes in quick succession cost one call. It
/// is well below the time within which leaving servers and new configurations must be noticed.
const WATCH_INTERVAL: Duration = Duration::from_millis(400);
/// Time allowed beyond the watch time for the answer to arrive.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// First delay after a failed call; later ones double. Each call to the store is paid for, but
/// changes must be read within a second or two after it answers again.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Time for which a watch may lag behind a revision that another instance announced: a few response
/// times of the store.
const MAX_WATCH_LAG: Duration = Duration::from_millis(300);

/// Longest time for which an instance that has just started waits to hear which ones watch the store
/// for it, before it watches itself. After a start of many instances few watches begin this way.
const MAX_MEMBERS_WAIT: Duration = Duration::from_millis(2_000);
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// An event of one prefix.
pub enum StoreEvent {
    /// All items of the prefix, as of the revision or later.
    Listed(u64, Vec<PublishedItem>),
    /// Items that changed, up to the revision.
    Changed(u64, Vec<PublishedItem>),
    /// The store stopped answering.
    Lost,
    /// The store answers again.
    Regained,
}

/// Reads and watches a prefix in an endless loop and passes its events to `handle`.
pub async fn run(shared: Arc<Shared>, prefix: &'static str, handle: impl Fn(StoreEvent)) {
    let mut client = StoreClient::default();
    let mut revision = None;
    let mut retry_delay = MIN_RETRY_DELAY;
    let mut lost_since_ms: Option<Millis> = None;
    let mut watch_ms = WATCH_MS;
    loop {
        if shared.follow_state.is_following() && known_revision(&shared, prefix) > 0 {
            shared.follow_state.wait_until(false).await;
            revision = Some(known_revision(&shared, prefix));
            lost_since_ms = None;
            retry_delay = MIN_RETRY_DELAY;
            watch_ms = SHORT_WATCH_MS;
        }
        let result = match revision {
            None => Some(read_all(&shared, &mut client, prefix).await),
            Some(after) => {
                let wait_ms = watch_ms.min(max_watch_ms(&shared));
                let watching = watch(&shared, &mut client, prefix, after, wait_ms);
                watch_ms = Millis(watch_ms.0 * WATCH_GROWTH_FACTOR).min(WATCH_MS);
                let watching = watching.or(wait_until_behind(&shared, prefix, after));
                let following = async {
                    shared.follow_state.wait_until(true).await;
                    None
                };
                async { Some(watching.await) }.or(following).await
            }
        };
        // A watch that was given up because another instance is followed.
        let Some(result) = result else {
            continue;
        };
        match result {
            Ok((at, event)) => {
                if let Some(since_ms) = lost_since_ms.take() {
                    let lost_for_ms = clock::now_ms().saturating_sub(since_ms);
                    spdlog::info!(
                        "event=store_regained prefix={prefix} revision={at} lost_for_ms={}",
                        lost_for_ms.0
                    );
                    handle(StoreEvent::Regained);
                }
                retry_delay = MIN_RETRY_DELAY;
                shared.relay.has_read_failed.store(false, Ordering::Relaxed);
                let is_first = revision.is_none();
                revision = Some(at);
                handle(event);
                task::sleep(WATCH_INTERVAL).await;
                if is_first {
                    wait_for_members(&shared).await;
                }
            }
            Err(StoreError::Status(store::HISTORY_GONE_STATUS)) => {
                spdlog::info!("event=store_history_gone prefix={prefix}");
                revision = None;
            }
            Err(StoreError::Restored(era)) => {
                spdlog::warn!(
                    "event=store_restored prefix={prefix} era={era} revision={}",
                    revision.unwrap_or_default()
                );
                revision = None;
                watch_ms = SHORT_WATCH_MS;
            }
            Err(StoreError::Behind(announced)) => {
                let revision_before = revision.unwrap_or_default();
                spdlog::warn!(
                    "event=watch_silent prefix={prefix} revision={revision_before} told={announced}"
                );
                revision = None;
                watch_ms = SHORT_WATCH_MS;
            }
            Err(error) => {
                shared.relay.has_read_failed.store(true, Ordering::Relaxed);
                if lost_since_ms.is_none() {
                    lost_since_ms = Some(clock::now_ms());
                    spdlog::warn!(
                        "event=store_lost prefix={prefix} revision={} error={:?}",
                        revision.unwrap_or_default(),
                        error.to_string()
                    );
                    handle(StoreEvent::Lost);
                }
                task::sleep(retry_delay.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                // The watch may have missed changes before it failed, and one that continues from
                // an old revision would only return at the next change.
                revision = None;
                watch_ms = SHORT_WATCH_MS;
            }
        }
    }
}

/// Waits for the first exchange of members, if there are others to exchange with.
async fn wait_for_members(shared: &Shared) {
    let settings = shared.settings();
    let has_seeds = settings.seeds.iter().any(|seed| *seed != settings.peer_address);
    let begin = Instant::now();
    while has_seeds && !shared.relay.has_exchanged() && begin.elapsed() < MAX_MEMBERS_WAIT {
        task::sleep(MEMBERS_POLL_INTERVAL).await;
    }
}

/// Longest time of a watch. The first of the watching instances renews its own often: where the
/// watches of all are dead without an error, it learns of changes and tells the others.
fn max_watch_ms(shared: &Shared) -> Millis {
    if relay_members::is_first_watcher(shared) { SHORT_WATCH_MS } else { WATCH_MS }
}

async fn read_all(
    shared: &Shared,
    client: &mut StoreClient,
    prefix: &str,
) -> Result<(u64, StoreEvent), StoreError> {
    let mut items: Vec<PublishedItem> = Vec::new();
    let mut first_revision = None;
    let known_era = store::era_of(known_revision(shared, prefix));
    loop {
        let last_key = items.last().map(|item| item.key.as_str());
        let target = store::list_target(prefix, last_key);
        shared.metrics.store_calls.with_label_values(&["list"]).inc();
        let answer = client.get(shared, &target, READ_TIMEOUT).await?;
        let era = answer.era.unwrap_or(known_era);
        if era < known_era {
            return Err(StoreError::EarlierEra(era));
        }
        let page = store::decode_page(era, &answer.body)?;
        if first_revision.is_some_and(|revision| store::era_of(revision) != era) {
            return Err(StoreError::Restored(era));
        }
        // Pages aren't a snapshot; the watch returns what changed after the first one.
        let revision = *first_revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((revision, StoreEvent::Listed(revision, items)));
        }
    }
}

/// The revision up to which this instance knows the items of the prefix; zero if it knows none.
pub fn known_revision(shared: &Shared, prefix: &str) -> u64 {
    shared.relay.with_set(prefix, |set| set.revision()).unwrap_or_default()
}

/// Fails once another instance knows a higher revision and the watch still returns nothing: its
/// connection may be dead without an error, for instance after a lost answer.
async fn wait_until_behind(
    shared: &Shared,
    prefix: &str,
    after: u64,
) -> Result<(u64, StoreEvent), StoreError> {
    let announced = shared.relay.wait_for_announcement_above(prefix, after).await;
    task::sleep(MAX_WATCH_LAG).await;
    Err(StoreError::Behind(announced))
}

async fn watch(
    shared: &Shared,
    client: &mut StoreClient,
    prefix: &str,
    after: u64,
    wait_ms: Millis,
) -> Result<(u64, StoreEvent), StoreError> {
    let target = store::watch_target(prefix, after, wait_ms);
    let timeout = Duration::from_millis(wait_ms.0) + WATCH_TIMEOUT_MARGIN;
    shared.metrics.store_calls.with_label_values(&["watch"]).inc();
    let answer = client.get(shared, &target, timeout).await?;
    let known_era = store::era_of(after);
    let era = answer.era.unwrap_or(known_era);
    if era != known_era {
        return Err(StoreError::Restored(era));
    }
    let changes = store::decode_changes(era, &answer.body)?;
    let revision = changes.revision.max(after);
    Ok((revision, StoreEvent::Changed(revision, changes.items)))
}
