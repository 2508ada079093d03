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
const WATCH_MS: u64 = 10_000;
/// Pause after a failure.
const PAUSE: Duration = Duration::from_millis(1_000);
/// Time between readings of the list.
const LIST_PAUSE: Duration = Duration::from_millis(1_000);

/// Starts reading the configuration and the list of instances.
pub fn start(shared: &Arc<Shared>) {
    task::spawn(watch_configuration(Arc::clone(shared)));
    task::spawn(read_list(Arc::clone(shared)));
    task::spawn(weight_store::read_rate(Arc::clone(shared)));
}

/// Reads the whole document once.
pub async fn fetch_document(shared: Arc<Shared>) {
    let _ = tell_document(&shared).await;
}

async fn tell_document(shared: &Shared) -> Result<ConfigVersion, CallError> {
    let call = Call::get(shared.settings.platform_address, "/configuration", TIMEOUT);
    let answer: DocumentAnswer = call.send_json().await?;
    shared.tell(Event::ConfigDocument(answer.version, answer.document));
    Ok(answer.version)
}

async fn watch_configuration(shared: Arc<Shared>) {
    let mut known = ConfigVersion(0);
    loop {
        let result = match known.0 {
            0 => tell_document(&shared).await,
            _ => tell_changes(&shared, known).await,
        };
        match result {
            Ok(version) => known = known.max(version),
            Err(error) => {
                spdlog::warn!("event=config_service_error error={:?}", error.to_string());
                task::sleep(PAUSE).await;
            }
        }
    }
}

async fn tell_changes(shared: &Shared, known: ConfigVersion) -> Result<ConfigVersion, CallError> {
    let path = format!("/configuration/changes?after={known}&wait_ms={WATCH_MS}");
    let timeout = TIMEOUT + Duration::from_millis(WATCH_MS);
    let call = Call::get(shared.settings.platform_address, path, timeout);
    let answer: ChangesAnswer = call.send_json().await?;
    let to_change = |change: turmericrail_wire::platform::ChangeAnswer| Change {
        version: change.version,
        patch: change.patch,
    };
    let changes: Vec<_> = answer.changes.into_iter().map(to_change).collect();
    let newest = changes.last().map_or(known, |change| change.version);
    if !changes.is_empty() {
        shared.tell(Event::ConfigChanges(changes));
    }
    Ok(newest)
}

async fn read_list(shared: Arc<Shared>) {
    loop {
        let call = Call::get(shared.settings.platform_address, "/instances", TIMEOUT);
        if let Ok(answer) = call.send_json::<InstancesAnswer>().await {
            shared.tell(Event::InstanceList(answer.instances));
            shared.tell(Event::LeavingServers(answer.leaving_servers));
        }
        task::sleep(LIST_PAUSE).await;
    }
}
