//! Finds the software versions of streams that were under way when all instances were killed.
//!
//! What instances told each other of these streams is lost with them. An engine lists its running
//! requests in its load report, which is some hundred milliseconds old, so that a run may still be
//! listed whose connection has just closed. Each instance that starts therefore asks a few engines
//! once, and tells the members that others ask for a stream.
//!
//! An engine may have been started anew with other software since its entry was read. It takes streams
//! only once its new entry is in the store, so the store is asked after the reports whether the
//! entries are still the same.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::forward::{SeenRun, ServerRun, SoftwareVersion, StreamKey};
use turmericrail_core::ids::ServerId;
use turmericrail_core::units::Millis;
use turmericrail_platform::report::{self, EngineRun};
use turmericrail_platform::{server_entry, store};

use super::run_notices;
use crate::forward::clock;
use crate::forward::servers::control_call;
use crate::forward::shared::Shared;
use crate::forward::store::store_client::StoreClient;
use crate::forward::store::store_watch;

/// Engines that an instance asks. With one or two engines for each instance, each engine is asked by
/// several instances.
const MAX_ENGINES: usize = 12;
/// Longest time from the start until engines are known; reports list no run after it.
const MAX_WAIT_MS: Millis = Millis(3_000);
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Times between the notices of what was found. The members, among which those are chosen that keep
/// it, become known in this time.
const NOTICE_INTERVALS_MS: [u64; 4] = [500, 1_000, 2_000, 4_000];
/// Time after its start for which an instance asks those that keep runs.
pub const SEARCH_PERIOD_MS: Millis = Millis(60_000);

/// Asks engines for their runs, and tells other instances.
pub async fn run(shared: Arc<Shared>) {
    let started_ms = clock::now_ms();
    let engines = loop {
        let engines = select_engines(&shared);
        if !engines.is_empty() || clock::now_ms() > started_ms + MAX_WAIT_MS {
            break engines;
        }
        task::sleep(POLL_INTERVAL).await;
    };
    let count = engines.len();
    let revision = store_watch::known_revision(&shared, server_entry::PREFIX);
    let asked: Vec<_> = engines
        .into_iter()
        .map(|(run, address, version)| task::spawn(ask(Arc::clone(&shared), run, address, version)))
        .collect();
    let mut found = Vec::new();
    for asking in asked {
        found.extend(asking.await);
    }
    let changed = if found.is_empty() { None } else { changed_servers(&shared, revision).await };
    let is_unchanged = |run: &SeenRun| {
        changed.as_ref().is_some_and(|changed| !changed.contains(&run.engine.server))
    };
    found.retain(is_unchanged);
    let (runs, is_sure) = (found.len(), changed.is_some());
    for run in found {
        shared.forwarder().seen_runs().record(run);
    }
    spdlog::info!("event=runs_searched engines={count} runs={runs} is_sure={is_sure}");
    for interval_ms in NOTICE_INTERVALS_MS {
        task::sleep(Duration::from_millis(interval_ms)).await;
        let runs: Vec<_> = shared.forwarder().seen_runs().iter().cloned().collect();
        run_notices::tell_runs(&shared, &runs);
    }
}

fn select_engines(shared: &Shared) -> Vec<(ServerRun, SocketAddr, SoftwareVersion)> {
    let number = shared.relay.own_number as u64;
    shared.forwarder().select_stream_engines(clock::now_ms(), number, MAX_ENGINES)
}

/// The servers whose entries changed after a revision; `None` if the store doesn't tell.
async fn changed_servers(shared: &Shared, revision: u64) -> Option<BTreeSet<ServerId>> {
    let target = store::watch_target(server_entry::PREFIX, revision, Millis::ZERO);
    shared.metrics.store_calls.with_label_values(&["watch"]).inc();
    let answer = StoreClient::default().get(shared, &target, STORE_TIMEOUT).await.ok()?;
    let era = store::era_of(revision);
    if revision == 0 || answer.era.is_some_and(|answered| answered != era) {
        return None;
    }
    let changes = store::decode_changes(era, &answer.body).ok()?;
    let updates = changes.items.iter().filter_map(server_entry::decode_item);
    Some(updates.map(|(update, _)| update.server).collect())
}

/// The streams that an engine lists as running.
async fn ask(
    shared: Arc<Shared>,
    engine: ServerRun,
    address: SocketAddr,
    version: SoftwareVersion,
) -> Vec<SeenRun> {
    let mut bytes = Vec::new();
    report::write_request(address, &engine.server, &mut bytes);
    let Some((200, body)) = control_call::call(&shared, &engine, address, "GET", &bytes).await
    else {
        return Vec::new();
    };
    let runs = match report::decode_runs(&body) {
        Ok(runs) => runs,
        Err(error) => {
            let (server, error) = (&engine.server, error.to_string());
            spdlog::warn!("event=report_malformed server={server} error={error:?}");
            return Vec::new();
        }
    };
    let seen_ms = clock::now_ms();
    let to_seen = |run: &EngineRun| SeenRun {
        stream: StreamKey::of_attempt(&run.request_id),
        engine: engine.clone(),
        version: version.clone(),
        seen_ms,
    };
    // A run without an event has begun no stream.
    runs.iter().filter(|run| run.events > 0).map(to_seen).collect()
}
