//! The leaving servers, as instances tell them to each other.

use turmericrail_core::forward::ServerRun;
use turmericrail_core::units::WallMillis;
use turmericrail_wire::relay as wire;

use crate::forward::servers::server_notices;
use crate::forward::shared::Shared;

/// The runs of servers that are leaving.
pub fn list_leaving(shared: &Shared) -> Vec<wire::LeavingRun> {
    let to_wire = |run: &ServerRun| wire::LeavingRun {
        server: run.server.to_string(),
        started_ms: run.started_ms.0,
    };
    shared.forwarder().leaving_runs().iter().map(to_wire).collect()
}

pub fn merge_leaving(shared: &Shared, leaving: &[wire::LeavingRun]) {
    for run in leaving {
        let Ok(server) = run.server.parse() else {
            spdlog::warn!("event=leaving_run_malformed server={:?}", run.server);
            continue;
        };
        let run = ServerRun { server, started_ms: WallMillis(run.started_ms) };
        server_notices::record_told_leaving(shared, &run);
    }
}
