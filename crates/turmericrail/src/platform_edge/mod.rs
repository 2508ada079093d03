//! Adapters for the platform's services, which are only read.

mod weight_store;

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::config::Change;
use turmericrail_core::event::Event;
use turmericrail_core::ids::ConfigVersion;
use turmericrail_wire::client::{Call, CallError};
use turmericrail_wire::platform::{ChangesAnswer, DocumentAnswer, InstancesAnswer};

use crate::daemon::Shared;

/// Longest wait for an answer.
const TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which the service holds a watch.
const WATCH_MS: u64 = 4_000;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Pause of an instance that is no watcher before it looks again.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Time between readings of the list by a watcher.
const LIST_PAUSE: Duration = Duration::from_millis(1_000);
/// Time between readings of the list by the others, who hear its news from watchers.
const RARE_LIST_PAUSE: Duration = Duration::from_millis(5_000);
/// Longest wait for the coordinator to take what was told.
const TAKE_LIMIT: Duration = Duration::from_millis(500);
/// Time between looks while waiting.
const TAKE_STEP: Duration = Duration::from_millis(5);

/// Starts reading the list of instances, then the configuration.
pub fn start(shared: &Arc<Shared>) {
    task::spawn(weight_store::read_rate(Arc::clone(shared)));
    let shared = Arc::clone(shared);
    task::spawn(async move {
        read_list(&shared).await;
        task::spawn(watch_list(Arc::clone(&shared)));
        watch_configuration(&shared).await;
    });
}

/// Reads the whole document once.
pub async fn fetch_document(shared: Arc<Shared>) {
    let _ = tell_document(&shared).await;
}

async fn tell_document(shared: &Shared) -> Result<ConfigVersion, CallError> {
    count_call(shared, "configuration");
    let call = Call::get(shared.settings.platform_address, "/configuration", TIMEOUT);
    let answer: DocumentAnswer = call.send_json().await?;
    shared.tell(Event::ConfigDocument(answer.version, answer.document));
    Ok(answer.version)
}

/// Watches while the coordinator counts this instance among the watchers.
async fn watch_configuration(shared: &Arc<Shared>) {
    loop {
        let after = shared.node().watch_config_after();
        let Some(after) = after else {
            task::sleep(IDLE_PAUSE).await;
            continue;
        };
        let result = match after.0 {
            0 => tell_document(shared).await,
            _ => tell_changes(shared, after).await,
        };
        shared.tell(Event::ConfigService { is_answered: result.is_ok() });
        match result {
            Ok(told) => wait_taken(shared, told).await,
            Err(error) => {
                spdlog::warn!("event=config_service_error error={:?}", error.to_string());
                task::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits until the coordinator knows a version, so that the next watch goes on after it.
async fn wait_taken(shared: &Shared, told: ConfigVersion) {
    let waiting = async {
        while shared.node().known_config_version() < told {
            task::sleep(TAKE_STEP).await;
        }
    };
    let _ = async_std::future::timeout(TAKE_LIMIT, waiting).await;
}

async fn tell_changes(shared: &Shared, after: ConfigVersion) -> Result<ConfigVersion, CallError> {
    count_call(shared, "configuration");
    let path = format!("/configuration/changes?after={after}&wait_ms={WATCH_MS}");
    let timeout = TIMEOUT + Duration::from_millis(WATCH_MS);
    let call = Call::get(shared.settings.platform_address, path, timeout);
    let answer: ChangesAnswer = call.send_json().await?;
    let to_change = |change: turmericrail_wire::platform::ChangeAnswer| Change {
        version: change.version,
        patch: change.patch,
    };
    let changes: Vec<_> = answer.changes.into_iter().map(to_change).collect();
    let newest = changes.last().map_or(after, |change| change.version);
    if !changes.is_empty() {
        shared.tell(Event::ConfigChanges(changes));
    }
    Ok(newest)
}

async fn watch_list(shared: Arc<Shared>) {
    loop {
        let is_watcher = shared.node().watch_config_after().is_some();
        task::sleep(if is_watcher { LIST_PAUSE } else { RARE_LIST_PAUSE }).await;
        read_list(&shared).await;
    }
}

async fn read_list(shared: &Shared) {
    count_call(shared, "list");
    let call = Call::get(shared.settings.platform_address, "/instances", TIMEOUT);
    if let Ok(answer) = call.send_json::<InstancesAnswer>().await {
        shared.tell(Event::InstanceList(answer.instances));
        shared.tell(Event::LeavingServers(answer.leaving_servers));
    }
}

fn count_call(shared: &Shared, service: &str) {
    shared.metrics.platform_calls.with_label_values(&[service]).inc();
}
