//! Chooses engine roles by demand, from the loads that one owner knows.

use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::ServerId;

/// Prefill backlog that counts as full load.
const FULL_BACKLOG_MS: f64 = 1_500.0;
/// Mean load above which a role gets another engine.
const GROW_ABOVE_LOAD: f64 = 0.85;
/// A role gives up an engine only if its mean load without that engine stays below this.
const SHRINK_BELOW_LOAD: f64 = 0.7;

/// The load of an engine as an owner knows it.
#[derive(Clone)]
pub struct EngineLoad {
    pub server: ServerId,
    pub role: ServerRole,
    pub backlog_ms: f64,
    pub used_ratio: f64,
}

/// Returns the role that an engine should have.
///
/// Only the engine with the lowest id of the less loaded role changes, so that all owners that know
/// the same loads choose the same engine, and one engine changes at a time.
pub fn role_by_demand(
    engine_loads: &[EngineLoad],
    server: &ServerId,
    role: ServerRole,
) -> ServerRole {
    let prefill =
        role_load(engine_loads, ServerRole::Prefill, |engine| engine.backlog_ms / FULL_BACKLOG_MS);
    let decode = role_load(engine_loads, ServerRole::Decode, |engine| engine.used_ratio);
    let (from, to, growing, shrinking) = match role {
        ServerRole::Prefill => (ServerRole::Prefill, ServerRole::Decode, decode, prefill),
        _ => (ServerRole::Decode, ServerRole::Prefill, prefill, decode),
    };
    let first =
        engine_loads.iter().filter(|engine| engine.role == from).map(|engine| &engine.server).min();
    let remaining_count = shrinking.count - 1.0;
    let should_change = remaining_count >= 1.0
        && growing.mean > GROW_ABOVE_LOAD
        && shrinking.mean * shrinking.count / remaining_count < SHRINK_BELOW_LOAD;
    if should_change && first == Some(server) { to } else { role }
}

struct RoleLoad {
    count: f64,
    mean: f64,
}

fn role_load(
    engine_loads: &[EngineLoad],
    role: ServerRole,
    load_of: impl Fn(&EngineLoad) -> f64,
) -> RoleLoad {
    let of_role = engine_loads.iter().filter(|engine| engine.role == role);
    let count = of_role.clone().count() as f64;
    RoleLoad { count, mean: of_role.map(load_of).sum::<f64>() / count.max(1.0) }
}
