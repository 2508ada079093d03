//! The configuration service and the list of instances.

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

use crate::serve::{FREE_PORT, serve_at};

/// Time between looks of a waiting watch.
const WATCH_STEP: Duration = Duration::from_millis(20);

/// State and switches of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// The newest document.
    pub document: Value,
    /// Its version.
    pub version: u64,
    /// All patches, oldest first.
    pub changes: Vec<(u64, Value)>,
    /// The list of instances.
    pub instance_list: InstancesAnswer,
    /// Rate of the weight store.
    pub weight_store_rate: BytesPerSecond,
    /// Calls counted, a waiting watch as one.
    pub calls: u64,
    /// Whether every call fails.
    pub is_down: bool,
    /// Whether calls are never answered.
    pub is_silent: bool,
    /// Where set, nothing newer than this version is told.
    pub max_served_version: Option<u64>,
}

impl PlatformState {
    fn accept(&mut self, patch: Value) -> ConfigVersion {
        self.version += 1;
        merge(&mut self.document, &patch);
        self.changes.push((self.version, patch));
        ConfigVersion(self.version)
    }

    fn told_version(&self) -> u64 {
        self.max_served_version.map_or(self.version, |stale| stale.min(self.version))
    }

    fn told_document(&self) -> Value {
        let mut document = self.document.clone();
        if self.told_version() < self.version {
            document = self.changes[0].1.clone();
            let told =
                self.changes[1..].iter().take_while(|(version, _)| *version <= self.told_version());
            told.for_each(|(_, patch)| merge(&mut document, patch));
        }
        document
    }
}

/// The stand-in for the platform.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<PlatformState>>,
}

#[derive(Deserialize)]
struct WatchQuery {
    after: u64,
    wait_ms: u64,
}

impl FakePlatform {
    /// Starts with a first document, which becomes version 1.
    pub async fn start(document: Value) -> std::io::Result<Self> {
        Self::start_at(FREE_PORT, document).await
    }

    /// Starts on an address with a first document, which becomes version 1.
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

    /// State and switches.
    pub fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().expect("no holder of the lock panics")
    }

    /// Accepts a merge patch that was made against the newest version, else nothing.
    pub fn submit(&self, base_version: ConfigVersion, patch: Value) -> Option<ConfigVersion> {
        let mut state = self.state();
        (base_version.0 == state.version).then(|| state.accept(patch))
    }

    /// Accepts a merge patch, which becomes the next version.
    pub fn accept(&self, patch: Value) -> ConfigVersion {
        self.state().accept(patch)
    }
}

/// Applies a merge patch (RFC 7386).
fn merge(document: &mut Value, patch: &Value) {
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
        merge(target.entry(key.clone()).or_insert(Value::Null), value);
    }
}

type Shared = Arc<Mutex<PlatformState>>;

async fn admit(request: &Request<Shared>) -> Option<Response> {
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
    if let Some(refusal) = admit(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&DocumentAnswer {
        version: ConfigVersion(state.told_version()),
        document: state.told_document(),
    })
}

async fn get_changes(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = admit(&request).await {
        return Ok(refusal);
    }
    let query: WatchQuery = request.query()?;
    let until = Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let changes = changes_after(&request, query.after);
        if !changes.is_empty() || Instant::now() >= until {
            return json(&ChangesAnswer { changes });
        }
        task::sleep(WATCH_STEP).await;
    }
}

fn changes_after(request: &Request<Shared>, after: u64) -> Vec<ChangeAnswer> {
    let state = request.state().lock().expect("no holder of the lock panics");
    let told = state.told_version();
    let is_wanted = |(version, _): &&(u64, Value)| *version > after.max(1) && *version <= told;
    let wanted = state.changes.iter().filter(is_wanted);
    wanted
        .map(|(version, patch)| ChangeAnswer {
            version: ConfigVersion(*version),
            patch: patch.clone(),
        })
        .collect()
}

async fn get_instances(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = admit(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&state.instance_list)
}

async fn get_weight_store(request: Request<Shared>) -> tide::Result {
    if let Some(refusal) = admit(&request).await {
        return Ok(refusal);
    }
    let state = request.state().lock().expect("no holder of the lock panics");
    json(&WeightStoreAnswer { rate_bytes_per_second: state.weight_store_rate })
}
