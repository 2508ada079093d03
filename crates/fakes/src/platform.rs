//! Fake platform: configuration service, list of instances and weight store.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use async_std::task;
use serde::Deserialize;
use serde_json::Value;
use tide::{Request, Response, Server, StatusCode};
use turmericrail_core::ids::ConfigVersion;
use turmericrail_core::units::BytesPerSecond;
use turmericrail_wire::platform::{
    ChangeAnswer, ChangesAnswer, DocumentAnswer, InstancesAnswer, WeightStoreAnswer,
};

use crate::ports::free_address;
use crate::serve::serve_at;

/// Interval at which a waiting request for changes checks for them.
const CHANGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// State of the platform, with the switches that tests set.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Newest configuration document.
    pub document: Value,
    /// Version of `document`.
    pub version: u64,
    /// Version and merge patch of each change, oldest first. The first entry holds the whole
    /// document.
    pub changes: Vec<(u64, Value)>,
    /// Listed instances and leaving servers.
    pub instance_list: InstancesAnswer,
    /// Transfer rate of the weight store.
    pub weight_store_rate: BytesPerSecond,
    /// Number of requests received; a long poll counts once.
    pub calls: u64,
    /// Whether every request fails.
    pub is_down: bool,
    /// Whether requests are never answered.
    pub is_silent: bool,
    /// If set, newer versions are not served.
    pub max_served_version: Option<u64>,
}

impl PlatformState {
    fn accept(&mut self, patch: Value) -> ConfigVersion {
        self.version += 1;
        apply_merge_patch(&mut self.document, &patch);
        self.changes.push((self.version, patch));
        ConfigVersion(self.version)
    }

    fn served_version(&self) -> u64 {
        self.max_served_version.map_or(self.version, |max_version| max_version.min(self.version))
    }

    fn served_document(&self) -> Value {
        let mut document = self.document.clone();
        if self.served_version() < self.version {
            document = self.changes[0].1.clone();
            let served = self.changes[1..]
                .iter()
                .take_while(|(version, _)| *version <= self.served_version());
            served.for_each(|(_, patch)| apply_merge_patch(&mut document, patch));
        }
        document
    }
}

/// Fake platform.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    /// Listening address.
    pub address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

impl FakePlatform {
    /// Starts on a free loopback port with a document as version 1.
    pub async fn start(document: Value) -> std::io::Result<Self> {
        Self::start_at(free_address()?, document).await
    }

    /// Starts on an address with a document as version 1.
    pub async fn start_at(address: SocketAddr, document: Value) -> std::io::Result<Self> {
        let state = PlatformState {
            changes: vec![(1, document.clone())],
            document,
            version: 1,
            ..PlatformState::default()
        };
        let state = Arc::new(Mutex::new(state));
        let mut app = Server::with_state(Arc::clone(&state));
        app.at("/configuration").get(get_document);
        app.at("/configuration/changes").get(get_changes);
        app.at("/instances").get(get_instances);
        app.at("/weight-store").get(get_weight_store);
        let address = serve_at(address, app).await?;
        Ok(Self { address, state })
    }

    /// Locks the state, which includes the switches that tests set.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Accepts a merge patch if its base is the newest version, and returns the new version.
    pub fn submit(&self, base_version: ConfigVersion, patch: Value) -> Option<ConfigVersion> {
        let mut state = self.state();
        (base_version.0 == state.version).then(|| state.accept(patch))
    }

    /// Accepts a merge patch unconditionally and returns the new version.
    pub fn accept(&self, patch: Value) -> ConfigVersion {
        self.state().accept(patch)
    }
}

/// Applies a merge patch (RFC 7386).
fn apply_merge_patch(document: &mut Value, patch: &Value) {
    let Some(fields) = patch.as_object() else {
        *document = patch.clone();
        return;
    };
    if !document.is_object() {
        *document = Value::Object(Default::default());
    }
    let target = document.as_object_mut().expect("made an object above");
    for (key, value) in fields {
        if value.is_null() {
            target.remove(key);
            continue;
        }
        apply_merge_patch(target.entry(key.clone()).or_insert(Value::Null), value);
    }
}

type Shared = Arc<Mutex<PlatformState>>;

/// Counts a request. Returns the error answer if the platform is down, and never returns if it is
/// silent.
async fn count_and_refuse(request: &Request<Shared>) -> Option<Response> {
    let (is_down, is_silent) = {
        let mut state = request.state().lock().expect("no holder of the lock panics");
        state.calls += 1;
        (state.is_down, state.is_silent)
    };
    if is_silent {
        task::sleep(Duration::from_secs(3600)).await;
    }
    is_down.then(|| Response::new(StatusCode::ServiceUnavailable))
}

fn json(value: &impl serde::Serialize) -> tide::Result {
    Ok(Response::builder(200).body(tide::Body::from_json(value)?).build())
}

async fn get_document(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = count_and_refuse(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&DocumentAnswer {
        version: ConfigVersion(state.served_version()),
        document: state.served_document(),
    })
}

async fn get_changes(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = count_and_refuse(&request).await {
        return Ok(refusal);
    }
    let query: WatchQuery = request.query()?;
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changes = changes_after(&request, query.after);
        if !changes.is_empty() || Instant::now() >= until {
            return json(&ChangesAnswer { changes });
        }
        task::sleep(CHANGE_CHECK_INTERVAL).await;
    }
}

fn changes_after(request: &Request<Shared>, after: u64) -> Vec<ChangeAnswer> {
    let state = request.state().lock().expect("no holder of the lock panics");
    let newest = state.served_version();
    let is_wanted = |(version, _): &&(u64, Value)| *version > after.max(1) && *version <= newest;
    let wanted = state.changes.iter().filter(is_wanted);
    wanted
        .map(|(version, patch)| ChangeAnswer {
            version: ConfigVersion(*version),
            patch: patch.clone(),
        })
        .collect()
}

async fn get_instances(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = count_and_refuse(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&state.instance_list)
}

async fn get_weight_store(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = count_and_refuse(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&WeightStoreAnswer { rate_bytes_per_second: state.weight_store_rate })
}
