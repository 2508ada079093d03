//! How many of what a fleet is made of.

use std::collections::BTreeMap;
use std::path::PathBuf;

use crate::engine::EngineSettings;

/// How a fleet is laid out.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The daemon's executable.
    pub daemon: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Instances in each data centre.
    pub data_centres: BTreeMap<String, usize>,
    /// Prefill engines in each data centre.
    pub prefill_engines: usize,
    /// Decode engines in each data centre.
    pub decode_engines: usize,
    /// Plain services in all.
    pub plain_services: usize,
    /// Speed and size of the engines.
    pub engine: EngineSettings,
    /// Further lines of each instance's settings.
    pub extra_settings: String,
    /// Whether a link stands before each peer edge, each engine and each reader's platform.
    pub has_proxies: bool,
}

impl FleetPlan {
    /// Three instances in two data centres.
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
