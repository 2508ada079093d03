//! One prefix of the store: read whole, then watched.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures_lite::FutureExt;
use turmericrail_core::forward::PublishedItem;
use turmericrail_core::units::Millis;
use turmericrail_platform::store;

use super::clock;
use super::shared::Shared;
use super::store_client::{StoreClient, StoreError};

/// Time for which the store holds a watch without changes.
const WATCH_MS: Millis = Millis(25_000);
/// Time for which the store holds the first watch after a loss: a connection that is dead without a
/// sign is found after it, within the time in which an instance has to catch up.
const FIRST_WATCH_MS: Millis = Millis(2_000);
/// Factor from one such watch to the next: each that is answered shows that the connection works.
const WATCH_GROWTH: u64 = 4;
/// Pause after a watch that told of changes, so that changes in quick succession cost one call;
/// well below the bounds on leaving servers and new configurations.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Time in addition for the answer of a watch to arrive.
const WATCH_MARGIN: Duration = Duration::from_millis(1_500);
/// Longest wait for the answer of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pauses after failed calls, doubling between these; each call is paid for, and what the store
/// has to say must arrive within a second or two of its return.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause.
const MAX_PAUSE: Duration = Duration::from_millis(800);

/// Time for which a watch may lag behind what other instances tell: some answer times of the store.
const OVERTAKEN_WAIT: Duration = Duration::from_millis(300);

/// What a prefix told.
pub enum Told {
    /// Every item of the prefix, as they stood at the revision or later.
    All(u64, Vec<PublishedItem>),
    /// Items that changed up to the revision.
    Changed(u64, Vec<PublishedItem>),
    /// Calls are not answered.
    Lost,
    /// Calls are answered again after some were not.
    Returned,
}

/// Reads and watches a prefix for ever, handing on what it tells.
pub async fn run(shared: Arc<Shared>, prefix: &'static str, take: impl Fn(Told)) {
    let mut client = StoreClient::default();
    let mut revision = None;
    let mut pause = FIRST_PAUSE;
    let mut lost_ms: Option<Millis> = None;
    let mut watch_ms = WATCH_MS;
    loop {
        let result = match revision {
            None => read_all(&shared, &mut client, prefix).await,
            Some(after) => {
                let watching = watch(&shared, &mut client, prefix, after, watch_ms);
                watch_ms = Millis(watch_ms.0 * WATCH_GROWTH).min(WATCH_MS);
                watching.or(overtaken(&shared, prefix, after)).await
            }
        };
        match result {
            Ok((at, told)) => {
                if let Some(since_ms) = lost_ms.take() {
                    let lost_for_ms = clock::now_ms().saturating_sub(since_ms);
                    spdlog::info!(
                        "event=store_regained prefix={prefix} revision={at} lost_for_ms={}",
                        lost_for_ms.0
                    );
                    take(Told::Returned);
                }
                pause = FIRST_PAUSE;
                revision = Some(at);
                take(told);
                task::sleep(CHANGE_PAUSE).await;
            }
            Err(StoreError::Status(store::HISTORY_GONE)) => {
                spdlog::info!("event=store_history_gone prefix={prefix}");
                revision = None;
            }
            Err(StoreError::Behind(told)) => {
                let revision_before = revision.unwrap_or_default();
                spdlog::warn!(
                    "event=watch_silent prefix={prefix} revision={revision_before} told={told}"
                );
                revision = None;
                watch_ms = FIRST_WATCH_MS;
            }
            Err(error) => {
                if lost_ms.is_none() {
                    lost_ms = Some(clock::now_ms());
                    spdlog::warn!(
                        "event=store_lost prefix={prefix} revision={} error={:?}",
                        revision.unwrap_or_default(),
                        error.to_string()
                    );
                    take(Told::Lost);
                }
                task::sleep(pause.mul_f64(0.5 + fastrand::f64() / 2.0)).await;
                pause = (pause * 2).min(MAX_PAUSE);
                // A watch may have been deaf to changes before it was cut, and one that goes on
                // from an old revision then waits for the next change.
                revision = None;
                watch_ms = FIRST_WATCH_MS;
            }
        }
    }
}

async fn read_all(
    shared: &Shared,
    client: &mut StoreClient,
    prefix: &str,
) -> Result<(u64, Told), StoreError> {
    let address = shared.settings().store_address;
    let mut items: Vec<PublishedItem> = Vec::new();
    let mut first_revision = None;
    loop {
        let last_key = items.last().map(|item| item.key.as_str());
        let target = store::list_target(prefix, last_key);
        shared.metrics.store_calls.with_label_values(&["list"]).inc();
        let page = store::decode_page(&client.get(address, &target, READ_TIMEOUT).await?)?;
        // Pages are no snapshot: what changed after the first one is told by the watch.
        let revision = *first_revision.get_or_insert(page.revision);
        let is_last = !page.has_more || page.items.is_empty();
        items.extend(page.items);
        if is_last {
            return Ok((revision, Told::All(revision, items)));
        }
    }
}

/// Ends with an error once another instance knows more and the watch still tells nothing: its
/// connection may be dead without a sign, as after a lost answer.
async fn overtaken(shared: &Shared, prefix: &str, after: u64) -> Result<(u64, Told), StoreError> {
    let told = shared.relay.told_above(prefix, after).await;
    task::sleep(OVERTAKEN_WAIT).await;
    Err(StoreError::Behind(told))
}

async fn watch(
    shared: &Shared,
    client: &mut StoreClient,
    prefix: &str,
    after: u64,
    wait_ms: Millis,
) -> Result<(u64, Told), StoreError> {
    let address = shared.settings().store_address;
    let target = store::watch_target(prefix, after, wait_ms);
    let timeout = Duration::from_millis(wait_ms.0) + WATCH_MARGIN;
    shared.metrics.store_calls.with_label_values(&["watch"]).inc();
    let changes = store::decode_changes(&client.get(address, &target, timeout).await?)?;
    let revision = changes.revision.max(after);
    Ok((revision, Told::Changed(revision, changes.items)))
}
