//! Reloads settings while the process runs.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_std::task;
use futures_lite::FutureExt;

use super::settings::ForwardSettings;
use super::shared::Shared;
use crate::signals::SignalListener;

/// Time between checks of the file, which may also change without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings whenever the signal arrives or the file has changed.
pub async fn run(shared: Arc<Shared>, path: std::path::PathBuf, mut reload_signal: SignalListener) {
    let mut last_modified = modification_time(&path);
    loop {
        let is_signalled = async { reload_signal.wait().await };
        let is_due = async {
            task::sleep(POLL_INTERVAL).await;
            false
        };
        let is_signalled = is_signalled.or(is_due).await;
        let modified_now = modification_time(&path);
        if is_signalled || modified_now != last_modified {
            last_modified = modified_now;
            reload(&shared, &path);
        }
    }
}

fn modification_time(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

fn reload(shared: &Shared, path: &Path) {
    match ForwardSettings::read(path) {
        Ok(settings) => {
            let is_changed = settings != *shared.settings();
            shared.apply_settings(settings);
            spdlog::info!("event=settings_reloaded is_changed={is_changed}");
        }
        Err(error) => {
            spdlog::error!("event=settings_refused error={:?}", error.to_string());
        }
    }
}
