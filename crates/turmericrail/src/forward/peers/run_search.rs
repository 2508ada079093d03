//! Finds the software versions of streams that were under way when all instances were killed.
//!
//! What instances told each other of these streams is lost with them. An engine lists its running
//! requests in its load report, which is some hundred milliseconds old, so that a run may still be
//! listed whose connection has just closed. Each instance that starts therefore asks a few engines
//! once, and tells the members that others ask for a stream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::forward::{SeenRun, ServerRun, SoftwareVersion, StreamKey};
use turmericrail_core::units::{Millis, WallMillis};
use turmericrail_platform::report;
use turmericrail_wire::relay as wire;

use super::stream_versions;
use crate::forward::clock;
use crate::forward::servers::control_call;
use crate::forward::shared::Shared;

/// Engines that an instance asks. With one or two engines for each instance, each engine is asked by
/// several instances.
const MAX_ENGINES: usize = 12;
/// Longest time from the start until engines are known; reports list no run after it.
const MAX_WAIT_MS: Millis = Millis(3_000);
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
    let (count, mut found) = (engines.len(), 0);
    let asked: Vec<_> = engines
        .into_iter()
        .map(|(run, address, version)| task::spawn(ask(Arc::clone(&shared), run, address, version)))
        .collect();
    for asking in asked {
        found += asking.await;
    }
    spdlog::info!("event=runs_searched engines={count} runs={found}");
    for interval_ms in NOTICE_INTERVALS_MS {
        task::sleep(Duration::from_millis(interval_ms)).await;
        let runs: Vec<_> = shared.forwarder().seen_runs().iter().cloned().collect();
        stream_versions::tell_runs(&shared, &runs);
    }
}

fn select_engines(shared: &Shared) -> Vec<(ServerRun, SocketAddr, SoftwareVersion)> {
    let number = shared.relay.own_number as u64;
    shared.forwarder().select_stream_engines(clock::now_ms(), number, MAX_ENGINES)
}

/// Records the runs of an engine; returns their number.
async fn ask(
    shared: Arc<Shared>,
    engine: ServerRun,
    address: SocketAddr,
    version: SoftwareVersion,
) -> usize {
    let mut bytes = Vec::new();
    report::write_request(address, &engine.server, &mut bytes);
    let Some((200, body)) = control_call::call(&shared, &engine, address, "GET", &bytes).await
    else {
        return 0;
    };
    let runs = match report::decode_runs(&body) {
        Ok(runs) => runs,
        Err(error) => {
            let (server, error) = (&engine.server, error.to_string());
            spdlog::warn!("event=report_malformed server={server} error={error:?}");
            return 0;
        }
    };
    let seen_ms = clock::now_ms();
    let mut forwarder = shared.forwarder();
    let mut found = 0;
    // A run without an event has begun no stream.
    for run in runs.iter().filter(|run| run.events > 0) {
        let stream = StreamKey::of_attempt(&run.request_id);
        let (engine, version) = (engine.clone(), version.clone());
        forwarder.seen_runs().record(SeenRun { stream, engine, version, seen_ms });
        found += 1;
    }
    found
}

/// A run for a message.
pub fn to_wire(now_ms: Millis, run: &SeenRun) -> wire::SeenRun {
    let age_ms = now_ms.saturating_sub(run.seen_ms).0;
    wire::SeenRun {
        stream: run.stream.0.to_le_bytes().to_vec(),
        server: run.engine.server.to_string(),
        started_ms: run.engine.started_ms.0,
        version: run.version.to_string(),
        age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
    }
}

/// A run of a message; `None` if it can't be used.
pub fn from_wire(now_ms: Millis, run: &wire::SeenRun) -> Option<SeenRun> {
    let stream = run.stream.as_slice().try_into().ok().map(u128::from_le_bytes)?;
    let started_ms = WallMillis(run.started_ms);
    Some(SeenRun {
        stream: StreamKey(stream),
        engine: ServerRun { server: run.server.parse().ok()?, started_ms },
        version: run.version.parse().ok()?,
        seen_ms: now_ms.saturating_sub(Millis(u64::from(run.age_ms))),
    })
}
