//! Finds out whether servers ended under the calls that broke there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use turmericrail_core::forward::{BrokenCall, BrokenKind, ChosenServer, Loss, ServerRun};
use turmericrail_core::units::Millis;

use super::server_connection::ServerConnection;
use crate::forward::calls::call_context::CallContext;
use crate::forward::calls::call_failure::CallFailure;
use crate::forward::clock;
use crate::forward::handover::reach_probes;
use crate::forward::peers::loss_notices;
use crate::forward::shared::Shared;

/// Time after which a server is looked at whose call moved to another one; most are answered there
/// before.
const MOVED_PROBE_DELAY_MS: Millis = Millis(100);

/// Records a call that got no answer.
pub fn record_broken(shared: &Arc<Shared>, run: &ServerRun, address: SocketAddr, call: BrokenCall) {
    if shared.forwarder().is_leaving(clock::now_ms(), run) {
        return;
    }
    let is_broken = call.kind == BrokenKind::Broken;
    let lost = shared.forwarder().broken_calls().record(run, address, call);
    if let Some(call) = lost {
        record_losses(shared, run, vec![call]);
    } else if is_broken {
        probe_after(shared, run, address, Millis::ZERO);
    }
}

/// Looks at a server later, unless the call that was moved away from it is answered elsewhere.
pub fn probe_moved(context: &CallContext<'_>, choice: &ChosenServer) {
    probe_after(context.shared, &choice.run, choice.address, MOVED_PROBE_DELAY_MS);
}

/// Records that a server's address refuses connections.
pub fn record_refused_connection(shared: &Arc<Shared>, run: &ServerRun) {
    let calls = shared.forwarder().broken_calls().record_end(clock::now_ms(), run);
    if !calls.is_empty() {
        log_end(run, calls.len(), "connection_refused");
        record_losses(shared, run, calls);
    }
}

/// Records that a run is registered, which shows that others have ended.
pub fn record_registration(shared: &Arc<Shared>, run: &ServerRun, address: SocketAddr) {
    let now_ms = clock::now_ms();
    let ended = shared.forwarder().broken_calls().record_registration(now_ms, run, address);
    for (run, calls) in ended.into_iter().filter(|(_, calls)| !calls.is_empty()) {
        log_end(&run, calls.len(), "replaced");
        record_losses(shared, &run, calls);
    }
}

fn probe_after(shared: &Arc<Shared>, run: &ServerRun, address: SocketAddr, delay_ms: Millis) {
    let now_ms = clock::now_ms();
    let planned = shared.forwarder().broken_calls().plan_probe(now_ms, run, delay_ms);
    let Some(wait_ms) = planned else {
        return;
    };
    let (shared, run) = (Arc::clone(shared), run.clone());
    task::spawn(async move {
        if wait_ms > Millis::ZERO {
            task::sleep(Duration::from_millis(wait_ms.0)).await;
        }
        probe(&shared, &run, address).await;
    });
}

/// Connects to a server: its address refuses that if no process listens there any more.
async fn probe(shared: &Arc<Shared>, run: &ServerRun, address: SocketAddr) {
    if !shared.forwarder().broken_calls().is_waiting(clock::now_ms(), run) {
        return;
    }
    let opened = ServerConnection::open(address).await;
    reach_probes::record_opened(shared, run, &opened);
    match opened {
        Ok(connection) => {
            shared.forwarder().broken_calls().record_alive(run);
            shared.pool.put(address, connection);
        }
        Err(CallFailure::ConnectionRefused) => record_refused_connection(shared, run),
        // A server that can't be reached may go on.
        Err(_) => {}
    }
}

fn record_losses(shared: &Arc<Shared>, run: &ServerRun, calls: Vec<BrokenCall>) {
    for call in calls {
        let loss = Loss {
            service: call.service,
            server: run.clone(),
            request: call.request,
            parts: Default::default(),
            is_server_ended: true,
            is_late: call.is_late,
            lost_ms: call.at_ms,
        };
        loss_notices::record_loss(shared, loss);
    }
}

fn log_end(run: &ServerRun, calls: usize, reason: &str) {
    spdlog::info!(
        "event=server_ended server={} started_ms={} broken_calls={calls} reason={reason}",
        run.server,
        run.started_ms.0
    );
}
