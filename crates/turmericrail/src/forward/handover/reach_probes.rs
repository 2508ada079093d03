//! Finds out by connections whether the servers of a service are reached.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::forward::{ChosenServer, ReachChange, ServerRun};
use turmericrail_core::ids::ServiceId;
use turmericrail_core::units::Millis;

use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::servers::server_connection::ServerConnection;
use crate::forward::shared::Shared;

/// Time between probes while a service is cut off.
const HEAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the few servers of a doubtful service are probed again.
const REPEAT_DELAY: Duration = Duration::from_millis(350);
/// Shortest and longest time without an answer after which a server is probed, and between probes.
const SILENCE_RANGE_MS: (Millis, Millis) = (Millis(300), Millis(1_500));
/// Multiple of the expected time of an answer after which its server is probed.
const SILENCE_FACTOR: u64 = 2;

/// Records whether a connection to a server was opened, and looks at others if that is needed.
pub fn record_connect(shared: &Arc<Shared>, run: &ServerRun, is_opened: bool) {
    if !shared.handover.is_enabled() {
        return;
    }
    let changed = shared.forwarder().record_connect(clock::now_ms(), run, is_opened);
    let Some((service, change)) = changed else {
        return;
    };
    match change {
        ReachChange::None => {}
        ReachChange::Doubtful => confirm(shared, &service),
        ReachChange::CutOff { unreached } => {
            spdlog::warn!("event=cut_off service={service} unreached={unreached}");
            shared.handover.cut_off.notify();
            probe_until_reached(shared, service);
        }
        ReachChange::ReachedAgain { after_ms } => {
            spdlog::info!("event=reached_again service={service} after_ms={}", after_ms.0);
        }
    }
}

/// Records what came of a connection to a server.
pub fn record_opened(
    shared: &Arc<Shared>,
    run: &ServerRun,
    opened: &Result<ServerConnection, CallFailure>,
) {
    match opened {
        Ok(_) => record_connect(shared, run, true),
        Err(CallFailure::NoTimeLeft) => {}
        Err(_) => record_connect(shared, run, false),
    }
}

/// Records that a server has answered.
pub fn record_answer(shared: &Shared, service: &ServiceId) {
    if shared.handover.is_enabled() {
        shared.forwarder().record_heard(clock::now_ms(), service);
    }
}

/// Records that an engine has answered a call of the router itself.
pub fn record_engine_answer(shared: &Shared, run: &ServerRun) {
    if let Some(service) = service_of(shared, run) {
        record_answer(shared, &service);
    }
}

/// Probes an engine that hasn't answered a call of the router itself in time.
pub fn probe_silent_engine(shared: &Arc<Shared>, run: &ServerRun, address: SocketAddr) {
    if let Some(service) = service_of(shared, run) {
        probe_silent(shared, &service, run, address);
    }
}

fn service_of(shared: &Shared, run: &ServerRun) -> Option<ServiceId> {
    if !shared.handover.is_enabled() {
        return None;
    }
    let forwarder = shared.forwarder();
    let entry = forwarder.registry().entry(clock::now_ms(), &run.server)?;
    Some(entry.service.clone())
}

/// Probes a server for as long as it doesn't answer a call; never returns.
pub async fn watch_silence(shared: &Arc<Shared>, choice: &ChosenServer) {
    if !shared.handover.is_enabled() {
        return std::future::pending().await;
    }
    let (min_ms, max_ms) = SILENCE_RANGE_MS;
    let expected_ms = Millis(choice.predicted_latency_ms.0.saturating_mul(SILENCE_FACTOR));
    let interval = Duration::from_millis(expected_ms.clamp(min_ms, max_ms).0);
    loop {
        task::sleep(interval).await;
        probe_silent(shared, &choice.service, &choice.run, choice.address);
    }
}

/// Probes a server that hasn't answered in time.
pub fn probe_silent(
    shared: &Arc<Shared>,
    service: &ServiceId,
    run: &ServerRun,
    address: SocketAddr,
) {
    let is_due = shared.handover.is_enabled()
        && shared.forwarder().plan_silence_probe(clock::now_ms(), service, run);
    if is_due {
        spawn_probe(shared, run.clone(), address);
    }
}

/// Probes servers of a doubtful service; after a while where it has few, as one failure may be a lost
/// packet.
fn confirm(shared: &Arc<Shared>, service: &ServiceId) {
    let has_few = shared.forwarder().has_few_servers(clock::now_ms(), service);
    let (shared, service) = (Arc::clone(shared), service.clone());
    task::spawn(async move {
        if has_few {
            task::sleep(REPEAT_DELAY).await;
        }
        let (now_ms, random) = (clock::now_ms(), fastrand::u64(..));
        let servers = shared.forwarder().confirming_servers(now_ms, &service, random);
        for (run, address) in servers {
            spawn_probe(&shared, run, address);
        }
    });
}

fn probe_until_reached(shared: &Arc<Shared>, service: ServiceId) {
    if !shared.handover.probed_services().insert(service.clone()) {
        return;
    }
    let shared = Arc::clone(shared);
    task::spawn(async move {
        loop {
            task::sleep(HEAL_INTERVAL).await;
            if !shared.forwarder().is_still_cut_off(&service) {
                shared.handover.probed_services().remove(&service);
                return;
            }
            let random = fastrand::u64(..);
            let servers = shared.forwarder().heal_servers(clock::now_ms(), &service, random);
            for (run, address) in servers {
                spawn_probe(&shared, run, address);
            }
        }
    });
}

fn spawn_probe(shared: &Arc<Shared>, run: ServerRun, address: SocketAddr) {
    let shared = Arc::clone(shared);
    task::spawn(async move {
        let opened = ServerConnection::open(address).await;
        record_opened(&shared, &run, &opened);
        if let Ok(connection) = opened {
            shared.pool.put(address, connection);
        }
    });
}
