//! Layout of a fleet: numbers of instances and servers, and their settings.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::engine::EngineSettings;

/// Layout of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Path of the daemon's executable.
    pub daemon: PathBuf,
    /// Folder for settings and logs, removed with the fleet.
    pub folder: PathBuf,
    /// Number of instances of each data centre.
    pub data_centres: BTreeMap<String, usize>,
    /// Number of prefill engines in each data centre.
    pub prefill_engines: usize,
    /// Number of decode engines in each data centre.
    pub decode_engines: usize,
    /// Number of plain services in the whole fleet.
    pub plain_services: usize,
    /// Speed and capacity of every engine.
    pub engine: EngineSettings,
    /// YAML lines appended to the settings of every instance.
    pub extra_settings: String,
    /// Whether connections to peers, engines and the platform go through fault proxies.
    pub has_proxies: bool,
}

impl FleetPlan {
    /// Three instances in two data centres; `name` tells the folders of tests apart.
    pub fn small(daemon: impl Into<PathBuf>, name: &str) -> Self {
        let folder =
            std::env::temp_dir().join(format!("turmericrail-{name}-{}", std::process::id()));
        Self {
            daemon: daemon.into(),
            folder,
            data_centres: BTreeMap::from([("dc-a".to_owned(), 2), ("dc-b".to_owned(), 1)]),
            prefill_engines: 1,
            decode_engines: 2,
            plain_services: 2,
            engine: EngineSettings::default(),
            extra_settings: String::new(),
            has_proxies: false,
        }
    }
}
