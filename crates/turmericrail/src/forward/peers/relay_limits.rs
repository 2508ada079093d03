//! The limits that servers name, as instances tell them to each other.

use turmericrail_core::forward::{LimitStatement, ServerRun};
use turmericrail_core::units::{CallRate, Millis, WallMillis};
use turmericrail_wire::relay as wire;

use crate::forward::clock;
use crate::forward::servers::server_notices;
use crate::forward::shared::Shared;

/// What servers said last about their limits.
pub fn list_limits(shared: &Shared) -> Vec<wire::ServerLimit> {
    let statements = shared.forwarder().call_limits().statements(clock::now_ms());
    let to_wire = |statement: LimitStatement| wire::ServerLimit {
        server: statement.run.server.to_string(),
        started_ms: statement.run.started_ms.0,
        calls_per_s: statement.rate.map(CallRate::calls_per_second),
        age_ms: statement.age_ms.0,
    };
    statements.into_iter().map(to_wire).collect()
}

pub fn merge_limits(shared: &Shared, limits: &[wire::ServerLimit]) {
    for limit in limits {
        let rate = limit.calls_per_s.and_then(CallRate::new);
        let is_rate_valid = rate.is_some() == limit.calls_per_s.is_some();
        let (Ok(server), true) = (limit.server.parse(), is_rate_valid) else {
            spdlog::warn!("event=server_limit_malformed server={:?}", limit.server);
            continue;
        };
        let run = ServerRun { server, started_ms: WallMillis(limit.started_ms) };
        let statement = LimitStatement { run, rate, age_ms: Millis(limit.age_ms) };
        server_notices::record_limit(shared, &statement, "peer");
    }
}
