//! Roles by demand, as one owner would work them out from the loads that it knows.

use turmericrail_core::config::document::ServerRole;
use turmericrail_core::ids::ServerId;

/// Backlog at which prefill engines count as full, in ms.
const FULL_BACKLOG_MS: f64 = 1_500.0;
/// Load above which a role wants another engine.
const WANTED: f64 = 0.85;
/// Load up to which a role may be left with one engine less.
const SPARED: f64 = 0.7;

/// What an owner knows of an engine.
#[derive(Clone)]
pub struct KnownEngine {
    pub server: ServerId,
    pub role: ServerRole,
    pub backlog_ms: f64,
    pub used_ratio: f64,
}

/// The role of an engine by demand. One engine at a time, the first by name of the role that has
/// engines to spare, changes: owners that know the same loads choose the same one.
pub fn role_by_demand(known: &[KnownEngine], server: &ServerId, role: ServerRole) -> ServerRole {
    let prefill = load(known, ServerRole::Prefill, |engine| engine.backlog_ms / FULL_BACKLOG_MS);
    let decode = load(known, ServerRole::Decode, |engine| engine.used_ratio);
    let (from, to, wanted, spared) = match role {
        ServerRole::Prefill => (ServerRole::Prefill, ServerRole::Decode, decode, prefill),
        _ => (ServerRole::Decode, ServerRole::Prefill, prefill, decode),
    };
    let first =
        known.iter().filter(|engine| engine.role == from).map(|engine| &engine.server).min();
    let left = spared.count - 1.0;
    let is_due = left >= 1.0 && wanted.mean > WANTED && spared.mean * spared.count / left < SPARED;
    if is_due && first == Some(server) { to } else { role }
}

struct RoleLoad {
    count: f64,
    mean: f64,
}

fn load(known: &[KnownEngine], role: ServerRole, of: impl Fn(&KnownEngine) -> f64) -> RoleLoad {
    let of_role = known.iter().filter(|engine| engine.role == role);
    let count = of_role.clone().count() as f64;
    RoleLoad { count, mean: of_role.map(of).sum::<f64>() / count.max(1.0) }
}
