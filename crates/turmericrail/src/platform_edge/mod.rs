//! Reads configuration, instance list and weight store rate from the platform's services.

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

/// Longest wait for an answer, in addition to [`WATCH_MS`] for a watch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Longest time for which the service delays the answer to a watch without changes.
const WATCH_MS: u64 = 4_000;
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Time between checks by an instance that does not watch the configuration whether it now has to.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between reads of the instance list by an instance that watches the configuration.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time between reads of the instance list by the others, which learn of changes from peers.
const SLOW_LIST_INTERVAL: Duration = Duration::from_millis(5_000);
/// Longest wait for the coordinator to handle a received version.
const HANDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between checks whether the version has been handled.
const HANDLE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Starts the tasks that read from the platform.
///
/// The instance list is read once before the configuration.
pub fn start(shared: &Arc<Shared>) {
    task::spawn(weight_store::read_rate(Arc::clone(shared)));
    let shared = Arc::clone(shared);
    task::spawn(async move {
        read_instance_list(&shared).await;
        task::spawn(poll_instance_list(Arc::clone(&shared)));
        watch_configuration(&shared).await;
    });
}

/// Fetches the whole configuration document once.
pub async fn fetch_document(shared: Arc<Shared>) {
    let _ = read_document(&shared).await;
}

async fn read_document(shared: &Shared) -> Result<ConfigVersion, CallError> {
    count_call(shared, "configuration");
    let call = Call::get(shared.settings.platform_address, "/configuration", ANSWER_TIMEOUT);
    let answer: DocumentAnswer = call.send_json().await?;
    shared.send_event(Event::ConfigDocument(answer.version, answer.document));
    Ok(answer.version)
}

/// Watches the configuration whenever the coordinator assigns this to the instance.
async fn watch_configuration(shared: &Arc<Shared>) {
    loop {
        let after = shared.node().watch_config_after();
        let Some(after) = after else {
            task::sleep(WATCHER_CHECK_INTERVAL).await;
            continue;
        };
        let result = match after.0 {
            0 => read_document(shared).await,
            _ => watch_changes(shared, after).await,
        };
        shared.send_event(Event::ConfigService { is_answered: result.is_ok() });
        match result {
            Ok(version) => wait_until_known(shared, version).await,
            Err(error) => {
                spdlog::warn!("event=config_service_error error={:?}", error.to_string());
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until the coordinator knows a version, so that the next watch starts after it.
async fn wait_until_known(shared: &Shared, version: ConfigVersion) {
    let waiting = async {
        while shared.node().known_config_version() < version {
            task::sleep(HANDLE_CHECK_INTERVAL).await;
        }
    };
    let _ = async_std::future::timeout(HANDLE_TIMEOUT, waiting).await;
}

/// Watches for changes after a version and passes them on; returns the newest version.
async fn watch_changes(shared: &Shared, after: ConfigVersion) -> Result<ConfigVersion, CallError> {
    count_call(shared, "configuration");
    let path = format!("/configuration/changes?after={after}&wait_ms={WATCH_MS}");
    let timeout = ANSWER_TIMEOUT + Duration::from_millis(WATCH_MS);
    let call = Call::get(shared.settings.platform_address, path, timeout);
    let answer: ChangesAnswer = call.send_json().await?;
    let to_change = |change: turmericrail_wire::platform::ChangeAnswer| Change {
        version: change.version,
        patch: change.patch,
    };
    let changes: Vec<_> = answer.changes.into_iter().map(to_change).collect();
    let newest = changes.last().map_or(after, |change| change.version);
    if !changes.is_empty() {
        shared.send_event(Event::ConfigChanges(changes));
    }
    Ok(newest)
}

async fn poll_instance_list(shared: Arc<Shared>) {
    loop {
        let is_watcher = shared.node().watch_config_after().is_some();
        task::sleep(if is_watcher { LIST_INTERVAL } else { SLOW_LIST_INTERVAL }).await;
        read_instance_list(&shared).await;
    }
}

async fn read_instance_list(shared: &Shared) {
    count_call(shared, "list");
    let call = Call::get(shared.settings.platform_address, "/instances", ANSWER_TIMEOUT);
    if let Ok(answer) = call.send_json::<InstancesAnswer>().await {
        shared.send_event(Event::InstanceList(answer.instances));
        shared.send_event(Event::LeavingServers(answer.leaving_servers));
    }
}

fn count_call(shared: &Shared, service: &str) {
    shared.metrics.platform_calls.with_label_values(&[service]).inc();
}
