//! Settings that change while the process runs.

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_std::task;
use futures_lite::FutureExt;

use super::settings::ForwardSettings;
use super::shared::Shared;
use crate::signals::SignalListener;

/// Time between looks at the file, which may also change without a signal.
const LOOK_STEP: Duration = Duration::from_secs(2);

/// Reads the settings again whenever the signal comes or the file has changed.
pub async fn run(shared: Arc<Shared>, path: std::path::PathBuf, mut hangup: SignalListener) {
    let mut seen = modified(&path);
    loop {
        let is_told = async { hangup.wait().await };
        let is_due = async {
            task::sleep(LOOK_STEP).await;
            false
        };
        let is_told = is_told.or(is_due).await;
        let now = modified(&path);
        if is_told || now != seen {
            seen = now;
            read(&shared, &path);
        }
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|file| file.modified()).ok()
}

fn read(shared: &Shared, path: &Path) {
    match ForwardSettings::read(path) {
        Ok(settings) => {
            let is_changed = settings != *shared.settings();
            shared.take_settings(settings);
            spdlog::info!("event=settings_reloaded is_changed={is_changed}");
        }
        Err(error) => {
            spdlog::error!("event=settings_refused error={:?}", error.to_string());
        }
    }
}
